// SPDX-License-Identifier: Apache-2.0

// Package routing runs the decision module of one node: under one lock, with a clock and alarms, it tells the
// module what happens and carries out what it decides. It decides nothing itself.
package routing

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Router is the module with all that it acts through. It is the module's Door.
type Router struct {
	settings           *dispatch.Settings
	forwarder          Forwarder
	probeTimeout       time.Duration  // how long the answer to a probe is waited for
	endpointSource     EndpointSource // Follow alone uses it
	initialEndpoints   *protocol.EndpointList
	firstUpdate        chan struct{} // closed when discovery has answered for the first time
	firstUpdateOnce    sync.Once
	nextEndpointSource chan EndpointSource // the latest new place to ask, at most one
	log                zerolog.Logger
	startTime          time.Time
	quotaSource        QuotaSource // nil: nodes share nothing
	delay              *delayMonitor

	mu        sync.Mutex // round the module and all below; never held over a write, a dial or a log line
	module    *dispatch.Dispatcher
	endpoints map[string]*endpoint
	excluded  map[string]bool // by operators; what is in it drains
	// listedIDs holds every executor that was ever listed, so that one that is away is told from a slip of the pen
	listedIDs        map[string]bool
	listedOrder      []string // the same in order
	shutdownDeadline int64    // when the node ends
	requestCount     int      // txns, ever
	ids              *requestIDs
	requests         map[*dispatch.Request]*requestState      // txns without a final answer
	cancelFuncs      map[*dispatch.Attempt]context.CancelFunc // postings without an outcome
	pollRequested    chan bool                                // what the module wants of the list, at most one order
	endpointsChanged chan struct{}                            // there are other executors than were; at most one word of it
	outlierScores    map[string]float64                       // how bad others say that executors are
	onOutcome        func(executor string, failed bool)       // hears how jobs ended; nil: nobody does
	unplacedDistance int                                      // how far an executor is that was just listed
}

// Config is what a Router is made of.
type Config struct {
	Settings         *dispatch.Settings
	Seed             uint64                 // of the decision module's random numbers
	InitialEndpoints *protocol.EndpointList // the endpoint list as it was last known
	Forwarder        Forwarder
	ProbeTimeout     time.Duration
	EndpointSource   EndpointSource
	QuotaSource      QuotaSource // nil: this node holds no budgets together with others
	Log              zerolog.Logger
}

// New starts the decision module on the endpoint list as it was last known.
func New(c Config) *Router {
	r := &Router{
		settings:           c.Settings,
		forwarder:          c.Forwarder,
		probeTimeout:       c.ProbeTimeout,
		endpointSource:     c.EndpointSource,
		initialEndpoints:   c.InitialEndpoints,
		firstUpdate:        make(chan struct{}),
		nextEndpointSource: make(chan EndpointSource, 1),
		log:                c.Log,
		startTime:          time.Now(),
		quotaSource:        c.QuotaSource,
		delay:              newDelayMonitor(),
		endpoints:          map[string]*endpoint{},
		listedIDs:          map[string]bool{},
		shutdownDeadline:   math.MaxInt64,
		ids:                newRequestIDs(c.Settings.Classes),
		requests:           map[*dispatch.Request]*requestState{},
		cancelFuncs:        map[*dispatch.Attempt]context.CancelFunc{},
		pollRequested:      make(chan bool, 1),
		endpointsChanged:   make(chan struct{}, 1),
	}
	if r.quotaSource != nil {
		withQuotas := *r.settings
		withQuotas.Quotas = r
		r.settings = &withQuotas
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.module = dispatch.New(r.settings, c.Seed, r, r.clock())
	r.applyEndpoints(c.InitialEndpoints)
	if !r.settings.PollForChanges {
		r.module.StartPolling()
	}
	return r
}

// Ready says whether the node can serve.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints) > 0
}

// SchedulingDelay is how long work of this process waits until it runs, in ns.
func (r *Router) SchedulingDelay() int64 { return r.delay.Delay() }

// ServerCounts counts the executors of the list, and those that the draw leaves out.
func (r *Router) ServerCounts() (known, excluded int) {
	r.event(func() { known, excluded = r.module.ServerCounts() })
	return known, excluded
}

// SetSlowStartOwner says whether this process holds the node's part of cold executors' budgets. It does from the start.
func (r *Router) SetSlowStartOwner(yes bool) { r.event(func() { r.module.SetSlowStartOwner(yes) }) }
