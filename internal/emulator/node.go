// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"strconv"

	"fernrail/dispatch"
	"fernrail/internal/invariants"
)

// Policy makes what decides on one node. The decision module is one; baselines are others.
type Policy func(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, truth func(*dispatch.Server) float64) Decider

// Decider is what a node calls, as docs of the module tell.
type Decider interface {
	Advance(now int64)
	UpdateEndpoints(whole bool, members []dispatch.Endpoint)
	Arrive(*dispatch.Request)
	Finish(*dispatch.Request)
	AttemptStarted(*dispatch.Attempt)
	AttemptProgressed(*dispatch.Attempt)
	AttemptEnded(p *dispatch.Attempt, o dispatch.Outcome, took int64, ended bool)
	ProcessQueue()
}

// node is one dispatcher process with its connections. It carries out what its decider says and decides nothing.
type node struct {
	world           *world
	index           int
	zone            int
	name            string
	policy          Policy
	up              bool
	polls           bool
	incarnation     int
	listVersion     int // version of the list
	serverIndex     map[*dispatch.Server]int
	notifiedStates  []dispatch.EndpointState // of each executor; at its start a node takes all for up
	processorFreeAt int64
	decider         Decider
	servers         []*dispatch.Server // by the world's order
	idleUntil       [][]int64          // kept connections by executor: until when each stays
	requests        map[*dispatch.Request]*pendingRequest
	attempts        map[*dispatch.Attempt]*attemptState
	roundScheduled  bool
	classes         []*dispatch.Class // as its decider has them
	quotas          *nodeQuotas       // of what all hold together; nil: nothing is
}

// pendingRequest is a txn that the node owes an answer.
type pendingRequest struct {
	request *request
	number  int
}

// attemptState is one posting on its way.
type attemptState struct {
	job               *job
	serverIncarnation int // of the executor that the connection is to
	sentAt            int64
	over              bool
}

func (n *node) start(seed uint64) {
	w := n.world
	n.up, n.incarnation, n.listVersion = true, n.incarnation+1, 0
	n.requests, n.attempts = map[*dispatch.Request]*pendingRequest{}, map[*dispatch.Attempt]*attemptState{}
	n.serverIndex = map[*dispatch.Server]int{}
	n.servers, n.idleUntil, n.notifiedStates = nil, make([][]int64, len(w.servers)), make([]dispatch.EndpointState, len(w.servers))
	for _, e := range w.servers {
		n.servers = append(n.servers, &dispatch.Server{Tag: e.id, Hash: dispatch.HashName(e.id)})
		n.serverIndex[n.servers[len(n.servers)-1]] = len(n.servers) - 1
	}
	terms := w.scenario.settings(n)
	if n.quotas = nil; w.scenario.Leases.usesQuotas() {
		n.quotas = n.newQuotas()
		terms.Quotas = n.quotas
	}
	truth := func(x *dispatch.Server) float64 {
		e := w.servers[n.serverIndex[x]]
		if !e.up || e.hung || e.draining {
			return 1e9
		}
		return (float64(e.usedSlots+len(e.waiting)) + 1) / (float64(e.machineType.Slots) * e.speed * e.capacityShare() / max(e.slowdown, 1))
	}
	n.decider = n.policy(terms, seed+uint64(n.index)*1e9+uint64(n.incarnation), n, w.now, truth)
	n.polls = true
	n.updateEndpoints()
	w.scheduleSubsetUpdate()
}

func (n *node) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.world.scheduleSubsetUpdate()
	n.world.log(invariants.Event{Kind: invariants.NodeKilled, Node: n.name})
	inOrder := make([]*pendingRequest, 0, len(n.requests))
	for _, h := range n.requests {
		inOrder = append(inOrder, h)
	}
	slices.SortFunc(inOrder, func(a, b *pendingRequest) int { return a.number - b.number })
	for _, h := range inOrder {
		n.world.answerClient(n, h.request, resultReset)
	}
	n.requests, n.attempts = nil, nil
	for i := range n.idleUntil {
		n.world.servers[i].connections -= min(len(n.idleUntil[i]), n.world.servers[i].connections)
	}
	n.idleUntil = nil
}

