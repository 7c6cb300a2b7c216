// SPDX-License-Identifier: Apache-2.0

// Package metrics counts the requests of one process by their result, for operators.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
)

// ClassCounts counts the finished requests of one class by their result.
type ClassCounts struct {
	Served   int64 `json:"served"`  // a server's result was returned to the client
	Rejected int64 `json:"refused"` // shed by this process, or rejected at its connection limit
	Failed   int64 `json:"failed"`  // any other result, or no response
}

// Snapshot contains all metrics at one moment, in the form sent to operators.
type Snapshot struct {
	Requests        map[string]ClassCounts `json:"requests"` // by class name
	InFlight        int64                  `json:"in_flight"`
	Attempts        int64                  `json:"attempts"`
	ServersKnown    int                    `json:"executors_known"`
	ServersExcluded int                    `json:"executors_excluded"`
	Fleet           any                    `json:"fleet,omitempty"` // status of shared budgets; nil if none
	MessageMemory   *MemoryUse             `json:"message_memory,omitempty"`
	ReadAheadMemory *MemoryUse             `json:"read_ahead_memory,omitempty"`
}

// MemoryUse is the memory that a process holds for data of its peers, in bytes.
type MemoryUse struct {
	Limit     int `json:"limit"`
	Used      int `json:"used"`
	Peak      int `json:"peak"`
	Evictions int `json:"evictions"` // messages that were dropped for others
	Refusals  int `json:"refusals"`  // messages for which no memory was left
}

// JSON returns the metrics as one line of JSON without a newline.
func (s *Snapshot) JSON() ([]byte, error) { return json.Marshal(s) }

// Counters counts the requests and attempts of one process since its start. Its methods are safe for
// concurrent use.
type Counters struct {
	classNames []string

	mu       sync.Mutex    // guards the fields below
	finished []ClassCounts // by class index
	inFlight int64
	attempts int64
}

// New returns counters for the classes with the given names. A class index is a position in classNames.
func New(classNames []string) *Counters {
	return &Counters{classNames: classNames, finished: make([]ClassCounts, len(classNames))}
}

// RequestStarted counts a request of a class as in flight. The caller must call recordEnd exactly once, with
// the HTTP status of the response, or 0 if there was none. Without that call the request counts as in flight
// permanently.
func (c *Counters) RequestStarted(class int) (recordEnd func(status int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
	return func(status int) { c.requestEnded(class, status) }
}

// requestEnded counts a finished request by the HTTP status of its response.
func (c *Counters) requestEnded(class, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	counts := &c.finished[class]
	switch status {
	case http.StatusOK:
		counts.Served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// AttemptSent counts an attempt whose last byte was written to its server.
func (c *Counters) AttemptSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
}

// Snapshot returns the current counts. The caller adds the metrics that other parts of the node maintain.
func (c *Counters) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &Snapshot{
		Requests: make(map[string]ClassCounts, len(c.classNames)),
		InFlight: c.inFlight,
		Attempts: c.attempts,
	}
	for i, name := range c.classNames {
		s.Requests[name] = c.finished[i]
	}
	return s
}
