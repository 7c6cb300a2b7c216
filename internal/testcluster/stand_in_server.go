// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StandInServer is a server of the pool that starts each job at once and records all that arrives.
type StandInServer struct {
	Name    string
	address string
	cluster *Cluster

	mu           sync.Mutex
	breaksJobsOf func(node string) bool // nil: of no node
	accepted     []int64                // when connections were accepted
	jobs         []Job
}

// Job is one attempt as it arrived. Times are on the cluster's clock.
type Job struct {
	ArrivedAt int64
	ID        string
	Cost      time.Duration // as its client told it
	Tenant    string
	EndedAt   int64 // when it was done, answered or not; 0: it is not
}

func newStandInServer(c *Cluster, name string) *StandInServer {
	l := c.listen()
	s := &StandInServer{Name: name, address: l.Addr().String(), cluster: c}
	c.serveHTTP(&recordingListener{Listener: l, server: s}, s)
	return s
}

// recordingListener records when connections are accepted.
type recordingListener struct {
	net.Listener
	server *StandInServer
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.recordAccept()
	}
	return c, err
}

func (s *StandInServer) recordAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, s.cluster.Now())
}

// ServeHTTP does a job. The target can ask for a rejection (full), the end of the connection (close) or more time
// (slow). A job goes on when its client has gone.
func (s *StandInServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.cluster.Now()
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Call-Id")
	job, breaks := s.recordJob(arrivedAt, id, r.Header)
	defer s.recordEnd(job)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	if query.Get("full") != "" {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if query.Get("close") != "" {
		w.Header().Set("Connection", "close")
	}
	if s.cluster.plan.StartNotices {
		fmt.Fprintf(w, `{"id":%q,"from":%q,"state":"started"}`+"\n", id, s.Name)
		_ = http.NewResponseController(w).Flush() // fails where the client has gone, and the job goes on
	}
	slow, _ := time.ParseDuration(query.Get("slow")) // absent: 0
	time.Sleep(s.cluster.plan.ServeTime + slow)
	fmt.Fprintf(w, `{"id":%q,"from":%q,"state":"done","result":"r"}`+"\n", id, s.Name)
}

// recordJob records a job, and returns its index and whether its connection is to break off.
func (s *StandInServer) recordJob(arrivedAt int64, id string, header http.Header) (index int, breaks bool) {
	micros, _ := strconv.ParseInt(header.Get("X-Call-Cost"), 10, 64) // absent: 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, Job{
		ArrivedAt: arrivedAt,
		ID:        id,
		Cost:      time.Duration(micros) * time.Microsecond,
		Tenant:    header.Get("X-Caller"),
	})
	breaks = s.breaksJobsOf != nil && s.breaksJobsOf(SenderNode(id))
	return len(s.jobs) - 1, breaks
}

func (s *StandInServer) recordEnd(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[index].EndedAt = s.cluster.Now()
}

// BreakJobsOf breaks off the connections on which jobs of some nodes come, as on links that are bad; nil: of none.
func (s *StandInServer) BreakJobsOf(nodes func(node string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaksJobsOf = nodes
}

// Received returns when connections were accepted, and the jobs, so far.
func (s *StandInServer) Received() (accepted []int64, jobs []Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.accepted), slices.Clone(s.jobs)
}

// jobsSince returns the jobs that have arrived since a moment, the latest first.
func (s *StandInServer) jobsSince(at int64) (jobs []Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.jobs) - 1; i >= 0 && s.jobs[i].ArrivedAt >= at; i-- {
		jobs = append(jobs, s.jobs[i])
	}
	return jobs
}