// handleEvent hands the decider one thing when the node's processor gets to it.
func (n *node) handleEvent(step func()) {
	w, life := n.world, n.incarnation
	n.processorFreeAt = max(n.processorFreeAt, w.now) + int64(w.scenario.Fleet.DecisionTime)
	do := func() {
		if n.up && n.incarnation == life {
			n.decider.Advance(w.now)
			step()
			n.scheduleRound()
		}
	}
	if n.processorFreeAt == w.now {
		do()
	} else {
		w.after(n.processorFreeAt-w.now, do)
	}
}

// scheduleRound ends a round within a tick, once for all that came in it.
func (n *node) scheduleRound() {
	if n.roundScheduled {
		return
	}
	n.roundScheduled = true
	life := n.incarnation
	tick := int64(n.world.scenario.Fleet.Tick)
	n.world.after(tick-(n.world.now-startTime)%tick, func() {
		if n.roundScheduled = false; n.up && n.incarnation == life {
			n.decider.Advance(n.world.now)
			n.decider.ProcessQueue()
		}
	})
}

// updateEndpoints brings the node what discovery knows now.
func (n *node) updateEndpoints() {
	w := n.world
	n.listVersion = w.listVersion
	members := slices.Clone(w.endpoints)
	for i := range members {
		members[i].Server = n.servers[i]
		// Danger: each node's word of each executor with each list; at 300 nodes and 200 executors nothing else was logged.
		if state := members[i].State; state != n.notifiedStates[i] {
			n.notifiedStates[i] = state
			w.log(invariants.Event{Kind: invariants.EndpointNotified, Node: n.name, Server: w.servers[i].id, Result: []string{"up", "draining", "gone"}[state]})
		}
	}
	members = slices.DeleteFunc(members, func(m dispatch.Endpoint) bool { return m.State == dispatch.Removed })
	n.handleEvent(func() { n.decider.UpdateEndpoints(true, members) })
}

// accept is a request that has been read whole.
func (n *node) accept(q *request) {
	w := n.world
	if !n.up {
		w.answerClient(n, q, resultReset)
		return
	}
	w.requestCount++
	q.id = "t" + strconv.Itoa(w.requestCount)
	s := q.class
	t := &dispatch.Request{Tag: q.id, Tenant: q.tenant, Slots: float64(s.Slots), AffinityKey: q.affinityKey, Deadline: q.deadline, Class: w.classAt(n, s)}
	if w.scenario.Clients.WorkHints {
		t.ExpectedWork = int64(q.work / float64(s.Slots))
	}
	n.requests[t] = &pendingRequest{q, w.requestCount}
	tenant := ""
	if len(w.scenario.Tenants) > 0 {
		tenant = w.scenario.Tenants[q.tenant].Name
	}
	w.log(invariants.Event{Kind: invariants.RequestAccepted, Node: n.name, Request: q.id, Class: s.Name, Deadline: q.deadline, Client: q.operation.id, LatencyObjective: q.operation.latencyObjectiveAt, FirstRequestedAt: q.operation.firstRequestedAt, Weight: q.operation.weight, Tenant: tenant})
	n.handleEvent(func() { n.decider.Arrive(t) })
	w.after(q.deadline-w.now, func() { n.endOverdueAttempts(t) })
	w.after(q.deadline-w.now+int64(w.scenario.Rules.Slack), func() { n.handleClientLeft(t) })
}

// handleClientLeft ends a txn whose client has gone; that is the client's end, not an answer.
func (n *node) handleClientLeft(t *dispatch.Request) {
	if h := n.requests[t]; h != nil {
		delete(n.requests, t)
		n.handleEvent(func() { n.decider.Finish(t) })
	}
}

// endOverdueAttempts ends what is out for a txn at its expiry.
func (n *node) endOverdueAttempts(t *dispatch.Request) {
	for _, p := range t.Attempts {
		if f := n.attempts[p]; f != nil {
			n.endAttempt(p, n.serverIndex[p.Server], f, dispatch.TimedOut)
		}
	}
}

// answer gives the final answer.
func (n *node) answer(t *dispatch.Request, result string) {
	h := n.requests[t]
	n.world.log(invariants.Event{Kind: invariants.RequestAnswered, Request: t.Tag, Result: result})
	if h == nil {
		return
	}
	delete(n.requests, t)
	n.world.answerClient(n, h.request, result)
}

