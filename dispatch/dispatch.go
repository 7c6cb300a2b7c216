// SPDX-License-Identifier: Apache-2.0

// Package dispatch decides, for one node, which executor gets which txn, and when a txn is given up.
// How to call it: New at start; At with the clock, then one call for each event; Settle after a round.
package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	scoreWindow           = 50   // scores; the design's pool
	topScore              = 10.0 // points; the design's first place, also what a mean score is divided by
	initialScore          = 0.5  // share of the top score for a kind without scores; the design's start
	typeScoreWeight       = 3.0  // scores that the mean of its kind counts for beside an executor's own; a few outweigh it
	failureFactor         = 0.3  // factor on H for a time-out, failed connection or error; the design's
	successBonus          = 0.15 // added to H by a success; the design's
	minReliability        = 0.1  // H under which an executor is left out; the design's
	decayTime             = 10e9 // ns; time constant of H on its way back to 1, the design's start, and of all that fades
	crowdedMargin         = 1.0  // jobs over its fair part that make an executor crowded; the least that is not noise
	limitGrowth           = 0.25 // slots for a prompt start, less under a limit of one; with cut, one in three may wait
	initialLimit          = 4.0  // slots in flight allowed before anything is known; a small machine's worth
	limitReduction        = 0.5  // share of the in-flight limit kept when a posting was seen to wait; the usual halving
	overdueFactor         = 4.0  // times the high end of measured running time that make a job overdue; beyond long jobs
	highQuantile          = 0.9  // quantile taken as high end; the histograms are too small to know more
	lowQuantile           = 0.25 // quantile taken as low end, by which it is too late for a txn; a fast machine's
	missedProgressPeriods = 1.5  // progress periods without a note that mean standing still; one late note is no proof
	slowStartMargin       = 1.5  // times that nodes of other minds sent what each reckoned with, the most of 800 histories
	minChance             = 0.5  // part of the billing value to be expected for a txn to wait on; an even chance
	minRetrySuccess       = 0.1  // chance to be served elsewhere under which two errors end a txn; a third is not worth it
	delayedByHedge        = 3.0  // jobs made late by one more job where there is no room; a short queue of them
	overQuotaFactor       = 1.3  // times the others' measure that a tenant may send; usage differs by tens of percent
	turnsPerWindow        = 4    // parts of a fall window in which nodes take turns at the cold; a fifth is lost
	crowdedFactor         = 1.2  // times the mean load by the list from which a home gives way; word is a second old
	localZoneCost         = 0.02 // price of a crossing from which home goes first; under it a late answer costs more
	requiredTypeFactor    = 0.5  // factor on executors of a kind that other schemes need, which can go nowhere else
	spareServerShare      = 0.25 // share of late starts up to which a thing has a second home; one in a jam, or all fetch
	probesPerRound        = 4    // executors asked for room at a time; with one in two full, one in sixteen finds none
	deadlineSamples       = 16   // latest txns of which one at least counts as a client's first try; some try three times
	responseFraction      = 64   // part of an expiry that is left for the way to the client; ours must come before it goes
	ownResultLifetime     = 1e9  // ns; for so long an own job that ended well beats what others say; news takes about that
	maxReportLifetime     = 1e8  // ns, at most; that word of room counts, and until others are asked; some reports a second
	preferenceStep        = 1e9  // between the waits of two steps of preference, more than any draw gives
	maxKeyedRequests      = 256  // txns after which counts by key are halved; tells a tenth of all from a hundredth
)

var rankScores = [4]uint8{10, 6, 2, 0} // scores by rank and for a loss; the design's start

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

// UpdateEndpoints takes the list or changes to it; whole says that absent executors are gone.
func (d *Dispatcher) UpdateEndpoints(whole bool, members []Endpoint) {
	d.failedPolls, d.lastPollCost = 0, 0
	gone := whole
	for i := 0; whole && i < len(d.servers.servers); i++ {
		d.servers.servers[i].State = Removed
	}
	for _, m := range members {
		server := m.Server
		if !server.listed || m.StartedAt > server.startedAt {
			server.reliability, server.reliabilityAt, server.limit, server.size = 1, d.now, initialLimit, 1
		}
		d.servers.add(server)
		if d.machineTypes[m.MachineType] == nil {
			d.machineTypes[m.MachineType] = &machineTypeStats{required: d.settings.requiresMachineType(m.MachineType)}
		}
		// Danger: of many nodes each sees next to nothing of load; the draw alone fills the small and the slow.
		if server.spareFactor = 1; d.settings.LiveCapacity {
			server.spareFactor, server.size = max(m.Capacity, 0.01), max(m.Capacity, server.size)
		}
		server.listed, server.State, server.startedAt, server.typeStats = true, m.State, m.StartedAt, d.machineTypes[m.MachineType]
		server.zone, server.machineType, server.cell = m.Zone, m.MachineType, m.Cell
		if gone = gone || m.State == Removed; d.settings.warmUpFactor(server, d.now) < 1 {
			server.turnUntil = 0
			d.inSlowStart.add(server)
		}
	}
	if gone {
		d.removeGone()
	}
	// Danger: a list of thousands that is walked at each change of one of them. Load is told where weights are live.
	d.load = 0
	for i := 0; d.settings.LiveCapacity && i < len(d.servers.servers); i++ {
		server := d.servers.servers[i]
		d.load += server.size/server.spareFactor - 1
	}
}

// removeGone drops the servers that are gone.
func (d *Dispatcher) removeGone() {
	left := d.servers.servers[:0]
	for _, server := range d.servers.servers {
		if server.listed = server.State != Removed; server.listed {
			left = append(left, server)
			server.indexInAll = len(left)
		} else {
			server.indexInAll = 0
			d.withIdleConnection.remove(server)
			d.inSlowStart.remove(server)
			d.lowLimit.remove(server)
		}
	}
	clear(d.servers.servers[len(left):])
	d.servers.servers = left
}

