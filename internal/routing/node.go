// SPDX-License-Identifier: Apache-2.0

// Package routing runs the decision module of one node: under one lock, with a clock and alarms, it tells the
// module what happens and carries out what it decides. It decides nothing itself.
package routing

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Forwarder takes postings to executors.
type Forwarder interface {
	Forward(ctx context.Context, job *protocol.Attempt, heard func(protocol.JobUpdate), ended func(protocol.AttemptResult))
	Probe(ctx context.Context, address string) (protocol.LoadReport, error)
}

// EndpointSource asks discovery.
type EndpointSource interface {
	Poll(ctx context.Context, since int64, whole bool) (*protocol.EndpointList, error)
}

// QuotaSource is this node's share of what all nodes hold together. It is asked under the module's lock and never calls back.
type QuotaSource interface {
	// Allow says whether so many units more may be used now; key is an executor's address for connections, a tenant's name for its
	// jobs, an executor's name for the rest, and empty for what there is one share of.
	Allow(b dispatch.Budget, key string, units float64) bool
	// Quota is what this node has of all there is, by the same key.
	Quota(b dispatch.Budget, key string) float64
	// Reserve reserves what a posting takes; nil: there is none left, and it may not go out.
	Reserve(executor, tenant string, again bool, cold float64) Reservation
	// AllowPoll takes one call for the list at the moment at which it would be sent; one that is overdue goes in any case.
	AllowPoll(overdue bool) bool
}

// Reservation is what one posting takes. End gives it back if it never left, and where its executor said that it is over, what is
// taken only as long as a job may run.
type Reservation interface {
	protocol.SendGate
	Release(over bool)
}

// Router is the module with all that it acts through. It is the module's Door.
type Router struct {
	settings           *dispatch.Settings
	forwarder          Forwarder
	probeTimeout       time.Duration  // how long the answer to a probe is waited for
	endpointSource     EndpointSource // Follow alone uses it
	initialEndpoints   *protocol.EndpointList
	unansweredUpdate   chan struct{}       // closed and nil when discovery has first answered; Follow alone uses it
	firstUpdate        <-chan struct{}     // the same, for others
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
	listedOrder      []string            // the same in order
	shutdownDeadline int64               // when the node ends
	requestCount     int                 // txns, ever
	seenIDs          [2]map[string]int64 // of txns taken, by when they may come again: since turned, and in the span before
	idsRotatedAt     int64
	longestIDWindow  int64                                    // the longest that an id is kept
	requests         map[*dispatch.Request]*requestState      // txns without a final answer
	cancelFuncs      map[*dispatch.Attempt]context.CancelFunc // postings without an outcome
	pollRequested    chan bool                                // what the module wants of the list, at most one order
	endpointsChanged chan struct{}                            // there are other executors than were; at most one word of it
	outlierScores    map[string]float64                       // how bad others say that executors are
	onOutcome        func(executor string, failed bool)       // hears how jobs ended; nil: nobody does
	unplacedDistance int                                      // how far an executor is that was just listed
}

// endpoint is an executor of the list with its present address.
type endpoint struct {
	server  *dispatch.Server
	listed  protocol.Endpoint // what discovery said last
	address string
}

// New starts the module on the list as it was last known. purse is nil where nodes share nothing.
func New(terms *dispatch.Settings, seed uint64, known *protocol.EndpointList, c Forwarder, probe time.Duration, l EndpointSource, purse QuotaSource, log zerolog.Logger) *Router {
	r := &Router{settings: terms, forwarder: c, probeTimeout: probe, endpointSource: l, initialEndpoints: known, log: log, startTime: time.Now(), delay: newDelayMonitor(), shutdownDeadline: math.MaxInt64, endpoints: map[string]*endpoint{}, listedIDs: map[string]bool{},
		unansweredUpdate: make(chan struct{}), seenIDs: [2]map[string]int64{{}, {}}, requests: map[*dispatch.Request]*requestState{}, cancelFuncs: map[*dispatch.Attempt]context.CancelFunc{}, pollRequested: make(chan bool, 1), nextEndpointSource: make(chan EndpointSource, 1), endpointsChanged: make(chan struct{}, 1)}
	r.firstUpdate = r.unansweredUpdate
	for i := range terms.Classes {
		r.longestIDWindow = max(r.longestIDWindow, r.idWindow(i))
	}
	if r.quotaSource = purse; purse != nil {
		own := *terms
		own.Quotas, terms = r, &own
		r.settings = terms
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.module = dispatch.New(terms, seed, r, r.clock())
	r.applyEndpoints(known)
	if !terms.PollForChanges {
		r.module.StartPolling()
	}
	return r
}

// clock is Unix time that never goes back, the clock that discovery tells starts by.
func (r *Router) clock() int64 { return r.startTime.UnixNano() + int64(time.Since(r.startTime)) }

// event tells the module one thing.
func (r *Router) event(step func()) error {
	return r.recoverPanic(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.module.Advance(r.clock())
		r.module.SetSchedulingDelay(r.delay.Delay())
		step()
		r.module.ProcessQueue()
	})
}

