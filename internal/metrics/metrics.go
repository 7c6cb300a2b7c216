// SPDX-License-Identifier: Apache-2.0

// Package metrics counts what became of jobs, and says so in the words of the operators' page.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
)

// ClassCounts is what became of the jobs of one scheme.
type ClassCounts struct {
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// Snapshot are all counts at one moment.
type Snapshot struct {
	Requests        map[string]ClassCounts `json:"requests"`
	InFlight        int64                  `json:"in_flight"`
	Attempts        int64                  `json:"attempts"`
	ServersKnown    int                    `json:"executors_known"`
	ServersExcluded int                    `json:"executors_excluded"`
	Fleet           any                    `json:"fleet,omitempty"` // of budgets held with other nodes; nil: there are none
}

// JSON is the figures on one line, without its end.
func (f *Snapshot) JSON() ([]byte, error) { return json.Marshal(f) }

// Counters is the one owner of the counts of a process. They start at zero with it.
type Counters struct {
	names []string // of schemes

	mu       sync.Mutex
	ends     []ClassCounts // by scheme
	inFlight int64
	attempts int64
}

func New(schemes []string) *Counters {
	return &Counters{names: schemes, ends: make([]ClassCounts, len(schemes))}
}

// RequestStarted counts a job in. What comes back counts its end, by the status of its answer, and has to be called once;
// anything but an answer is a failure.
// Danger: a sum that drifts. A job that was counted in and whose end is told elsewhere stays in flight for good.
func (c *Counters) RequestStarted(scheme int) (ended func(status int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
	return func(status int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inFlight--
		switch e := &c.ends[scheme]; status {
		case http.StatusOK:
			e.Served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			e.Rejected++
		default:
			e.Failed++
		}
	}
}

// AttemptSent counts a request to an executor whose last byte was written.
func (c *Counters) AttemptSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
}

// Snapshot gives the counts as they stand.
func (c *Counters) Snapshot() *Snapshot {
	f := &Snapshot{Requests: make(map[string]ClassCounts, len(c.names))}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, name := range c.names {
		f.Requests[name] = c.ends[i]
	}
	f.InFlight, f.Attempts = c.inFlight, c.attempts
	return f
}