// maxPollSilence is how long no call for the list may be out. Danger: longer, and what counts as told is unknown.
func (d *Dispatcher) maxPollSilence() float64 {
	return float64(d.settings.UnpolledEventAge + d.settings.DrainGrace/2)
}

// StartPolling asks for news of the list for the first time; where there is a list to go by, at a time by chance.
// Danger: nodes that start or fail together ask together; a service that falls behind serves none of them.
func (d *Dispatcher) StartPolling() {
	d.schedulePoll(d.maxPollSilence()*d.random.Float64()*float64(min(len(d.servers.servers), 1)), d.maxPollSilence())
}

// PollFailed takes a failed call for the list; the next waits, for the same danger, by what two of them cost.
// Danger: an agent that could be asked again as the call was out has news that counts some time after that.
func (d *Dispatcher) PollFailed(took, spent int64) {
	part := min(max(d.maxPollSilence()/3, float64(min(spent, d.lastPollCost))), float64(max(d.settings.MaxPollInterval-took, 0))/3)
	d.failedPolls, d.lastPollCost = min(d.failedPolls+1, 2), spent
	d.schedulePoll(part*float64(d.failedPolls)*(0.5+d.random.Float64()), 3*part)
}

// PollSucceeded ends a call that brought something, where nodes hold calls together; the next goes in its turn.
func (d *Dispatcher) PollSucceeded() { d.schedulePoll(0, d.maxPollSilence()) }

func (d *Dispatcher) schedulePoll(after, by float64) {
	d.pollDeadline = d.now + int64(by)
	d.actions.Schedule(int64(after), d.PollEndpoints)
}

// PollEndpoints has the list asked for, or waits for this node's share.
func (d *Dispatcher) PollEndpoints() {
	if d.settings.Quotas == nil || d.PollOverdue() || d.settings.Quotas.Allow(BudgetPolls, nil, nil, 1) {
		d.actions.PollEndpoints(true)
	} else {
		d.actions.Schedule(d.settings.Tick, d.PollEndpoints)
	}
}

// PollOverdue says that a call goes out whatever shares say. Danger: work for what drained, as no news is heard.
func (d *Dispatcher) PollOverdue() bool { return d.now >= d.pollDeadline }

func (d *Dispatcher) Arrive(request *Request) {
	if d.overloaded(request) {
		d.giveUp(request, Overloaded)
		return
	}
	waited := max(request.UnreadTime-uncountedDelay, 0)
	request.Deadline -= waited
	request.Deadline, request.arrivedAt, request.overQuota = d.adjustedDeadline(request), d.now-waited, len(d.settings.Tenants) > 0 && d.overQuota(request)
	// Danger: the first job that runs far longer than its hint would speak for all to come.
	for r := &d.runtimes[request.Class.Index]; request.ExpectedWork > 0 && r.count < 3; {
		r.add(1)
	}
	work := cmp.Or(request.ExpectedWork, d.expectedRuntime(request, 0.5))
	request.objectiveAt = min(d.now+request.Class.LatencyObjective+int64(request.Class.ObjectivePerWork*float64(work)), request.Deadline)
	request.size = max(request.Slots, 1) * float64(work)
	d.sizes.add(request.size / 1e9)
	// Danger: of jobs of milliseconds many begin and end while a word of room is still taken for news.
	d.largeSize = d.sizes.quantile(highQuantile, 0) * 1e9
	d.reportLifetime = min(maxReportLifetime, int64(d.largeSize))
	if request.priorityWeight = request.Class.Weight; d.settings.WeightByWork {
		request.priorityWeight *= request.size
	}
	if request.overQuota {
		request.priorityWeight *= d.settings.OverQuotaWeight
		// Danger: many quiet nodes hold no queue to sort; what is worth little then jams the machines for all.
		if d.settings.LoadReports && d.random.Float64() > d.promptShare(true) {
			request.priorityWeight = 0
		}
	}
	d.classValues[request.Class.Index].decay(d.now).total += request.priorityWeight
	d.recordKey(request)
	d.SetDeadline(request, request.Deadline)
	d.enqueue(request)
}

// adjustedDeadline is when the txn's client gives up, the one notion of time left: as told, or where clocks differ, later
// or earlier by what the latest first tries lacked. Danger: all is declined at once, or answered too late.
func (d *Dispatcher) adjustedDeadline(request *Request) int64 {
	if d.settings.DeadlineMargin == 0 || request.Class.MaxDeadline == 0 {
		return request.Deadline
	}
	d.deadlineOffsets = append(d.deadlineOffsets[max(len(d.deadlineOffsets)-deadlineSamples+1, 0):], request.Class.MaxDeadline-request.Deadline+d.now)
	off := min(max(slices.Min(d.deadlineOffsets), -d.settings.DeadlineMargin), d.settings.DeadlineMargin)
	return request.Deadline + min(off, max(off-request.Class.MaxDeadline/responseFraction, 0))
}

// SetDeadline sets when the txn has to be answered at the latest; a node that is told to end brings it forward.
// Danger: a txn that is forgotten. This alarm answers it whatever else happens.
func (d *Dispatcher) SetDeadline(request *Request, at int64) {
	request.Deadline = min(request.Deadline, at)
	request.cancelDeadline = d.actions.Schedule(request.Deadline-d.now-d.headroom(), func() { d.giveUp(request, DeadlineReached) })
}

// overQuota tells by chance whether a txn lies beyond its tenant's share, by the other tenants' arrivals.
func (d *Dispatcher) overQuota(request *Request) bool {
	var others, shares float64
	for i, tenant := range d.settings.Tenants {
		if i != request.Tenant {
			others, shares = others+d.tenantArrivals[i].decay(d.now).total, shares+tenant.Quota
		}
	}
	own := d.tenantArrivals[request.Tenant].decay(d.now)
	own.total++
	due := (others + 1) * d.settings.Tenants[request.Tenant].Quota / shares
	return d.random.Float64()*own.total > overQuotaFactor*due+2*math.Sqrt(due) // twice the spread of chance
}