// Shed implements dispatch.Door, as do the methods after it.
func (n *node) Shed(t *dispatch.Request, returnIn int64) {
	if h := n.requests[t]; h != nil {
		h.request.retryAfter = returnIn
	}
	n.answer(t, resultShed)
}
func (n *node) Compensate(t *dispatch.Request)        { n.answer(t, resultCompensated) }
func (n *node) NotifyPeers(*dispatch.Server, float64) {}
func (n *node) ProbeCapacity(*dispatch.Server)        {}
func (n *node) PollEndpoints(on bool) {
	if n.polls = on; on && n.decider != nil {
		n.world.sendEndpoints(n)
	}
}

func (n *node) Schedule(after int64, then func()) (forget func()) {
	life := n.incarnation
	e := n.world.after(max(after, 1), func() {
		if n.up && n.incarnation == life {
			n.handleEvent(then)
		}
	})
	return func() { e.canceled = true }
}

// StartAttempt sends a posting over a kept connection, or a new one if there is none.
func (n *node) StartAttempt(p *dispatch.Attempt) {
	w := n.world
	i := n.serverIndex[p.Server]
	e, h := w.servers[i], n.requests[p.Request]
	f := &attemptState{sentAt: w.now}
	n.attempts[p] = f
	n.idleUntil[i] = slices.DeleteFunc(n.idleUntil[i], func(till int64) bool {
		if till < w.now {
			e.connections = max(e.connections-1, 0)
		}
		return till < w.now
	})
	if h == nil {
		n.handleEvent(func() { n.reportOutcome(p, i, dispatch.NotSent) })
		return
	}
	if n.quotas != nil && !n.quotas.reserve(p, len(n.idleUntil[i]) == 0) {
		n.handleEvent(func() { n.reportOutcome(p, i, dispatch.NotSent) })
		return
	}
	w.attemptCount++
	w.log(invariants.Event{Kind: invariants.AttemptSent, Request: p.Request.Tag, Attempt: p.Number, Server: e.id, Work: h.request.work / 1e9})
	f.job = &job{request: h.request, slots: h.request.class.Slots, remaining: h.request.work / float64(h.request.class.Slots), attempt: p.Number}
	f.job.report = func(what jobEvent) { w.send(e.zone, n.zone, func() { n.handleJobEvent(p, i, f, what) }) }
	request := func() { w.send(n.zone, e.zone, func() { e.accept(f.job) }) }
	if k := len(n.idleUntil[i]); k > 0 {
		n.idleUntil[i] = n.idleUntil[i][:k-1]
		if !e.up {
			w.send(n.zone, e.zone, func() { f.job.report(jobConnectionReset) })
			return
		}
		request()
		return
	}
	w.handshakeCount++
	refused := func() { w.send(e.zone, n.zone, func() { n.endAttempt(p, i, f, dispatch.ConnectFailed) }) }
	n.world.after(int64(w.scenario.Network.DialTimeout), func() {
		if f.serverIncarnation == 0 {
			n.endAttempt(p, i, f, dispatch.ConnectFailed)
		}
	})
	w.send(n.zone, e.zone, func() {
		switch {
		case e.hung: // no answer to the handshake
		case !e.up || e.connections >= e.machineType.MaxConnections:
			refused()
		default:
			e.connections++
			e.chargeHandshake()
			w.send(e.zone, n.zone, func() {
				if f.over {
					e.connections = max(e.connections-1, 0)
					return
				}
				f.serverIncarnation = e.incarnation + 1
				request()
			})
		}
	})
}

// chargeHandshake is the work of a new connection, which the running jobs pay for.
func (e *server) chargeHandshake() {
	if cost := float64(e.machineType.HandshakeWork) * e.speed; cost > 0 && len(e.running) > 0 {
		e.advance()
		for _, j := range e.running {
			j.remaining += cost / float64(len(e.running)) / max(e.machineType.Cores, 1)
		}
		e.scheduleStep()
	}
}

