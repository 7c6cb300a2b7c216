// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"strconv"

	"fernrail/dispatch"
	"fernrail/internal/invariants"
)

// Policy creates the decider of one node. now is in nanoseconds. trueLoad returns the actual relative load of
// a server, which no real node has.
type Policy func(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
	trueLoad func(*dispatch.Server) float64) Decider

// Decider makes the dispatch decisions of one node. The dispatch package documents its methods; times are in
// nanoseconds.
type Decider interface {
	Advance(now int64)
	UpdateEndpoints(full bool, endpoints []dispatch.Endpoint)
	Arrive(*dispatch.Request)
	Finish(*dispatch.Request)
	AttemptStarted(*dispatch.Attempt)
	AttemptProgressed(*dispatch.Attempt)
	AttemptEnded(attempt *dispatch.Attempt, outcome dispatch.Outcome, took int64, requestDone bool)
	ProcessQueue()
}

// node is one dispatcher process with its connections. It executes the actions of its decider and makes no
// decisions itself.
type node struct {
	world           *world
	index           int
	zone            int
	name            string
	policy          Policy
	up              bool
	polls           bool
	incarnation     int
	listVersion     int // version of the endpoint list that the decider has
	serverIndex     map[*dispatch.Server]int
	notifiedStates  []dispatch.EndpointState // by server; a node starts with all servers up
	processorFreeAt int64
	decider         Decider
	servers         []*dispatch.Server // in the order of world.servers
	idleUntil       [][]int64          // by server: for each idle connection, when it times out
	requests        map[*dispatch.Request]*pendingRequest
	attempts        map[*dispatch.Attempt]*attemptState
	roundScheduled  bool
	classes         []*dispatch.Class // the classes in the decider's settings
	quotas          *nodeQuotas       // of the shared budgets; nil: budgets are not shared
}

// pendingRequest is a request that has no final answer yet.
type pendingRequest struct {
	request *request
	number  int
}

// attemptState is the state of an attempt in flight.
type attemptState struct {
	job               *job
	serverIncarnation int // 1 + the incarnation of the connected server; 0: no connection yet
	sentAt            int64
	ended             bool
}

// start starts the node process with a new decider and the current endpoint list.
func (n *node) start(seed uint64) {
	w := n.world
	n.up, n.incarnation, n.listVersion = true, n.incarnation+1, 0
	n.requests, n.attempts = map[*dispatch.Request]*pendingRequest{}, map[*dispatch.Attempt]*attemptState{}
	n.serverIndex = map[*dispatch.Server]int{}
	n.servers, n.idleUntil, n.notifiedStates = nil, make([][]int64, len(w.servers)),
		make([]dispatch.EndpointState, len(w.servers))
	for _, server := range w.servers {
		n.servers = append(n.servers, &dispatch.Server{Tag: server.id, Hash: dispatch.HashName(server.id)})
		n.serverIndex[n.servers[len(n.servers)-1]] = len(n.servers) - 1
	}
	settings := w.scenario.settings(n)
	if n.quotas = nil; w.scenario.Leases.usesQuotas() {
		n.quotas = n.newQuotas()
		settings.Quotas = n.quotas
	}
	trueLoad := func(target *dispatch.Server) float64 {
		server := w.servers[n.serverIndex[target]]
		if !server.up || server.hung || server.draining {
			return 1e9
		}
		return (float64(server.usedSlots+len(server.waiting)) + 1) /
			(float64(server.machineType.Slots) * server.speed * server.capacityShare() / max(server.slowdown, 1))
	}
	n.decider = n.policy(settings, seed+uint64(n.index)*1e9+uint64(n.incarnation), n, w.now, trueLoad)
	n.polls = true
	n.updateEndpoints()
	w.scheduleSubsetUpdate()
}

// kill ends the node process. Clients receive a reset for each request in flight, in order of arrival: a
// map's order would differ between runs.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.world.scheduleSubsetUpdate()
	n.world.log(invariants.Event{Kind: invariants.NodeKilled, Node: n.name})
	byNumber := make([]*pendingRequest, 0, len(n.requests))
	for _, pending := range n.requests {
		byNumber = append(byNumber, pending)
	}
	slices.SortFunc(byNumber, func(a, b *pendingRequest) int { return a.number - b.number })
	for _, pending := range byNumber {
		n.world.answerClient(n, pending.request, resultReset)
	}
	n.requests, n.attempts = nil, nil
	for i := range n.idleUntil {
		n.world.servers[i].connections -= min(len(n.idleUntil[i]), n.world.servers[i].connections)
	}
	n.idleUntil = nil
}