// classPreference is what a txn counts for over its value: more in the scheme served worst, by the terms.
func (d *Dispatcher) classPreference(class *Class) float64 {
	own, all := d.classValues[class.Index].decay(d.now), 0.0
	for i := range d.classValues {
		l := d.classValues[i].decay(d.now)
		if all += l.total; l.hits*own.total < own.hits*l.total {
			return 1
		}
	}
	return 1 + d.settings.WorstClassWeight*all/max(own.total, 1e-9)
}

// expectedRuntime is how long the txn is expected to run, at quantile q.
func (d *Dispatcher) expectedRuntime(request *Request, q float64) int64 {
	return max(int64(request.workUnit()*d.runtimes[request.Class.Index].quantile(q, float64(request.Class.LatencyObjective)/request.workUnit())), 1e6)
}

// assign posts the txn or lets it wait at the node.
func (d *Dispatcher) assign(request *Request) {
	if request.Done || request.activeAttempts > 0 {
		return
	}
	// Danger: executors that never answer probes. What has heard nothing for some rounds goes out blindly.
	asking, count := d.settings.CapacityProbes && !d.settings.LiveCapacity && (request.probeRounds < probesPerRound || d.capacityReportedAt >= request.arrivedAt), 1
	if asking {
		count = probesPerRound
	}
	if len(request.Attempts) >= d.settings.MaxAttempts || request.firstPossibleRun() != nil && d.mayNotRepeat(request) {
		d.giveUp(request, AttemptsExhausted)
	} else if d.endpointsMayBeStale() {
		request.retryAt = d.now + minDelayTicks*d.settings.Tick
		d.enqueue(request)
	} else if drawn := d.draw(request, count); len(drawn) == 0 {
		// Danger: in a jam a node spends its processor time on looking for room that is not there.
		request.retryAt, request.fruitlessDraws = d.now+d.settings.Tick*min(request.fruitlessDraws, 16), request.fruitlessDraws+1
		d.enqueue(request)
	} else if asking {
		d.probeCapacity(request, drawn)
	} else {
		d.startAttempt(request, drawn[0])
	}
}

// probeCapacity looks for room at a few executors drawn; the first to tell of some gets the txn.
// Danger: of many nodes each sees next to nothing of load, and a long job's late start can't be made good.
func (d *Dispatcher) probeCapacity(request *Request, drawn []*Server) {
	for _, server := range drawn {
		if len(server.probeWaiters) == 0 {
			d.actions.ProbeCapacity(server)
		}
		server.probeWaiters = append(server.probeWaiters, request)
	}
	request.probeRounds++
	round := request.probeRounds
	d.actions.Schedule(int64(round)*d.reportLifetime, func() {
		if !request.Done && request.activeAttempts == 0 && request.probeRounds == round {
			d.enqueue(request)
		}
	})
}

// CapacityReported takes what an executor told of its room, if it told of any.
// Danger: what many nodes were told they all take at once; so with the chance that starts are prompt.
func (d *Dispatcher) CapacityReported(server *Server, told bool, free, memory float64) {
	askers := server.probeWaiters
	server.freeSlots = server.reservations.sum(free, d.now-4*d.reportLifetime)
	if server.probeWaiters, server.capacityReportedAt, server.freeMemory = nil, d.now, memory; told {
		d.capacityReportedAt = d.now
	}
	for _, request := range askers {
		// Danger: an answer that comes late; the executor may be gone, and the txn out or over.
		if !request.Done && request.activeAttempts == 0 && !d.reportedFull(request, server) && d.allowed(request, server) &&
			d.random.Float64() < d.promptShare(server.zone == d.settings.Zone) {
			server.freeMemory -= request.Memory
			d.startAttempt(request, server)
			d.SlotsReserved(server, request.Slots)
			if d.settings.PeerMessages && request.probeRounds > 1 {
				d.actions.NotifyPeers(server, request.Slots)
			}
		}
	}
}

// SlotsReserved notes slots that this or another node took at an executor, for as long as reports may lack them.
func (d *Dispatcher) SlotsReserved(server *Server, slots float64) {
	server.reservations = server.reservations.add(d.now, -slots, 4*d.reportLifetime)
	server.freeSlots -= slots
}

// reportedFull says whether the executor told lately that the txn finds no room there.
func (d *Dispatcher) reportedFull(request *Request, server *Server) bool {
	return server.capacityReportedAt > 0 && d.now-server.capacityReportedAt < d.reportLifetime && (server.freeSlots < request.Slots || server.freeMemory < request.Memory)
}

// mayNotRepeat says whether a txn that may have run must not go again at all.
func (d *Dispatcher) mayNotRepeat(request *Request) bool {
	return request.Class.Idempotency == NonIdempotent ||
		request.Class.Idempotency == IdempotentInGroup && d.now-request.firstPossibleRun().sentAt >= request.Class.DedupWindow-d.settings.Tick
}

// allowed says whether the rules let the txn go to the executor now.
func (d *Dispatcher) allowed(request *Request, server *Server) bool {
	// Danger: a drained or gone executor that still gets work; the list's word counts at once.
	if server.State != Up || !server.listed || request.Class.MachineType >= 0 && request.Class.MachineType != server.machineType {
		return false
	}
	for _, attempt := range request.Attempts {
		if attempt.canceled && attempt.Server == server || attempt.InFlight && (attempt.Server == server || !d.settings.AllowHedging) {
			return false
		}
	}
	if a := request.firstPossibleRun(); a != nil {
		// Danger: an effect twice. Only the group that holds the mark drops the repeat, and not for ever.
		class, f := request.Class, a.Server
		if d.mayNotRepeat(request) || class.Idempotency == IdempotentInGroup &&
			(class.DedupScope == DedupZone && server.zone != f.zone || class.DedupScope == DedupCell && server.cell != f.cell) {
			return false
		}
	}
	// Danger: what all nodes hold together, used beyond this one's share of it.
	return d.settings.withinQuotas(request, server) && d.withinSlowStartBudget(request, server)
}