// handleJobEvent is a line from an executor.
func (n *node) handleJobEvent(p *dispatch.Attempt, i int, f *attemptState, what jobEvent) {
	switch what {
	case jobStarted:
		n.reportToDecider(p, f, func() { n.decider.AttemptStarted(p) })
	case jobProgressed:
		n.reportToDecider(p, f, func() { n.decider.AttemptProgressed(p) })
	default:
		n.endAttempt(p, i, f, map[jobEvent]dispatch.Outcome{jobSucceeded: dispatch.Succeeded, jobFailed: dispatch.Failed, jobRejected: dispatch.Rejected, jobConnectionReset: dispatch.ConnectionLost}[what])
	}
}

func (n *node) reportToDecider(p *dispatch.Attempt, f *attemptState, step func()) {
	if n.up && n.attempts[p] == f && !f.over {
		n.handleEvent(func() {
			if !f.over {
				step()
			}
		})
	}
}

// endAttempt is a posting's one outcome.
func (n *node) endAttempt(p *dispatch.Attempt, i int, f *attemptState, o dispatch.Outcome) {
	if !n.up || n.attempts[p] != f || f.over {
		return
	}
	f.over = true
	if o == dispatch.Succeeded || o == dispatch.Failed || o == dispatch.Rejected {
		n.idleUntil[i] = append(n.idleUntil[i], n.world.now+int64(n.world.scenario.Network.IdleTimeout))
	} else if f.serverIncarnation > 0 {
		n.world.servers[i].connections = max(n.world.servers[i].connections-1, 0)
	}
	n.handleEvent(func() { n.reportOutcome(p, i, o) })
}

func (n *node) reportOutcome(p *dispatch.Attempt, _ int, o dispatch.Outcome) {
	f := n.attempts[p]
	delete(n.attempts, p)
	n.world.log(invariants.Event{Kind: invariants.AttemptEnded, Request: p.Request.Tag, Attempt: p.Number, Result: o.String()})
	if o == dispatch.Succeeded && n.requests[p.Request] != nil {
		n.answer(p.Request, resultSucceeded)
	}
	n.decider.AttemptEnded(p, o, n.world.now-f.sentAt, n.requests[p.Request] == nil)
}

// CancelAttempt takes a posting back; the executor hears of it over the network.
func (n *node) CancelAttempt(p *dispatch.Attempt) {
	f := n.attempts[p]
	if f == nil || f.over {
		return
	}
	i := n.serverIndex[p.Server]
	if f.job != nil {
		n.world.send(n.zone, n.world.servers[i].zone, func() { n.world.servers[i].cancel(f.job) })
	}
	n.endAttempt(p, i, f, dispatch.Canceled)
}

// settings are the settings as the node is handed them.
func (s *Scenario) settings(n *node) *dispatch.Settings {
	t := &dispatch.Settings{Zone: n.zone, Nodes: s.Fleet.Nodes, NodeIndex: n.index, Tick: int64(s.Fleet.Tick), StartNotices: s.Rules.StartNotices,
		ProgressInterval: int64(s.Rules.ProgressInterval), MaxAttempts: s.Rules.MaxAttempts, AllowCancel: true, AllowHedging: s.Rules.AllowHedging,
		MaxRetryAfter: int64(s.Rules.MaxRetryAfter), IdleTimeout: int64(s.Network.IdleTimeout), SlowStartShare: s.Rules.SlowStartShare, SlowStart: int64(s.Rules.SlowStart),
		OverloadWindow: int64(s.Rules.OverloadWindow), OverloadFactor: s.Rules.OverloadFactor, DrainGrace: int64(s.Rules.DrainGrace), OverQuotaWeight: 1}
	if s.Leases.Mode == "alone" {
		t.Nodes, t.NodeIndex = 1, 0
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		t.Classes = append(t.Classes, &dispatch.Class{Index: i, LatencyObjective: int64(c.LatencyObjective), MaxDeadline: int64(c.Deadline), ObjectivePerWork: c.ObjectivePerRuntime,
			Weight: c.Weight, LateShare: c.LateShare, Idempotency: idempotencyOf(c.Idempotency), DedupWindow: int64(c.DedupWindow), MachineType: -1})
	}
	for _, c := range s.Tenants {
		t.Tenants = append(t.Tenants, &dispatch.Tenant{Quota: c.Share})
	}
	n.classes = t.Classes
	return t
}