// recoverPanic ends a panic with the step it came from, and tells of it with its stack.
func (r *Router) recoverPanic(step func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			r.log.Error().Err(err).Bytes("stack", debug.Stack()).Msg("recovered from a panic; only this step is lost")
		}
	}()
	step()
	return nil
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

// Schedule implements dispatch.Door, as do the methods after it. All are called under the lock and none blocks.
func (r *Router) Schedule(after int64, then func()) (forget func()) {
	alarm := time.AfterFunc(time.Duration(after), func() { r.event(then) })
	return func() { alarm.Stop() }
}

func (r *Router) PollEndpoints(on bool) {
	select {
	case <-r.pollRequested:
	default:
	}
	r.pollRequested <- on
}

// ProbeCapacity asks an executor for its load. What does not come while the longest probe may last tells of no room.
func (r *Router) ProbeCapacity(e *dispatch.Server) {
	address := r.address(e)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.probeTimeout)
		defer cancel()
		var load protocol.LoadReport
		var err error
		if fault := r.recoverPanic(func() { load, err = r.forwarder.Probe(ctx, address) }); fault != nil {
			err = fault
		}
		r.event(func() { r.module.CapacityReported(e, err == nil, load.FreeSlots, load.FreeMemory) })
	}()
}

// NotifyPeers implements dispatch.Door. The protocol has no messages between nodes, so the module is told that there are none.
func (r *Router) NotifyPeers(*dispatch.Server, float64) {}

// address is an executor's present address. Under mu.
// Danger: one that came back elsewhere while a connection to where it was is still under way.
func (r *Router) address(e *dispatch.Server) string {
	if m := r.endpoints[e.Tag]; m != nil {
		return m.address
	}
	return ""
}

func (r *Router) StartAttempt(p *dispatch.Attempt) {
	till := p.Request.Deadline
	if p.Timeout > 0 {
		till = min(till, r.clock()+p.Timeout)
	}
	deadline := time.Now().Add(time.Duration(till - r.clock()))
	ctx, withdraw := context.WithDeadline(context.Background(), deadline)
	r.cancelFuncs[p] = withdraw
	job := &protocol.Attempt{Request: r.requests[p.Request].request, Deadline: deadline, Address: r.address(p.Server)}
	var charge Reservation
	if r.quotaSource != nil {
		if charge = r.quotaSource.Reserve(p.Server.Tag, r.tenantName(p.Request), p.Number > 0, p.SlowStartShare); charge == nil {
			defer withdraw()
			go r.attemptEnded(p, protocol.AttemptResult{Outcome: dispatch.NotSent}, r.clock())
			return
		}
	}
	go r.runAttempt(ctx, withdraw, p, job, charge)
}

// Allow implements dispatch.Shares, under the lock as well.
func (r *Router) Allow(b dispatch.Budget, e *dispatch.Server, t *dispatch.Request, units float64) bool {
	switch b {
	case dispatch.BudgetTenantAttempts:
		return r.quotaSource.Allow(b, r.tenantName(t), units)
	case dispatch.BudgetRetries, dispatch.BudgetPolls:
		return r.quotaSource.Allow(b, "", units)
	}
	return r.quotaSource.Allow(b, r.quotaKey(b, e), units)
}

// tenantName is the name of a txn's; empty where there are none.
func (r *Router) tenantName(t *dispatch.Request) string {
	if t.Tenant >= len(r.settings.Tenants) {
		return ""
	}
	return r.settings.Tenants[t.Tenant].Tag
}

// Quota implements dispatch.Shares, under the lock as well.
func (r *Router) Quota(b dispatch.Budget, e *dispatch.Server) float64 {
	return r.quotaSource.Quota(b, r.quotaKey(b, e))
}

func (r *Router) quotaKey(b dispatch.Budget, e *dispatch.Server) string {
	if m := r.endpoints[e.Tag]; b == dispatch.BudgetConnections && m != nil {
		return m.address
	}
	return e.Tag
}

func (r *Router) CancelAttempt(p *dispatch.Attempt) {
	if withdraw := r.cancelFuncs[p]; withdraw != nil {
		withdraw()
	}
}

func (r *Router) Shed(t *dispatch.Request, returnIn int64) {
	r.respond(t, &protocol.Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Duration(returnIn)})
}

func (r *Router) Compensate(t *dispatch.Request) {
	r.respond(t, &protocol.Response{Status: http.StatusInternalServerError})
}