// withinSlowStartBudget keeps this node's part of a cold executor's budget, by all that was sent, refused or not.
// Danger: one pushed over by all nodes together, or by a new node that knows nothing of what it sent before.
func (d *Dispatcher) withinSlowStartBudget(request *Request, server *Server) bool {
	if d.settings.warmUpFactor(server, d.now) == 1 {
		return true
	}
	if d.settings.Quotas != nil { // it counts as it is sent
		return d.settings.Quotas.Allow(BudgetSlowStart, server, request, request.size/d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1))
	}
	part, since, turn, _ := d.quotaShare(server)
	return turn && d.slowStartOwnerSince < since && server.recentSends.sum(request.size, since) <= part
}

// slowStartBudget is a part of the work that all nodes may send a cold executor in a window, by its warmth at a time.
// It bears N jobs, two root N + 2 for chance; what is sent has that chance too, so that N / doubt follows.
func (d *Dispatcher) slowStartBudget(server *Server, at int64, parts float64) float64 {
	work := d.settings.OverloadFactor * float64(d.settings.OverloadWindow) * max(server.typeStats.maxSlots, 1) / server.typeStats.meanRuntimeRatio(d.now)
	return work * (d.settings.warmUpFactor(server, at) / slowStartMargin / parts)
}

// quotaShare is what this node may send a cold executor, since when, whether now, and how many groups take turns.
// Danger: an even part of many is less than one txn, and what was swapped stands empty. So a few take turns.
func (d *Dispatcher) quotaShare(server *Server) (part float64, since int64, turn bool, of float64) {
	nodes, length := d.settings.nodesInRotation(), max(d.settings.OverloadWindow/turnsPerWindow, 1)
	// Danger: a start that is stamped too late lies ahead, and nothing sent since then would count.
	first := server.startedAt - d.settings.StartTimeError
	n := max(d.now-first, 0) / length
	since = first + n*length
	all := d.slowStartBudget(server, since, turnsPerWindow+1) // a window meets one turn more than it is long
	members := max(int64(min(all/d.largeSize, float64(nodes))), 1)
	groups := (int64(nodes) + members - 1) / members
	return all / float64(members), since, (n+int64(d.settings.NodeIndex)+server.startedAt/1e6)%groups == 0, float64(groups)
}

// reliability is H, drifted back towards 1 up to now.
func (d *Dispatcher) reliability(server *Server) float64 {
	// Danger: nearly all executors are well; working out a drift for each at every draw is the dearest step.
	if server.reliability == 1 || float64(d.now-server.reliabilityAt) > 7*decayTime {
		return 1
	}
	return 1 - (1-server.reliability)*math.Exp(-float64(d.now-server.reliabilityAt)/decayTime)
}

// effectiveReliability is H, or less where many other nodes say so and no job of this one ended well there of late.
// Danger: old news that beats a fresh outcome; or each of many nodes finds out for itself, at its txns' cost.
func (d *Dispatcher) effectiveReliability(server *Server) float64 {
	if server.OutlierScore > 0 && d.now-server.idleUntil+d.settings.IdleTimeout > ownResultLifetime {
		return min(d.reliability(server), 1-server.OutlierScore)
	}
	return d.reliability(server)
}

// outlier says whether the executor is left out while others remain.
func (d *Dispatcher) outlier(server *Server) bool {
	return d.effectiveReliability(server) < minReliability
}

// weight is the design's: mean score over the top score, times H; a cold executor counts by its age.
func (d *Dispatcher) weight(request *Request, server *Server) float64 {
	// Danger: one of many nodes meets most executors seldom or never; until then their kind's mean stands in.
	score := (server.typeStats.scores.hits + initialScore) / (server.typeStats.scores.total + 1)
	score = (float64(server.scoreSum)/topScore + score*typeScoreWeight) / (float64(server.scoreCount) + typeScoreWeight)
	if warmth := d.settings.warmUpFactor(server, d.now); warmth < 1 {
		_, _, _, groups := d.quotaShare(server) // seldom in turn, it is taken as much likelier then
		score *= warmth * d.settings.slowStartShareFactor(server, groups)
	}
	// Danger: the rest crowd out a scheme that one kind alone can run.
	if request.Class.MachineType < 0 && server.typeStats.required {
		score *= requiredTypeFactor
	}
	return max(score, 0.01) * d.effectiveReliability(server) * server.spareFactor
}

// exceeded says whether so many slots more are over what an executor or a thing is thought to bear.
func (g *concurrencyLimit) exceeded(slots float64, now, run int64) bool {
	// Danger: one posting from each of many nodes fills a small machine. A limit under one is a pause.
	return g.slotsInFlight > 0 && g.slotsInFlight+slots > g.limit ||
		g.slotsInFlight == 0 && float64(now-g.lastEndedAt) < (1/min(g.limit, 1)-1)*float64(run)
}

// reduceLimit cuts a limit for a posting that found too much there; one slot stays for all nodes.
// Danger: one pause makes all that is there late; cut for each, hardly a limit would be left.
func (d *Dispatcher) reduceLimit(g *concurrencyLimit, sent int64, busy float64) {
	if sent >= g.reducedAt {
		g.limit, g.reducedAt = max(limitReduction*min(g.limit, busy), 1/float64(max(d.settings.Nodes, 1))), d.now
	}
}

// minStartTimeout is how long the note of a start is waited for.
// Danger: measured from common delays it would grow with every jam, so that no limit ever fell.
func (d *Dispatcher) minStartTimeout() int64 { return 4 * (d.settings.Tick + d.minStartDelay) }

// startTimeout is how long a posting may wait at its executor before that counts as full: a part of its slack.
func (d *Dispatcher) startTimeout(attempt *Attempt) int64 {
	if !d.settings.LoadReports {
		return d.minStartTimeout()
	}
	return max(d.minStartTimeout(), d.slack(attempt.Request, attempt.sentAt)/4)
}

// slack is the time left to start in. Without a hint a long job's SLA time is long too; the middle one tells.
func (d *Dispatcher) slack(request *Request, from int64) int64 {
	return request.objectiveAt - d.expectedRuntime(request, [2]float64{0.5, highQuantile}[min(max(request.ExpectedWork, 0), 1)]) - from
}

