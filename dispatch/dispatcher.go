// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math/rand/v2"

// Dispatcher takes the decisions of one node. It is not safe for concurrent use.
type Dispatcher struct {
	settings *Settings
	actions  Actions
	random   *rand.Rand
	now      int64 // clock time, ns

	servers            serverSet // all that are listed
	withIdleConnection serverSet // an idle connection to them should be open
	inSlowStart        serverSet
	lowLimit           serverSet // their limit is under the initial one
	machineTypes       map[int]*machineTypeStats
	load               float64 // of all servers, by the endpoint list
	slotsInFlight      float64 // at all servers
	polls              pollSchedule

	queue           waitQueue
	keys            keyTable
	tenantArrivals  []decayingRatio // by tenant: arrivals
	classValues     []decayingRatio // by class: priority weight of arrivals, and of those answered in time
	deadlineOffsets []int64         // ns by which the deadlines of the latest requests were short of their classes'
	sizes           histogram       // of requests, in seconds
	largeSize       float64         // of a large request, ns

	runtimes      []histogram // by class: running times over the work unit
	recentResults map[rankGroup][]recentResult
	retrySuccess  []decayingRatio              // by class: requests that failed and ended elsewhere; those that succeeded
	promptStarts  [zoneRelations]decayingRatio // attempts that had to start, and those that did so promptly
	minStartDelay int64                        // the least from sending to the report of the start, ns; 0: none seen

	capacityReportedAt  int64 // when a server last reported its capacity
	reportLifetime      int64 // how long a capacity report counts, ns
	slowStartOwnerSince int64 // since when this process uses the node's slow start budgets
	schedulingDelay     int64 // how long work of this process waits until it runs, ns

	drawCount  int       // draws so far
	candidates []*Server // scratch space of draw
	preferred  []*Server // scratch space of preferredServers
}

// New makes a Dispatcher that knows of no server yet. All its random choices follow from the seed.
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

// Advance sets the clock. It has to be called before the events of that time are reported.
func (d *Dispatcher) Advance(now int64) { d.now = now }
