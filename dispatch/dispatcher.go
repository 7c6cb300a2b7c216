// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math/rand/v2"

// Dispatcher is the decision module of one node.
type Dispatcher struct {
	settings                                  *Settings
	actions                                   Actions
	slowStartOwnerSince, now, pollDeadline    int64 // by: when a call for the list goes out at the latest
	capacityReportedAt, reportLifetime        int64 // when an executor last told of its room; how long that counts
	failedPolls, keyedRequests                int   // calls for the list since one succeeded; txns counted in things
	lastPollCost, minStartDelay               int64 // on the last of those calls; least time seen from sending to the note of the start
	random                                    *rand.Rand
	servers                                   serverSet // all that are listed
	withIdleConnection, inSlowStart, lowLimit serverSet // of these: with an idle connection; in slow start; whose limit is under firstRoom
	candidates, preferred                     []*Server // scratch space of homes and draw
	drawCount                                 int       // so far
	schedulingDelay                           int64     // how long work of this process waits until it runs, ns
	queue                                     []*Request
	recentResults                             map[rankGroup][]recentResult
	runtimes                                  []histogram               // by scheme: running time over hint, or in seconds without one
	largeSize                                 float64                   // what a large txn takes, in ns
	sizes                                     histogram                 // size of txns, in seconds
	machineTypes                              map[int]*machineTypeStats // by kind of machine
	keyStates                                 map[uint64]*keyState      // what txns are about
	tenantArrivals, classValues               []decayingRatio           // arrivals, and billing value
	deadlineOffsets                           []int64                   // by which the latest txns were told less time than their schemes have
	load, slotsInFlight                       float64                   // held by all a unit of size, by the list; slots of all open postings
	queueTimerSet                             bool                      // an alarm to look at the queue is out
	retrySuccess                              []decayingRatio           // by scheme: txns that erred and went elsewhere; those served there
	startPromptness                           map[bool]*decayingRatio   // by whether at home: postings whose start was due; the prompt ones
}

func New(terms *Settings, seed uint64, door Actions, now int64) *Dispatcher {
	d := &Dispatcher{settings: terms, actions: door, slowStartOwnerSince: now, now: now, pollDeadline: now + terms.UnpolledEventAge,
		random:        rand.New(rand.NewPCG(seed, 1)),
		recentResults: map[rankGroup][]recentResult{}, keyStates: map[uint64]*keyState{}, machineTypes: map[int]*machineTypeStats{},
		startPromptness: map[bool]*decayingRatio{true: {}, false: {}}, retrySuccess: make([]decayingRatio, len(terms.Classes)),
		runtimes:       make([]histogram, len(terms.Classes)),
		tenantArrivals: make([]decayingRatio, len(terms.Tenants)), classValues: make([]decayingRatio, len(terms.Classes)),
		servers:            serverSet{index: func(server *Server) *int { return &server.indexInAll }},
		withIdleConnection: serverSet{index: func(server *Server) *int { return &server.indexInIdle }},
		inSlowStart:        serverSet{index: func(server *Server) *int { return &server.indexInSlowStart }},
		lowLimit:           serverSet{index: func(server *Server) *int { return &server.indexInLowLimit }}}
	if terms.PollForChanges {
		d.PollEndpoints()
	}
	return d
}

func (d *Dispatcher) Advance(now int64) { d.now = now }