// promptShare is the share of postings that started promptly, at home or away; one while nothing is known.
func (d *Dispatcher) promptShare(home bool) float64 {
	l := d.startPromptness[home].decay(d.now)
	return (l.hits + 1) / (l.total + 1)
}

// draw picks executors by chance and weight, idle and prompt ones before uncrowded ones before any with room,
// home first where crossing is dear. The least of waits drawn at rates of weights is a draw by weight.
func (d *Dispatcher) draw(request *Request, count int) []*Server {
	mean := d.slotsInFlight / float64(len(d.servers.servers))
	d.drawCount++
	s := &candidateSearch{request: request, count: count, runtime: d.expectedRuntime(request, 0.5), meanInFlight: mean, draw: d.drawCount}
	if d.candidates = d.candidates[:0]; request.keyState.exceeded(request.Slots, d.now, s.runtime) {
		return nil
	}
	// Danger: a zone with more traffic than its machines can carry drowns while others idle.
	s.anyZone = d.settings.CrossZoneCost < localZoneCost || d.random.Float64()*d.promptShare(false) > d.promptShare(true)
	if request.AffinityKey == 0 {
		d.findCandidates(s)
		return d.candidates[:min(count, len(d.candidates))]
	}
	// Danger: what has homes in each zone is fetched as many times more, and others' make room.
	s.anyZone = s.anyZone || d.settings.CrossZoneCost < d.settings.FetchCost
	for _, server := range d.preferredServers(request, s.anyZone) {
		d.consider(s, server)
	}
	return d.candidates[:min(count, len(d.candidates))]
}

// consider draws a wait for a server, if it may be sent to, and keeps it if that is among the least; each server once a draw.
func (d *Dispatcher) consider(s *candidateSearch, server *Server) {
	if server.lastDraw == s.draw {
		return
	}
	server.lastDraw = s.draw
	request, sick := s.request, d.outlier(server)
	if sick && s.foundHealthy || !d.allowed(request, server) {
		return
	}
	s.foundAllowed = true
	// The sick count only if none else remains, with or without room.
	if !sick && !s.foundHealthy {
		s.foundHealthy, d.candidates = true, d.candidates[:0]
	}
	if server.exceeded(request.Slots, d.now, s.runtime) || d.reportedFull(request, server) {
		return
	}
	// One that was prompt and has a connection open still is likelier to have room, without a handshake.
	step := 1.0
	if server.slotsInFlight == 0 && server.limit >= 1 && (d.now < server.idleUntil || d.settings.warmUpFactor(server, d.now) < 1) {
		step = 0
	} else if server.slotsInFlight >= crowdedMargin+s.meanInFlight {
		step = 2
	}
	if !s.anyZone && server.zone != d.settings.Zone {
		step += 3
	}
	// Danger: of many nodes each holds connections to all. What is beyond this one's part comes after the rest.
	step += 6 * float64(d.settings.distanceFor(request, server, d.now))
	server.sampleKey = step*preferenceStep - math.Log(1-d.random.Float64())/d.weight(request, server)
	if i, _ := slices.BinarySearchFunc(d.candidates, server, bySampleKey); i < s.count {
		d.candidates = slices.Insert(d.candidates, i, server)
	}
}

// preferredServers are the few that txns about one thing are drawn among: by a chance that all nodes share, and by size.
// Danger: what an executor must fetch for each txn jams the store for all, and the jam feeds itself.
func (d *Dispatcher) preferredServers(request *Request, roam bool) []*Server {
	count := 1 + int(d.promptShare(true)+spareServerShare) + (len(d.servers.servers)*max(request.keyState.requests-1, 0)+d.keyedRequests/2)/d.keyedRequests
	// Danger: what waits at a crowded home is late; what goes on and on is fetched everywhere. One stands by.
	few := count
	d.preferred, count = d.preferred[:0], count+1
	for _, server := range d.servers.servers {
		luck := float64(rand.NewPCG(request.AffinityKey, server.Hash).Uint64()>>11+1) / (1 << 53)
		if server.sampleKey = -math.Log(luck) / server.size; request.Class.MachineType < 0 && server.typeStats.required {
			server.sampleKey /= requiredTypeFactor
		}
		// Danger: a few nodes at a time may send to a cold one; by key none of them ever would.
		if d.settings.warmUpFactor(server, d.now) < 1 {
			server.sampleKey = 0
		} else if !roam && server.zone != d.settings.Zone {
			server.sampleKey += 1e9
		}
		if len(d.preferred) >= count && server.sampleKey > d.preferred[count-1].sampleKey || d.outlier(server) || !d.allowed(request, server) {
			continue
		}
		if server.sampleKey == 0 {
			count, few = count+1, few+1
		}
		i, _ := slices.BinarySearchFunc(d.preferred, server, bySampleKey)
		d.preferred = slices.Insert(d.preferred, i, server)
	}
	if len(d.preferred) == 0 {
		return d.servers.servers
	}
	d.preferred = d.preferred[:min(count, len(d.preferred))]
	for _, server := range d.preferred {
		if d.settings.LiveCapacity && server.sampleKey > 0 && server.size/server.spareFactor-1 > max(crowdedFactor*d.load/float64(len(d.servers.servers)), 1) {
			server.sampleKey += 2e9
		}
	}
	slices.SortStableFunc(d.preferred, bySampleKey)
	return d.preferred[:min(few, len(d.preferred))]
}

func bySampleKey(server, b *Server) int { return cmp.Compare(server.sampleKey, b.sampleKey) }