// handleEvent passes an event to the decider once the node's processor is free.
func (n *node) handleEvent(action func()) {
	w, incarnation := n.world, n.incarnation
	n.processorFreeAt = max(n.processorFreeAt, w.now) + int64(w.scenario.Fleet.DecisionTime)
	run := func() {
		if n.up && n.incarnation == incarnation {
			n.decider.Advance(w.now)
			action()
			n.scheduleRound()
		}
	}
	if n.processorFreeAt == w.now {
		run()
	} else {
		w.after(n.processorFreeAt-w.now, run)
	}
}

// scheduleRound has the decider process its queue at the end of the tick, once for all events in it.
func (n *node) scheduleRound() {
	if n.roundScheduled {
		return
	}
	n.roundScheduled = true
	incarnation := n.incarnation
	tick := int64(n.world.scenario.Fleet.Tick)
	n.world.after(tick-(n.world.now-startTime)%tick, func() {
		if n.roundScheduled = false; n.up && n.incarnation == incarnation {
			n.decider.Advance(n.world.now)
			n.decider.ProcessQueue()
		}
	})
}

// updateEndpoints passes the current endpoint list of discovery to the decider.
func (n *node) updateEndpoints() {
	w := n.world
	n.listVersion = w.listVersion
	endpoints := slices.Clone(w.endpoints)
	for i := range endpoints {
		endpoints[i].Server = n.servers[i]
		// Only changes are logged: with an event for each server in each list, a log of 300 nodes and 200
		// servers consisted of these events alone.
		if state := endpoints[i].State; state != n.notifiedStates[i] {
			n.notifiedStates[i] = state
			w.log(invariants.Event{Kind: invariants.EndpointNotified, Node: n.name, Server: w.servers[i].id,
				Result: []string{"up", "draining", "gone"}[state]})
		}
	}
	endpoints = slices.DeleteFunc(endpoints,
		func(endpoint dispatch.Endpoint) bool { return endpoint.State == dispatch.Removed })
	n.handleEvent(func() { n.decider.UpdateEndpoints(true, endpoints) })
}

// accept handles a request that was read completely.
func (n *node) accept(q *request) {
	w := n.world
	if !n.up {
		w.answerClient(n, q, resultReset)
		return
	}
	w.requestCount++
	q.id = "t" + strconv.Itoa(w.requestCount)
	class := q.class
	request := &dispatch.Request{Tag: q.id, Tenant: q.tenant, Slots: float64(class.Slots),
		AffinityKey: q.affinityKey, Deadline: q.deadline, Class: w.classAt(n, class)}
	if w.scenario.Clients.WorkHints {
		request.ExpectedWork = int64(q.work / float64(class.Slots))
	}
	n.requests[request] = &pendingRequest{q, w.requestCount}
	tenant := ""
	if len(w.scenario.Tenants) > 0 {
		tenant = w.scenario.Tenants[q.tenant].Name
	}
	w.log(invariants.Event{Kind: invariants.RequestAccepted, Node: n.name, Request: q.id, Class: class.Name,
		Deadline: q.deadline, Client: q.operation.id, LatencyObjective: q.operation.latencyObjectiveAt,
		FirstRequestedAt: q.operation.firstRequestedAt, Weight: q.operation.weight, Tenant: tenant})
	n.handleEvent(func() { n.decider.Arrive(request) })
	w.after(q.deadline-w.now, func() { n.endOverdueAttempts(request) })
	w.after(q.deadline-w.now+int64(w.scenario.Rules.Slack), func() { n.handleClientLeft(request) })
}

// handleClientLeft ends a request whose client has disconnected. The request gets no answer.
func (n *node) handleClientLeft(request *dispatch.Request) {
	if pending := n.requests[request]; pending != nil {
		delete(n.requests, request)
		n.handleEvent(func() { n.decider.Finish(request) })
	}
}

// endOverdueAttempts ends a request's attempts in flight as timed out at its deadline.
func (n *node) endOverdueAttempts(request *dispatch.Request) {
	for _, attempt := range request.Attempts {
		if state := n.attempts[attempt]; state != nil {
			n.endAttempt(attempt, n.serverIndex[attempt.Server], state, dispatch.TimedOut)
		}
	}
}

// answer sends the final answer of a request to its client.
func (n *node) answer(request *dispatch.Request, result string) {
	pending := n.requests[request]
	n.world.log(invariants.Event{Kind: invariants.RequestAnswered, Request: request.Tag, Result: result})
	if pending == nil {
		return
	}
	delete(n.requests, request)
	n.world.answerClient(n, pending.request, result)
}

