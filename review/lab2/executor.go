// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for a sound executor. It runs each job for the same time.
type executor struct {
	rec      *record
	name     string
	address  string
	duration time.Duration

	mu   sync.Mutex
	jobs []arrival // in their order
}

// arrival is the arrival of a job at an executor.
type arrival struct {
	id string
	at time.Time
}

func startExecutor(rec *record, name string, duration time.Duration) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{rec: rec, name: name, address: l.Addr().String(), duration: duration}
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

// endpoint returns the executor's entry in the list.
func (e *executor) endpoint() endpoint {
	return endpoint{ID: e.name, Addr: e.address, Zone: zone, Kind: "std", State: "Ready", Weight: 4}
}

// ServeHTTP runs one job and tells its start, its progress each second, and its result.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Call-Id")
	body, err := io.ReadAll(r.Body)
	if id == "" || err != nil {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	e.jobs = append(e.jobs, arrival{id, time.Now()})
	e.mu.Unlock()
	total := e.duration
	e.rec.add("executor %s: runs %s for %v (%d bytes, X-Budget-Ms %s)", e.name, id, total, len(body),
		r.Header.Get("X-Budget-Ms"))
	tell := func(line string) {
		fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, e.name, line)
		_ = http.NewResponseController(w).Flush()
	}
	tell(`"state":"started"`)
	for done := time.Duration(0); done < total; {
		step := min(total-done, time.Second)
		time.Sleep(step)
		if done += step; done < total {
			tell(fmt.Sprintf(`"state":"running","share":%.3f`, done.Seconds()/total.Seconds()))
		}
	}
	tell(fmt.Sprintf(`"state":"done","result":"%s did %s"`, e.name, id))
	e.rec.add("executor %s: ended %s", e.name, id)
}

// ran returns the ids that begin with a prefix of the jobs that have arrived.
func (e *executor) ran(prefix string) (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, job := range e.jobs {
		if strings.HasPrefix(job.id, prefix) {
			ids = append(ids, job.id)
		}
	}
	return ids
}

// arrivedAfter returns how many jobs have arrived after a time.
func (e *executor) arrivedAfter(limit time.Time) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, job := range e.jobs {
		if job.at.After(limit) {
			count++
		}
	}
	return count
}

// arrivedLater reports whether a job has arrived after a time.
func (e *executor) arrivedLater(id string, limit time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.jobs, func(job arrival) bool { return job.id == id && job.at.After(limit) })
}
