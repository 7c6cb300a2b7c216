// SPDX-License-Identifier: Apache-2.0

// Package routing runs the decision module of one node. Under one lock it passes events to the module,
// provides its clock and timers, and carries out its decisions: it sends attempts to servers, responds
// to requests, polls discovery and probes servers. It makes no decisions itself.
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

// Router runs the decision module of one node. It implements dispatch.Actions for the module, and
// dispatch.QuotaSource if the nodes of the fleet share budgets. The module calls these methods with mu
// held, and they never block.
type Router struct {
	settings           *dispatch.Settings
	forwarder          Forwarder
	probeTimeout       time.Duration
	endpointSource     EndpointSource // used only by WatchEndpoints
	initialEndpoints   *protocol.EndpointList
	firstUpdate        chan struct{} // closed after the first successful poll of discovery
	firstUpdateOnce    sync.Once
	nextEndpointSource chan EndpointSource // buffers the latest replacement of endpointSource
	pollRequested      chan bool           // buffers the latest decision to start or stop polling
	endpointsChanged   chan struct{}       // buffers one notification
	log                zerolog.Logger
	startTime          time.Time
	quotaSource        QuotaSource // nil: the node shares no budgets with other nodes
	delay              *delayMonitor
	onOutcome          func(serverID string, failed bool) // may be nil; set before Serve is called
	idRegistry         IDRegistry                         // nil: the node has one process; set before Serve is called

	// mu guards the module and all fields below. It is never held during a write, a dial or a log call.
	mu               sync.Mutex
	module           *dispatch.Dispatcher
	endpoints        map[string]*endpoint // by server id
	excluded         map[string]bool      // ids of servers that operators have excluded
	listedIDs        map[string]bool      // ids ever listed; distinguishes removed servers from misspelled ids
	listedOrder      []string             // listedIDs in the order of their first listing
	outlierScores    map[string]float64   // by server id, as agreed by other nodes
	unplacedDistance int                  // distance of a server until SetDistances places it
	ids              *requestIDs
	requests         map[*dispatch.Request]*requestState      // open requests
	requestCount     int                                      // number of requests that have arrived
	cancelFuncs      map[*dispatch.Attempt]context.CancelFunc // for attempts without an outcome
	shutdownDeadline int64                                    // by the node's clock, ns; math.MaxInt64: none
}

// Config configures a Router.
type Config struct {
	Settings         *dispatch.Settings
	Seed             uint64                 // for the random numbers of the decision module
	InitialEndpoints *protocol.EndpointList // the last known endpoint list
	Forwarder        Forwarder
	ProbeTimeout     time.Duration // limit for the response to a capacity probe
	EndpointSource   EndpointSource
	QuotaSource      QuotaSource // nil: the node shares no budgets with other nodes
	Log              zerolog.Logger
}

// New creates a Router and starts its decision module with the last known endpoint list.
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

// ShareIDs makes the processes of the node reserve request ids together. It must be called before Serve.
func (r *Router) ShareIDs(registry IDRegistry) { r.idRegistry = registry }

// Ready reports whether the endpoint list has at least one server.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints) > 0
}

// SchedulingDelay returns how long runnable work of this process waits for the processor, in ns.
func (r *Router) SchedulingDelay() int64 { return r.delay.Delay() }

// ServerCounts returns the number of listed servers, and the number of those that the module currently
// does not select.
func (r *Router) ServerCounts() (known, excluded int) {
	r.event(func() { known, excluded = r.module.ServerCounts() })
	return known, excluded
}

// SetSlowStartOwner sets whether this process uses the node's quotas of the slow-start budgets. A new
// Router uses them.
func (r *Router) SetSlowStartOwner(owner bool) {
	r.event(func() { r.module.SetSlowStartOwner(owner) })
}