// Shed implements dispatch.Actions.
func (n *node) Shed(request *dispatch.Request, retryAfter int64) {
	if pending := n.requests[request]; pending != nil {
		pending.request.retryAfter = retryAfter
	}
	n.answer(request, resultShed)
}

// Compensate implements dispatch.Actions.
func (n *node) Compensate(request *dispatch.Request) { n.answer(request, resultCompensated) }

// NotifyPeers implements dispatch.Actions; the emulator has no messages between nodes.
func (n *node) NotifyPeers(*dispatch.Server, float64) {}

// ProbeCapacity implements dispatch.Actions; the emulator has no capacity probes.
func (n *node) ProbeCapacity(*dispatch.Server) {}

// PollEndpoints implements dispatch.Actions.
func (n *node) PollEndpoints(on bool) {
	if n.polls = on; on && n.decider != nil {
		n.world.sendEndpoints(n)
	}
}

// Schedule implements dispatch.Actions. An action does not run if the node was killed in between.
func (n *node) Schedule(after int64, call func()) (cancel func()) {
	incarnation := n.incarnation
	event := n.world.after(max(after, 1), func() {
		if n.up && n.incarnation == incarnation {
			n.handleEvent(call)
		}
	})
	return func() { event.canceled = true }
}

// StartAttempt implements dispatch.Actions. It sends an attempt over an idle connection, or over a new one if
// there is none.
func (n *node) StartAttempt(attempt *dispatch.Attempt) {
	w := n.world
	i := n.serverIndex[attempt.Server]
	server, pending := w.servers[i], n.requests[attempt.Request]
	state := &attemptState{sentAt: w.now}
	n.attempts[attempt] = state
	n.idleUntil[i] = slices.DeleteFunc(n.idleUntil[i], func(until int64) bool {
		if until < w.now {
			server.connections = max(server.connections-1, 0)
		}
		return until < w.now
	})
	if pending == nil {
		n.handleEvent(func() { n.reportOutcome(attempt, i, dispatch.NotSent) })
		return
	}
	if n.quotas != nil && !n.quotas.reserve(attempt, len(n.idleUntil[i]) == 0) {
		n.handleEvent(func() { n.reportOutcome(attempt, i, dispatch.NotSent) })
		return
	}
	w.attemptCount++
	w.log(invariants.Event{Kind: invariants.AttemptSent, Request: attempt.Request.Tag, Attempt: attempt.Number,
		Server: server.id, Work: pending.request.work / 1e9})
	state.job = &job{request: pending.request, slots: pending.request.class.Slots,
		remaining: pending.request.work / float64(pending.request.class.Slots), attempt: attempt.Number}
	state.job.report = func(event jobEvent) {
		w.send(server.zone, n.zone, func() { n.handleJobEvent(attempt, i, state, event) })
	}
	sendJob := func() { w.send(n.zone, server.zone, func() { server.accept(state.job) }) }
	if k := len(n.idleUntil[i]); k > 0 {
		n.idleUntil[i] = n.idleUntil[i][:k-1]
		if !server.up {
			w.send(n.zone, server.zone, func() { state.job.report(jobConnectionReset) })
			return
		}
		sendJob()
		return
	}
	w.handshakeCount++
	refuse := func() {
		w.send(server.zone, n.zone, func() { n.endAttempt(attempt, i, state, dispatch.ConnectFailed) })
	}
	n.world.after(int64(w.scenario.Network.DialTimeout), func() {
		if state.serverIncarnation == 0 {
			n.endAttempt(attempt, i, state, dispatch.ConnectFailed)
		}
	})
	w.send(n.zone, server.zone, func() {
		switch {
		case server.hung: // the handshake gets no answer
		case !server.up || server.connections >= server.machineType.MaxConnections:
			refuse()
		default:
			server.connections++
			server.chargeHandshake()
			w.send(server.zone, n.zone, func() {
				if state.ended {
					server.connections = max(server.connections-1, 0)
					return
				}
				state.serverIncarnation = server.incarnation + 1
				sendJob()
			})
		}
	})
}

// chargeHandshake adds the work of accepting a new connection to the running jobs.
func (s *server) chargeHandshake() {
	if cost := float64(s.machineType.HandshakeWork) * s.speed; cost > 0 && len(s.running) > 0 {
		s.advance()
		for _, j := range s.running {
			j.remaining += cost / float64(len(s.running)) / max(s.machineType.Cores, 1)
		}
		s.scheduleStep()
	}
}