// startAttempt sends the txn and leaves behind what its outcome leads to.
func (d *Dispatcher) startAttempt(request *Request, server *Server) {
	attempt := &Attempt{Request: request, Server: server, Number: len(request.Attempts), InFlight: true, sentAt: d.now}
	request.Attempts = append(request.Attempts, attempt)
	server.slotsInFlight, d.slotsInFlight, request.keyState.slotsInFlight, request.activeAttempts = server.slotsInFlight+request.Slots, d.slotsInFlight+request.Slots, request.keyState.slotsInFlight+request.Slots, request.activeAttempts+1
	// Danger: a node that hears of a start late, and has sent to it as to a warm one since.
	if server.recentSends = server.recentSends.add(d.now, request.size, d.settings.OverloadWindow); d.settings.warmUpFactor(server, d.now) < 1 {
		attempt.SlowStartShare = request.size / d.slowStartBudget(server, d.now-d.settings.OverloadWindow, 1)
	}
	attempt.afterEnd = func() { d.assign(request) }
	d.actions.StartAttempt(attempt)
	d.superviseAttempt(attempt)
}

// MaySend says at a posting's first byte whether it may still leave. Danger: news that came while it waited.
func (d *Dispatcher) MaySend(attempt *Attempt) bool {
	return attempt.Server.State == Up && !attempt.Request.Done && !attempt.canceled && !d.endpointsMayBeStale()
}

// checkLater looks after a while at a posting that is still out.
// Danger: a node that stood still finds alarms and notes at once; its lateness looks like its executors'.
func (d *Dispatcher) checkLater(attempt *Attempt, after int64, then func()) {
	due := d.now + after + d.minStartTimeout()
	d.actions.Schedule(after, func() {
		switch {
		case !attempt.InFlight || attempt.Request.Done:
		case d.now > due:
			d.checkLater(attempt, d.settings.Tick, then)
		default:
			then()
		}
	})
}

// superviseAttempt sees to a posting's start, where executors tell of it, and then to its end.
func (d *Dispatcher) superviseAttempt(attempt *Attempt) {
	if attempt.startedAt > 0 || !d.settings.StartNotices {
		d.awaitEnd(attempt, d.settings.Tick)
		return
	}
	d.checkLater(attempt, d.startTimeout(attempt), func() {
		if server := attempt.Server; attempt.startedAt == 0 {
			// Danger: many slots stand half empty, or one that slowed is judged by its best. Late in a row, ever less.
			least := min(server.limit, server.typeStats.maxSlots/float64(max(d.settings.Nodes, 1))*math.Exp2(-server.lateStarts))
			d.adjustLimit(attempt, server.slotsInFlight, false)
			server.limitBeforeRejections, server.limit, server.lateStarts = 0, max(server.limit, least), server.lateStarts+1
			d.recordLowLimit(server)
			d.awaitStart(attempt)
		}
	})
}

// awaitStart decides what becomes of a posting that waits at its executor.
func (d *Dispatcher) awaitStart(attempt *Attempt) {
	wait, class := d.slack(attempt.Request, d.now)/2, attempt.Request.Class
	switch {
	case attempt.startedAt > 0:
		return
	// Danger: what is declined here may run all the same and comes back as a retry, so that a jam never ends.
	case class.Idempotency == Idempotent && class.LateShare == 0 && d.expectedValue(attempt.Request) <= 0:
		d.giveUp(attempt.Request, LateAtServer)
		return
	case !d.settings.LoadReports || wait <= d.minStartTimeout():
		d.hedge(attempt)
		wait = max((d.now-attempt.sentAt)/2, d.minStartTimeout())
	}
	d.checkLater(attempt, wait, func() { d.awaitStart(attempt) })
}

// awaitEnd decides what becomes of a posting that runs too long or stands still.
func (d *Dispatcher) awaitEnd(attempt *Attempt, wait int64) {
	run, period := d.expectedRuntime(attempt.Request, highQuantile), d.settings.ProgressInterval
	still := period > 0 && d.now-max(attempt.progressAt, attempt.startedAt, attempt.sentAt) > int64(missedProgressPeriods*float64(period))
	if still || d.now-max(attempt.sentAt, attempt.startedAt) > int64(overdueFactor*float64(run)) {
		if d.recordFailure(attempt, 1); still || d.settings.AllowHedging {
			d.hedge(attempt)
		}
	}
	wait = min(max(run/2, wait), cmp.Or(period, run))
	d.checkLater(attempt, wait, func() { d.awaitEnd(attempt, 2*wait) })
}

// hedge sends a late posting's txn to a second executor, or takes it back to go again where that is forbidden.
func (d *Dispatcher) hedge(attempt *Attempt) {
	request, left := attempt.Request, d.settings.MaxAttempts-len(attempt.Request.Attempts)
	if !d.settings.AllowHedging {
		// Danger: what is taken back may run all the same, for nobody. Who stands still runs none of it; a list
		// that tells of load promises room elsewhere.
		late := d.settings.LiveCapacity && d.now-attempt.sentAt >= d.slack(request, attempt.sentAt)/4
		if left > 0 && !d.mayNotRepeat(request) && (attempt.startedAt > 0 || late || d.effectiveReliability(attempt.Server) < minChance) {
			d.cancelAttempt(attempt)
		}
		return
	}
	if !d.mayHedge() {
		return
	}
	// Danger: copies in a full fleet take the room of txns that wait for it, here or at many other nodes.
	for _, server := range d.draw(request, 1) {
		hit, gain := d.promptShare(server.zone == d.settings.Zone), 1-request.Class.LateShare+d.settings.MissedObjectiveCost
		if len(d.queue) == 0 && left > 0 && request.activeAttempts <= 1 && hit*gain >= (1-hit)*delayedByHedge {
			d.startAttempt(request, server)
		}
	}
}

