// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// jobsSince gives the jobs that came to an executor since a moment, the latest first.
func (e *StandInServer) jobsSince(at int64) (jobs []Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.jobs) - 1; i >= 0 && e.jobs[i].ArrivedAt >= at; i-- {
		jobs = append(jobs, e.jobs[i])
	}
	return jobs
}

// StandInServer is a stand-in that does what it is told at once and notes all that arrives.
type StandInServer struct {
	Name    string
	address string
	cluster *Cluster

	mu           sync.Mutex
	breaksJobsOf func(node string) bool // whose jobs break off; nil: nobody's
	accepted     []int64                // when connections were accepted
	jobs         []Job
}

// Job is one posting as it arrived.
type Job struct {
	ArrivedAt int64
	ID        string
	Cost      time.Duration // as its client told it
	Tenant    string        // the tenant
	EndedAt   int64         // when it was done, answered or not; 0: it is not
}

func newStandInServer(r *Cluster, name string) *StandInServer {
	l := r.listen()
	e := &StandInServer{Name: name, address: l.Addr().String(), cluster: r}
	s := &http.Server{Handler: e}
	go s.Serve(&recordingListener{l, e})
	r.Cleanup(func() { s.Close() })
	return e
}

type recordingListener struct {
	net.Listener
	server *StandInServer
}

func (n *recordingListener) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		n.server.mu.Lock()
		n.server.accepted = append(n.server.accepted, n.server.cluster.Now())
		n.server.mu.Unlock()
	}
	return c, err
}

// ServeHTTP does a job. A request that asks for it in its target fails or is turned away.
func (e *StandInServer) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	at, id := e.cluster.Now(), q.Header.Get("X-Call-Id")
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	e.mu.Lock()
	cost, _ := strconv.ParseInt(q.Header.Get("X-Call-Cost"), 10, 64)
	job := len(e.jobs)
	shunned := e.breaksJobsOf != nil && e.breaksJobsOf(SenderNode(id))
	e.jobs = append(e.jobs, Job{ArrivedAt: at, ID: id, Cost: time.Duration(cost) * time.Microsecond, Tenant: q.Header.Get("X-Caller")})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.jobs[job].EndedAt = e.cluster.Now()
	}()
	if shunned {
		panic(http.ErrAbortHandler)
	}
	if q.URL.Query().Get("full") != "" {
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if q.URL.Query().Get("close") != "" {
		out.Header().Set("Connection", "close")
	}
	if e.cluster.plan.StartNotices {
		fmt.Fprintf(out, `{"id":%q,"from":%q,"state":"started"}`+"\n", id, e.Name)
		http.NewResponseController(out).Flush()
	}
	// It works on, whoever has gone.
	slow, _ := time.ParseDuration(q.URL.Query().Get("slow"))
	time.Sleep(e.cluster.plan.ServeTime + slow)
	fmt.Fprintf(out, `{"id":%q,"from":%q,"state":"done","result":"r"}`+"\n", id, e.Name)
}

// BreakJobsOf has the jobs of some nodes break off, as on links that are bad; nil: of none.
func (e *StandInServer) BreakJobsOf(whose func(node string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaksJobsOf = whose
}

// Received gives what has arrived so far.
func (e *StandInServer) Received() (accepted []int64, jobs []Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int64(nil), e.accepted...), append([]Job(nil), e.jobs...)
}
