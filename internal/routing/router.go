// SPDX-License-Identifier: Apache-2.0

// Package routing runs the decision module of one node. Under one lock it tells the module what
// happens, with a clock and timers, and carries out what the module decides: it sends attempts to
// servers, answers requests, polls discovery and probes servers. It decides nothing itself.
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

// Router runs the decision module of one node. It implements the module's dispatch.Actions, and its
// dispatch.QuotaSource where nodes hold budgets together. Those methods are called under mu and
// never block.
type Router struct {
	settings           *dispatch.Settings
	forwarder          Forwarder
	probeTimeout       time.Duration
	endpointSource     EndpointSource // used by WatchEndpoints alone
	initialEndpoints   *protocol.EndpointList
	firstUpdate        chan struct{} // closed when discovery has answered for the first time
	firstUpdateOnce    sync.Once
	nextEndpointSource chan EndpointSource // the source to change to; holds one, the latest
	pollRequested      chan bool           // whether the module wants the endpoint list polled; holds one, the latest
	endpointsChanged   chan struct{}       // holds one notice
	log                zerolog.Logger
	startTime          time.Time
	quotaSource        QuotaSource // nil: this node holds no budgets together with others
	delay              *delayMonitor
	onOutcome          func(serverID string, failed bool) // nil: nobody is told; set before Serve is called

	mu               sync.Mutex // guards the module and all below; never held over a write, a dial or a log line
	module           *dispatch.Dispatcher
	endpoints        map[string]*endpoint // by server id
	excluded         map[string]bool      // ids of servers that operators have drained
	listedIDs        map[string]bool      // ids that were ever listed: a removed server is not a misspelled id
	listedOrder      []string             // the same in the order in which they were first listed
	outlierScores    map[string]float64   // by server id, as other nodes agree on
	unplacedDistance int                  // the distance of a server that was just listed
	ids              *requestIDs
	requests         map[*dispatch.Request]*requestState      // open ones
	requestCount     int                                      // of all that have arrived
	cancelFuncs      map[*dispatch.Attempt]context.CancelFunc // of attempts without an outcome
	shutdownDeadline int64                                    // by the node's clock, ns; far off until Shutdown
}

// Config is what New builds a Router from.
type Config struct {
	Settings         *dispatch.Settings
	Seed             uint64                 // of the decision module's random numbers
	InitialEndpoints *protocol.EndpointList // the endpoint list as it was last known
	Forwarder        Forwarder
	ProbeTimeout     time.Duration // how long the answer to a capacity probe is waited for
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

// Ready says whether the node knows any server.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints) > 0
}

// SchedulingDelay is how long runnable work of this process waits for the processor, in ns.
func (r *Router) SchedulingDelay() int64 { return r.delay.Delay() }

// ServerCounts counts the listed servers, and those among them that the module does not choose at
// present.
func (r *Router) ServerCounts() (known, excluded int) {
	r.event(func() { known, excluded = r.module.ServerCounts() })
	return known, excluded
}

// SetSlowStartOwner says whether this process of the node uses its part of the slow-start budgets.
// It does from the start.
func (r *Router) SetSlowStartOwner(owner bool) {
	r.event(func() { r.module.SetSlowStartOwner(owner) })
}