// adjustLimit moves an executor's in-flight limit by how prompt a start was.
func (d *Dispatcher) adjustLimit(attempt *Attempt, busy float64, prompt bool) {
	server := attempt.Server
	if d.startPromptness[server.zone == d.settings.Zone].decay(d.now).record(prompt); !prompt {
		d.reduceLimit(&server.concurrencyLimit, attempt.sentAt, busy)
		d.recordLowLimit(server)
		return
	}
	// Danger: executors that turn part away though not full stand empty. A full one would not start at once.
	server.limit, server.limitBeforeRejections, server.lateStarts = max(server.limit, server.limitBeforeRejections), 0, 0
	if busy+1 >= server.limit {
		server.limit += limitGrowth * min(server.limit, 1)
	}
	// Danger: limits that only an executor's own starts raise keep machines empty that had one long job.
	for i := 0; i < len(d.lowLimit.servers); i++ {
		x := d.lowLimit.servers[i]
		if x.limit = max(x.limit, min(x.limit+limitGrowth/2*min(x.limit, 1)/float64(len(d.servers.servers)), initialLimit)); x.limit >= initialLimit {
			d.lowLimit.remove(x)
			i--
		}
	}
}

// recordLowLimit notes a server whose limit is under the one that all start with.
func (d *Dispatcher) recordLowLimit(server *Server) {
	if server.listed && server.limit < initialLimit {
		d.lowLimit.add(server)
	}
}

// retrySuccessRate is the chance that a txn which erred is served elsewhere, as others of its thing and scheme were.
func (d *Dispatcher) retrySuccessRate(request *Request) float64 {
	s, k := d.retrySuccess[request.Class.Index].decay(d.now), request.keyState.retrySuccess.decay(d.now)
	return (k.hits + (s.hits+1)/(s.total+1)) / (k.total + 1)
}

// reduceKeyLimit moves a thing's limit in flight. Danger: what waits for a lock holds slots everywhere; others starve.
func (d *Dispatcher) reduceKeyLimit(h *keyState, attempt *Attempt, bad bool) {
	if !bad {
		if h.failedServer = nil; h.slotsInFlight+attempt.Request.Slots+1 >= h.limit {
			h.limit += limitGrowth * min(h.limit, 1)
		}
	} else if h.failedServer == nil || h.failedServer == attempt.Server {
		h.failedServer = attempt.Server
	} else { // two executors agree, so it is not theirs
		d.reduceLimit(&h.concurrencyLimit, attempt.sentAt, h.slotsInFlight+attempt.Request.Slots)
	}
}

// recordFailure counts a posting as lost, once; in part where the executor is at fault by that part.
func (d *Dispatcher) recordFailure(attempt *Attempt, part float64) {
	if server := attempt.Server; !attempt.failureRecorded {
		attempt.failureRecorded, server.reliability, server.reliabilityAt = true, d.reliability(server)*(1-(1-failureFactor)*part), d.now
		d.recordRank(attempt, 0, true)
	}
}

// recordRank scores a job against the last two of its family at other executors.
func (d *Dispatcher) recordRank(attempt *Attempt, time float64, lost bool) {
	server, key := attempt.Server, rankGroup{attempt.Request.Class, attempt.Request.Slots}
	marks := slices.DeleteFunc(d.recentResults[key], func(m recentResult) bool { return m.server == server })
	d.recentResults[key] = append(marks[max(len(marks)-2, 0):], recentResult{server, time, lost})
	place, lostToo := 0, 0
	for _, m := range marks[max(len(marks)-2, 0):] {
		if m.lost {
			lostToo++
		} else if m.duration < time {
			place++
		}
	}
	if len(marks) < 2 || lost && lostToo == 2 {
		return
	}
	if lost {
		place = 3
	}
	score := rankScores[place]
	server.typeStats.scores.decay(d.now).total++
	server.typeStats.scores.hits += float64(score) / topScore
	server.scoreCount, server.scoreSum = min(server.scoreCount+1, scoreWindow), server.scoreSum+int(score)-int(server.scores[server.nextScore])
	server.scores[server.nextScore], server.nextScore = score, (server.nextScore+1)%scoreWindow
}

// AttemptEnded takes the outcome of a posting; over says that the txn has ended by it or earlier.
func (d *Dispatcher) AttemptEnded(attempt *Attempt, o Outcome, took int64, over bool) {
	request, server := attempt.Request, attempt.Server
	if attempt.InFlight, server.lastEndedAt = false, d.now; attempt.startedAt > 0 {
		server.startedSlots -= request.Slots
	}
	free := func() {
		server.slotsInFlight, d.slotsInFlight, request.keyState.slotsInFlight, request.keyState.lastEndedAt = server.slotsInFlight-request.Slots, d.slotsInFlight-request.Slots, request.keyState.slotsInFlight-request.Slots, d.now
	}
	// Danger: what was taken back may run all the same; with its place taken for free a jam outlives its cause.
	if o == Canceled {
		d.actions.Schedule(d.expectedRuntime(request, 0.5), free)
	} else {
		free()
	}
	if attempt.provedNotRun = o == Rejected || o == ConnectFailed || o == NotSent; !attempt.canceled {
		request.activeAttempts--
	}
	// Danger: of many nodes none has more than one or two txns at an executor, and takes it for that small.
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, attempt.FreeSlots)
	// Danger: a txn that errs wherever it goes, or what is behind all executors, takes the healthy ones out.
	part, again, cured := 1.0, request.failedServer != nil && request.failedServer != server, d.retrySuccessRate(request)
	if o == Failed {
		part, request.failedServer = cured, server
	}
	if again && (o == Succeeded || o == Failed) {
		d.retrySuccess[request.Class.Index].decay(d.now).record(o == Succeeded)
		request.keyState.retrySuccess.decay(d.now).record(o == Succeeded)
	}
	if (request.AffinityKey != 0 || len(d.settings.Tenants) > 1) && (o == Succeeded || o == Failed) {
		far := float64(d.now-max(attempt.sentAt, attempt.startedAt)) > overdueFactor*float64(d.expectedRuntime(request, 0.5))
		// What is about one thing is alike; of a tenant's long runs alone say nothing.
		if bad := far && cured < minChance || request.AffinityKey != 0 && (far || part < minChance); bad || o == Succeeded {
			d.reduceKeyLimit(request.keyState, attempt, bad)
		}
	}
	switch o {
	case Succeeded:
		if !request.Done && d.now <= request.objectiveAt {
			d.classValues[request.Class.Index].hits += request.priorityWeight
		}
		if !attempt.failureRecorded {
			server.reliability, server.reliabilityAt, server.idleUntil = min(d.reliability(server)+successBonus, 1), d.now, d.now+d.settings.IdleTimeout
			if server.listed {
				d.withIdleConnection.add(server)
			}
			d.recordRank(attempt, float64(took)/request.workUnit(), false)
		}
		d.recordRuntime(attempt, d.now-max(attempt.sentAt, attempt.startedAt))
	case Failed, TimedOut, ConnectFailed, ConnectionLost, StaleConnection: // Danger: a gone connection, at once, is no sick executor
		if !attempt.canceled && (o != StaleConnection || took > d.minStartTimeout()) {
			d.recordFailure(attempt, part)
		}
	case Rejected:
		// Danger: an executor that turns all away at once looks idle and draws everything; its limit falls as well.
		server.limitBeforeRejections = max(server.limitBeforeRejections, server.limit)
		d.adjustLimit(attempt, server.slotsInFlight+request.Slots, false)
	}
	if over {
		d.Finish(request)
	} else if o == TimedOut && attempt.Timeout == 0 { // its client has given up, whatever was told
		d.giveUp(request, ClientTimeout)
	} else if again && o == Failed && part < minRetrySuccess {
		d.giveUp(request, FailsEverywhere)
	}
	attempt.afterEnd()
}

