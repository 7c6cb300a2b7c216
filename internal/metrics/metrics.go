// SPDX-License-Identifier: Apache-2.0

// Package metrics counts what became of the requests of one process, for the operators' page on figures.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
)

// ClassCounts is what became of the requests of one class.
type ClassCounts struct {
	Served   int64 `json:"served"`  // a server's result was passed on
	Rejected int64 `json:"refused"` // shed, by this process or for want of its connections
	Failed   int64 `json:"failed"`  // ended in any other way
}

// Snapshot holds all figures of one moment, in the form that operators get.
type Snapshot struct {
	Requests        map[string]ClassCounts `json:"requests"` // by the name of the class
	InFlight        int64                  `json:"in_flight"`
	Attempts        int64                  `json:"attempts"`
	ServersKnown    int                    `json:"executors_known"`
	ServersExcluded int                    `json:"executors_excluded"`
	Fleet           any                    `json:"fleet,omitempty"` // status of budgets held with other nodes; nil: none
}

// JSON returns the figures as one line, without its end.
func (s *Snapshot) JSON() ([]byte, error) { return json.Marshal(s) }

// Counters counts for one process, from zero at its start. Its methods are safe for concurrent use.
type Counters struct {
	classNames []string

	mu       sync.Mutex    // guards what follows
	ended    []ClassCounts // by class
	inFlight int64
	attempts int64
}

// New returns counters for the classes with these names, which are numbered in that order.
func New(classNames []string) *Counters {
	return &Counters{classNames: classNames, ended: make([]ClassCounts, len(classNames))}
}

// RequestStarted counts a request of a class as in flight. The caller has to call ended once, with the HTTP status of
// the answer or 0 where there was none; a request whose end is not told stays in flight for good.
func (c *Counters) RequestStarted(class int) (ended func(status int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
	return func(status int) { c.requestEnded(class, status) }
}

// requestEnded counts a request by the status of its answer.
func (c *Counters) requestEnded(class, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	counts := &c.ended[class]
	switch status {
	case http.StatusOK:
		counts.Served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// AttemptSent counts a request to a server whose last byte was written.
func (c *Counters) AttemptSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
}

// Snapshot returns the counts as they stand. The caller adds the figures that other parts of the node own.
func (c *Counters) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &Snapshot{
		Requests: make(map[string]ClassCounts, len(c.classNames)),
		InFlight: c.inFlight,
		Attempts: c.attempts,
	}
	for i, name := range c.classNames {
		s.Requests[name] = c.ended[i]
	}
	return s
}