// handleJobEvent handles a server's report about an attempt.
func (n *node) handleJobEvent(attempt *dispatch.Attempt, i int, state *attemptState, event jobEvent) {
	switch event {
	case jobStarted:
		n.reportToDecider(attempt, state, func() { n.decider.AttemptStarted(attempt) })
	case jobProgressed:
		n.reportToDecider(attempt, state, func() { n.decider.AttemptProgressed(attempt) })
	default:
		n.endAttempt(attempt, i, state, map[jobEvent]dispatch.Outcome{jobSucceeded: dispatch.Succeeded,
			jobFailed: dispatch.Failed, jobRejected: dispatch.Rejected,
			jobConnectionReset: dispatch.ConnectionLost}[event])
	}
}

// reportToDecider passes a report to the decider, unless the attempt has ended by then.
func (n *node) reportToDecider(attempt *dispatch.Attempt, state *attemptState, action func()) {
	if n.up && n.attempts[attempt] == state && !state.ended {
		n.handleEvent(func() {
			if !state.ended {
				action()
			}
		})
	}
}

// endAttempt ends an attempt with an outcome; later outcomes of the same attempt are ignored.
func (n *node) endAttempt(attempt *dispatch.Attempt, i int, state *attemptState, o dispatch.Outcome) {
	if !n.up || n.attempts[attempt] != state || state.ended {
		return
	}
	state.ended = true
	if o == dispatch.Succeeded || o == dispatch.Failed || o == dispatch.Rejected {
		n.idleUntil[i] = append(n.idleUntil[i], n.world.now+int64(n.world.scenario.Network.IdleTimeout))
	} else if state.serverIncarnation > 0 {
		n.world.servers[i].connections = max(n.world.servers[i].connections-1, 0)
	}
	n.handleEvent(func() { n.reportOutcome(attempt, i, o) })
}

// reportOutcome logs an attempt's outcome and passes it to the decider, after the answer to the client if it
// succeeded.
func (n *node) reportOutcome(attempt *dispatch.Attempt, _ int, o dispatch.Outcome) {
	state := n.attempts[attempt]
	delete(n.attempts, attempt)
	n.world.log(invariants.Event{Kind: invariants.AttemptEnded, Request: attempt.Request.Tag,
		Attempt: attempt.Number, Result: o.String()})
	if o == dispatch.Succeeded && n.requests[attempt.Request] != nil {
		n.answer(attempt.Request, resultSucceeded)
	}
	n.decider.AttemptEnded(attempt, o, n.world.now-state.sentAt, n.requests[attempt.Request] == nil)
}

// CancelAttempt implements dispatch.Actions. The server receives the cancellation over the network.
func (n *node) CancelAttempt(attempt *dispatch.Attempt) {
	state := n.attempts[attempt]
	if state == nil || state.ended {
		return
	}
	i := n.serverIndex[attempt.Server]
	if state.job != nil {
		n.world.send(n.zone, n.world.servers[i].zone, func() { n.world.servers[i].cancel(state.job) })
	}
	n.endAttempt(attempt, i, state, dispatch.Canceled)
}

// settings returns the dispatch settings of a node.
func (s *Scenario) settings(n *node) *dispatch.Settings {
	settings := &dispatch.Settings{Zone: n.zone, Nodes: s.Fleet.Nodes, NodeIndex: n.index,
		Tick: int64(s.Fleet.Tick), StartNotices: s.Rules.StartNotices,
		ProgressInterval: int64(s.Rules.ProgressInterval), MaxAttempts: s.Rules.MaxAttempts,
		AllowCancel: true, AllowHedging: s.Rules.AllowHedging,
		MaxRetryAfter: int64(s.Rules.MaxRetryAfter), IdleTimeout: int64(s.Network.IdleTimeout),
		SlowStartShare: s.Rules.SlowStartShare, SlowStart: int64(s.Rules.SlowStart),
		OverloadWindow: int64(s.Rules.OverloadWindow), OverloadFactor: s.Rules.OverloadFactor,
		DrainGrace: int64(s.Rules.DrainGrace), OverQuotaWeight: 1}
	if s.Leases.Mode == "alone" {
		settings.Nodes, settings.NodeIndex = 1, 0
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		settings.Classes = append(settings.Classes, &dispatch.Class{Index: i,
			LatencyObjective: int64(class.LatencyObjective),
			MaxDeadline:      int64(class.Deadline), ObjectivePerWork: class.ObjectivePerRuntime,
			Weight: class.Weight, LateShare: class.LateShare, Idempotency: idempotencyOf(class.Idempotency),
			DedupWindow: int64(class.DedupWindow), MachineType: -1})
	}
	for _, class := range s.Tenants {
		settings.Tenants = append(settings.Tenants, &dispatch.Tenant{Quota: class.Share})
	}
	n.classes = settings.Classes
	return settings
}
