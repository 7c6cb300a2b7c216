// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math/rand/v2"

// Dispatcher makes the decisions of one node. It is not safe for concurrent use.
type Dispatcher struct {
	settings *Settings
	actions  Actions
	random   *rand.Rand
	now      int64 // clock time, ns

	servers            serverSet // all listed servers
	withIdleConnection serverSet // servers to which an idle connection is probably open
	inSlowStart        serverSet
	lowLimit           serverSet // servers whose limit is below initialLimit
	machineTypes       map[int]*machineTypeStats
	load               float64 // sum over all servers, from the endpoint list
	slotsInFlight      float64 // sum over all servers
	polls              pollSchedule

	queue           waitQueue
	keys            keyTable
	tenantArrivals  []decayingRatio // by tenant: arrivals
	classValues     []decayingRatio // by class: priority weight of arrivals, and of those in time
	deadlineOffsets []int64         // ns; MaxDeadline minus the latest requests' deadlines
	sizes           histogram       // sizes of requests, s
	largeSize       float64         // size of a large request, ns

	runtimes      []histogram // by class: running times divided by the work unit
	recentResults map[rankGroup][]recentResult
	retrySuccess  []decayingRatio              // by class: retries elsewhere, and the successful ones
	promptStarts  [zoneRelations]decayingRatio // starts, late or rejected ones included; the prompt ones
	minStartDelay int64                        // minimum time from sending to the start report, ns; 0: none

	capacityReportedAt  int64 // when a server last reported its capacity
	reportLifetime      int64 // how long a capacity report is valid, ns
	slowStartOwnerSince int64 // clock time from which it uses the slow start budgets
	schedulingDelay     int64 // how long runnable work of this process waits for the processor, ns

	drawCount  int       // number of draws so far
	candidates []*Server // scratch space of draw
	preferred  []*Server // scratch space of preferredServers
}

// New creates a Dispatcher that has no servers yet. All its random choices are determined by the seed.
func New(settings *Settings, seed uint64, actions Actions, now int64) *Dispatcher {
	d := &Dispatcher{
		settings:            settings,
		actions:             actions,
		random:              rand.New(rand.NewPCG(seed, 1)),
		now:                 now,
		servers:             serverSet{index: func(server *Server) *int { return &server.indexInAll }},
		withIdleConnection:  serverSet{index: func(server *Server) *int { return &server.indexInIdle }},
		inSlowStart:         serverSet{index: func(server *Server) *int { return &server.indexInSlowStart }},
		lowLimit:            serverSet{index: func(server *Server) *int { return &server.indexInLowLimit }},
		machineTypes:        map[int]*machineTypeStats{},
		polls:               pollSchedule{deadline: now + settings.UnpolledEventAge},
		keys:                keyTable{states: map[uint64]*keyState{}},
		tenantArrivals:      make([]decayingRatio, len(settings.Tenants)),
		classValues:         make([]decayingRatio, len(settings.Classes)),
		runtimes:            make([]histogram, len(settings.Classes)),
		recentResults:       map[rankGroup][]recentResult{},
		retrySuccess:        make([]decayingRatio, len(settings.Classes)),
		slowStartOwnerSince: now,
	}
	if settings.PollForChanges {
		d.PollEndpoints()
	}
	return d
}

// Advance sets the clock. It must be called before the events of that time are reported.
func (d *Dispatcher) Advance(now int64) { d.now = now }