// ClientClosed ends a txn whose client has closed, or shut its sending side and may still read: it gets the final answer that the rules allow.
func (d *Dispatcher) ClientClosed(request *Request) { d.giveUp(request, ClientGone) }

// Finish ends a txn that is answered, or whose client has gone.
func (d *Dispatcher) Finish(request *Request) {
	if request.Done = true; request.cancelDeadline != nil {
		request.cancelDeadline()
	}
	for _, attempt := range request.Attempts {
		d.cancelAttempt(attempt)
	}
}

func (d *Dispatcher) cancelAttempt(attempt *Attempt) {
	if attempt.InFlight && !attempt.canceled && d.settings.AllowCancel {
		attempt.canceled, attempt.Request.activeAttempts = true, attempt.Request.activeAttempts-1
		d.actions.CancelAttempt(attempt)
	}
}

// giveUp gives the final answer that the rules allow.
func (d *Dispatcher) giveUp(request *Request, why Reason) {
	if request.Done {
		return
	}
	request.Reason = why
	d.Finish(request)
	// Danger: a decline tells the client that trying again is harmless; where it might not be, reverse.
	class := request.Class
	if request.firstPossibleRun() == nil || class.Idempotency == Idempotent || class.Idempotency == IdempotentInGroup && class.DedupScope == DedupAll {
		d.actions.Shed(request, d.settings.MaxRetryAfter)
	} else {
		d.actions.Compensate(request)
	}
}

func (d *Dispatcher) AttemptStarted(attempt *Attempt) {
	if !attempt.InFlight || attempt.startedAt > 0 {
		return
	}
	request, server := attempt.Request, attempt.Server
	attempt.startedAt, d.minStartDelay = d.now, min(cmp.Or(d.minStartDelay, d.now-attempt.sentAt), d.now-attempt.sentAt)
	server.startedSlots += request.Slots
	server.typeStats.maxSlots = max(server.typeStats.maxSlots, server.startedSlots)
	if d.now-attempt.sentAt <= d.startTimeout(attempt) {
		d.adjustLimit(attempt, server.slotsInFlight, true)
	}
	// Tied copies: the first to start is kept, the others are still waiting and cost nothing to take back.
	for _, q := range request.Attempts {
		if q != attempt && q.startedAt == 0 {
			d.cancelAttempt(q)
		}
	}
	d.superviseAttempt(attempt)
}

func (d *Dispatcher) AttemptProgressed(attempt *Attempt) { attempt.progressAt = d.now }

// ProcessQueue ends a round of events: it places waiting txns, the worthiest first, or gives them up.
func (d *Dispatcher) ProcessQueue() {
	waiting := d.queue
	d.queue = nil
	for _, request := range waiting {
		request.queued, request.expectedValue = false, d.expectedValue(request)
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int { return cmp.Compare(b.expectedValue, a.expectedValue) })
	for _, request := range waiting {
		switch {
		case request.expectedValue <= 0:
			d.giveUp(request, QueueTimeout)
		case d.now < request.retryAt:
			d.enqueue(request)
		default:
			d.assign(request)
		}
	}
	if len(d.queue) > 0 && !d.queueTimerSet {
		d.queueTimerSet = true
		d.actions.Schedule(2*d.settings.Tick, func() { d.queueTimerSet = false })
	}
}

func (d *Dispatcher) enqueue(request *Request) {
	if !request.queued {
		request.queued = true
		d.queue = append(d.queue, request)
	}
}

// expectedValue is the billing value a slot and second to be expected of a waiting txn; 0: give it up now.
func (d *Dispatcher) expectedValue(request *Request) float64 {
	late := request.Class.LateShare
	part, atOnce, age := late+(1-late)*d.onTime(request, d.now), late+(1-late)*d.onTime(request, request.arrivedAt), d.now-request.arrivedAt
	// Danger: hints that are off make the best of chances look slim. It is the wait that takes a txn's hope.
	if part < minChance*atOnce || d.now+d.expectedRuntime(request, lowQuantile) >= request.Deadline || age > 2*(request.objectiveAt-request.arrivedAt) {
		return 0
	}
	return part * request.priorityWeight / request.size * d.classPreference(request.Class)
}

// onTime is the chance that a txn started then ends in time; without a hint only long jobs make up for waits.
func (d *Dispatcher) onTime(request *Request, at int64) float64 {
	room, runs := float64(request.arrivedAt+request.Class.LatencyObjective-at), &d.runtimes[request.Class.Index]
	if request.ExpectedWork > 0 {
		return runs.shareBelow(room/float64(request.ExpectedWork) + request.Class.ObjectivePerWork)
	}
	return 1 - runs.shareBelow(-room/1e9/max(request.Class.ObjectivePerWork-1, 0.1))
}
