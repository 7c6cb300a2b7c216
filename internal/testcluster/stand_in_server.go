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

// StandInServer is a stand-in for a server. It starts each job at once and records all connections and jobs.
type StandInServer struct {
	Name    string
	address string
	cluster *Cluster

	mu           sync.Mutex
	abortsJobsOf func(node string) bool // nodes whose connections are aborted; nil: none
	accepted     []int64                // times at which connections were accepted
	jobs         []Job
}

// Job is one attempt as received by a server. Times are nanoseconds of the cluster's clock.
type Job struct {
	ArrivedAt int64
	ID        string
	Cost      time.Duration // as stated by the client
	Tenant    string
	EndedAt   int64 // end of the handler, with or without a response; 0: still running
}

func newStandInServer(c *Cluster, name string) *StandInServer {
	l := c.listen()
	s := &StandInServer{Name: name, address: l.Addr().String(), cluster: c}
	c.serveHTTP(&recordingListener{Listener: l, server: s}, s)
	return s
}

// recordingListener records the times at which connections are accepted.
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

// ServeHTTP executes a job. Query parameters of the target request a rejection (full), the close of the
// connection (close) or additional service time (slow). A job continues after its client has disconnected.
func (s *StandInServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.cluster.Now()
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Call-Id")
	job, aborts := s.recordJob(arrivedAt, id, r.Header)
	defer s.recordEnd(job)
	if aborts {
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
		_ = http.NewResponseController(w).Flush() // fails if the client has disconnected; the job continues
	}
	slow, _ := time.ParseDuration(query.Get("slow")) // absent: 0
	time.Sleep(s.cluster.plan.ServeTime + slow)
	fmt.Fprintf(w, `{"id":%q,"from":%q,"state":"done","result":"r"}`+"\n", id, s.Name)
}

// recordJob records a job and returns its index, and whether its connection is to be aborted.
func (s *StandInServer) recordJob(arrivedAt int64, id string, header http.Header) (index int, aborts bool) {
	micros, _ := strconv.ParseInt(header.Get("X-Call-Cost"), 10, 64) // absent: 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, Job{
		ArrivedAt: arrivedAt,
		ID:        id,
		Cost:      time.Duration(micros) * time.Microsecond,
		Tenant:    header.Get("X-Caller"),
	})
	aborts = s.abortsJobsOf != nil && s.abortsJobsOf(SenderNode(id))
	return len(s.jobs) - 1, aborts
}

func (s *StandInServer) recordEnd(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[index].EndedAt = s.cluster.Now()
}

// AbortJobsOf makes the server abort the connections on which jobs of the selected nodes arrive, as a
// faulty link does; nil selects no node.
func (s *StandInServer) AbortJobsOf(nodes func(node string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortsJobsOf = nodes
}

// Received returns the times at which connections were accepted and the jobs received, so far.
func (s *StandInServer) Received() (accepted []int64, jobs []Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.accepted), slices.Clone(s.jobs)
}

// jobsSince returns the jobs that have arrived since a given time, the most recent first.
func (s *StandInServer) jobsSince(at int64) (jobs []Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.jobs) - 1; i >= 0 && s.jobs[i].ArrivedAt >= at; i-- {
		jobs = append(jobs, s.jobs[i])
	}
	return jobs
}
