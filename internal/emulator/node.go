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
	AttemptEnded(p *dispatch.Attempt, o dispatch.Outcome, took int64, over bool)
	ProcessQueue()
}

// node is one dispatcher process with its connections. It carries out what its decider says and decides nothing.
type node struct {
	world    *world
	index    int
	zone     int
	name     string
	policy   Policy
	up       bool
	watches  bool
	lives    int
	had      int // version of the list
	places   map[*dispatch.Server]int
	told     []dispatch.EndpointState // of each executor; at its start a node takes all for up
	free     int64
	decider  Decider
	fleet    []*dispatch.Server // by the world's order
	idle     [][]int64          // kept connections by executor: until when each stays
	txns     map[*dispatch.Request]*held
	out      map[*dispatch.Attempt]*flight
	settling bool
	schemes  []*dispatch.Class // as its decider has them
	share    *nodeQuota        // of what all hold together; nil: nothing is
}

// held is a txn that the node owes an answer.
type held struct {
	request *request
	number  int
}

// flight is one posting on its way.
type flight struct {
	job  *job
	life int // of the executor that the connection is to
	sent int64
	over bool
}

func (n *node) start(seed uint64) {
	w := n.world
	n.up, n.lives, n.had = true, n.lives+1, 0
	n.txns, n.out = map[*dispatch.Request]*held{}, map[*dispatch.Attempt]*flight{}
	n.places = map[*dispatch.Server]int{}
	n.fleet, n.idle, n.told = nil, make([][]int64, len(w.executors)), make([]dispatch.EndpointState, len(w.executors))
	for _, e := range w.executors {
		n.fleet = append(n.fleet, &dispatch.Server{Tag: e.id, Hash: dispatch.HashName(e.id)})
		n.places[n.fleet[len(n.fleet)-1]] = len(n.fleet) - 1
	}
	terms := w.s.terms(n)
	if n.share = nil; w.s.Leases.isShared() {
		n.share = n.join()
		terms.Quotas = n.share
	}
	truth := func(x *dispatch.Server) float64 {
		e := w.executors[n.places[x]]
		if !e.up || e.hung || e.draining {
			return 1e9
		}
		return (float64(e.slots+len(e.waiting)) + 1) / (float64(e.kind.Slots) * e.speed * e.warmth() / max(e.slow, 1))
	}
	n.decider = n.policy(terms, seed+uint64(n.index)*1e9+uint64(n.lives), n, w.now, truth)
	n.watches = true
	n.listed()
	w.regroup()
}

func (n *node) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.lives++
	n.world.regroup()
	n.world.log(invariants.Event{Kind: invariants.NodeKilled, Node: n.name})
	inOrder := make([]*held, 0, len(n.txns))
	for _, h := range n.txns {
		inOrder = append(inOrder, h)
	}
	slices.SortFunc(inOrder, func(a, b *held) int { return a.number - b.number })
	for _, h := range inOrder {
		n.world.reply(n, h.request, reset)
	}
	n.txns, n.out = nil, nil
	for i := range n.idle {
		n.world.executors[i].connections -= min(len(n.idle[i]), n.world.executors[i].connections)
	}
	n.idle = nil
}

// event hands the decider one thing when the node's processor gets to it.
func (n *node) event(step func()) {
	w, life := n.world, n.lives
	n.free = max(n.free, w.now) + int64(w.s.Fleet.Decision)
	do := func() {
		if n.up && n.lives == life {
			n.decider.Advance(w.now)
			step()
			n.settle()
		}
	}
	if n.free == w.now {
		do()
	} else {
		w.after(n.free-w.now, do)
	}
}

// settle ends a round within a tick, once for all that came in it.
func (n *node) settle() {
	if n.settling {
		return
	}
	n.settling = true
	life := n.lives
	tick := int64(n.world.s.Fleet.Tick)
	n.world.after(tick-(n.world.now-epoch)%tick, func() {
		if n.settling = false; n.up && n.lives == life {
			n.decider.Advance(n.world.now)
			n.decider.ProcessQueue()
		}
	})
}

// listed brings the node what discovery knows now.
func (n *node) listed() {
	w := n.world
	n.had = w.version
	members := slices.Clone(w.listing)
	for i := range members {
		members[i].Server = n.fleet[i]
		// Danger: each node's word of each executor with each list; at 300 nodes and 200 executors nothing else was logged.
		if state := members[i].State; state != n.told[i] {
			n.told[i] = state
			w.log(invariants.Event{Kind: invariants.EndpointNotified, Node: n.name, Server: w.executors[i].id, Result: []string{"up", "draining", "gone"}[state]})
		}
	}
	members = slices.DeleteFunc(members, func(m dispatch.Endpoint) bool { return m.State == dispatch.Removed })
	n.event(func() { n.decider.UpdateEndpoints(true, members) })
}

// take is a request that has been read whole.
func (n *node) take(q *request) {
	w := n.world
	if !n.up {
		w.reply(n, q, reset)
		return
	}
	w.taken++
	q.id = "t" + strconv.Itoa(w.taken)
	s := q.scheme
	t := &dispatch.Request{Tag: q.id, Tenant: q.tenant, Slots: float64(s.Slots), AffinityKey: q.key, Deadline: q.expiry, Class: w.schemeOf(n, s)}
	if w.s.Crowd.Hints {
		t.ExpectedWork = int64(q.work / float64(s.Slots))
	}
	n.txns[t] = &held{q, w.taken}
	tenant := ""
	if len(w.s.Tenant) > 0 {
		tenant = w.s.Tenant[q.tenant].Name
	}
	w.log(invariants.Event{Kind: invariants.RequestAccepted, Node: n.name, Request: q.id, Class: s.Name, Deadline: q.expiry, Client: q.origin.id, LatencyObjective: q.origin.aim, FirstRequestedAt: q.origin.first, Weight: q.origin.value, Tenant: tenant})
	n.event(func() { n.decider.Arrive(t) })
	w.after(q.expiry-w.now, func() { n.timeOut(t) })
	w.after(q.expiry-w.now+int64(w.s.Rules.Slack), func() { n.drop(t) })
}

// drop ends a txn whose client has gone; that is the client's end, not an answer.
func (n *node) drop(t *dispatch.Request) {
	if h := n.txns[t]; h != nil {
		delete(n.txns, t)
		n.event(func() { n.decider.Finish(t) })
	}
}

// timeOut ends what is out for a txn at its expiry.
func (n *node) timeOut(t *dispatch.Request) {
	for _, p := range t.Attempts {
		if f := n.out[p]; f != nil {
			n.heardEnd(p, n.places[p.Server], f, dispatch.TimedOut)
		}
	}
}

// answer gives the final answer.
func (n *node) answer(t *dispatch.Request, result string) {
	h := n.txns[t]
	n.world.log(invariants.Event{Kind: invariants.RequestAnswered, Request: t.Tag, Result: result})
	if h == nil {
		return
	}
	delete(n.txns, t)
	n.world.reply(n, h.request, result)
}

// Shed implements dispatch.Door, as do the methods after it.
func (n *node) Shed(t *dispatch.Request, returnIn int64) {
	if h := n.txns[t]; h != nil {
		h.request.advice = returnIn
	}
	n.answer(t, declined)
}
func (n *node) Compensate(t *dispatch.Request)        { n.answer(t, reversed) }
func (n *node) NotifyPeers(*dispatch.Server, float64) {}
func (n *node) ProbeCapacity(*dispatch.Server)        {}
func (n *node) PollEndpoints(on bool) {
	if n.watches = on; on && n.decider != nil {
		n.world.news(n)
	}
}

func (n *node) Schedule(after int64, then func()) (forget func()) {
	life := n.lives
	e := n.world.after(max(after, 1), func() {
		if n.up && n.lives == life {
			n.event(then)
		}
	})
	return func() { e.off = true }
}

// StartAttempt sends a posting over a kept connection, or a new one if there is none.
func (n *node) StartAttempt(p *dispatch.Attempt) {
	w := n.world
	i := n.places[p.Server]
	e, h := w.executors[i], n.txns[p.Request]
	f := &flight{sent: w.now}
	n.out[p] = f
	n.idle[i] = slices.DeleteFunc(n.idle[i], func(till int64) bool {
		if till < w.now {
			e.connections = max(e.connections-1, 0)
		}
		return till < w.now
	})
	if h == nil {
		n.event(func() { n.ended(p, i, dispatch.NotSent) })
		return
	}
	if n.share != nil && !n.share.reserve(p, len(n.idle[i]) == 0) {
		n.event(func() { n.ended(p, i, dispatch.NotSent) })
		return
	}
	w.postings++
	w.log(invariants.Event{Kind: invariants.AttemptSent, Request: p.Request.Tag, Attempt: p.Number, Server: e.id, Work: h.request.work / 1e9})
	f.job = &job{txn: h.request, slots: h.request.scheme.Slots, left: h.request.work / float64(h.request.scheme.Slots), posting: p.Number}
	f.job.tell = func(what line) { w.send(e.zone, n.zone, func() { n.heard(p, i, f, what) }) }
	request := func() { w.send(n.zone, e.zone, func() { e.take(f.job) }) }
	if k := len(n.idle[i]); k > 0 {
		n.idle[i] = n.idle[i][:k-1]
		if !e.up {
			w.send(n.zone, e.zone, func() { f.job.tell(lineReset) })
			return
		}
		request()
		return
	}
	w.handshakes++
	refused := func() { w.send(e.zone, n.zone, func() { n.heardEnd(p, i, f, dispatch.ConnectFailed) }) }
	n.world.after(int64(w.s.Net.Dial), func() {
		if f.life == 0 {
			n.heardEnd(p, i, f, dispatch.ConnectFailed)
		}
	})
	w.send(n.zone, e.zone, func() {
		switch {
		case e.hung: // no answer to the handshake
		case !e.up || e.connections >= e.kind.Connections:
			refused()
		default:
			e.connections++
			e.shake()
			w.send(e.zone, n.zone, func() {
				if f.over {
					e.connections = max(e.connections-1, 0)
					return
				}
				f.life = e.lives + 1
				request()
			})
		}
	})
}

// shake is the work of a new connection, which the running jobs pay for.
func (e *executor) shake() {
	if cost := float64(e.kind.Handshake) * e.speed; cost > 0 && len(e.running) > 0 {
		e.work()
		for _, j := range e.running {
			j.left += cost / float64(len(e.running)) / max(e.kind.Cores, 1)
		}
		e.plan()
	}
}

// heard is a line from an executor.
func (n *node) heard(p *dispatch.Attempt, i int, f *flight, what line) {
	switch what {
	case lineStarted:
		n.note(p, f, func() { n.decider.AttemptStarted(p) })
	case lineProgress:
		n.note(p, f, func() { n.decider.AttemptProgressed(p) })
	default:
		n.heardEnd(p, i, f, map[line]dispatch.Outcome{lineDone: dispatch.Succeeded, lineError: dispatch.Failed, lineFull: dispatch.Rejected, lineReset: dispatch.ConnectionLost}[what])
	}
}

func (n *node) note(p *dispatch.Attempt, f *flight, step func()) {
	if n.up && n.out[p] == f && !f.over {
		n.event(func() {
			if !f.over {
				step()
			}
		})
	}
}

// heardEnd is a posting's one outcome.
func (n *node) heardEnd(p *dispatch.Attempt, i int, f *flight, o dispatch.Outcome) {
	if !n.up || n.out[p] != f || f.over {
		return
	}
	f.over = true
	if o == dispatch.Succeeded || o == dispatch.Failed || o == dispatch.Rejected {
		n.idle[i] = append(n.idle[i], n.world.now+int64(n.world.s.Net.Idle))
	} else if f.life > 0 {
		n.world.executors[i].connections = max(n.world.executors[i].connections-1, 0)
	}
	n.event(func() { n.ended(p, i, o) })
}

func (n *node) ended(p *dispatch.Attempt, _ int, o dispatch.Outcome) {
	f := n.out[p]
	delete(n.out, p)
	n.world.log(invariants.Event{Kind: invariants.AttemptEnded, Request: p.Request.Tag, Attempt: p.Number, Result: o.String()})
	if o == dispatch.Succeeded && n.txns[p.Request] != nil {
		n.answer(p.Request, settled)
	}
	n.decider.AttemptEnded(p, o, n.world.now-f.sent, n.txns[p.Request] == nil)
}

// CancelAttempt takes a posting back; the executor hears of it over the network.
func (n *node) CancelAttempt(p *dispatch.Attempt) {
	f := n.out[p]
	if f == nil || f.over {
		return
	}
	i := n.places[p.Server]
	if f.job != nil {
		n.world.send(n.zone, n.world.executors[i].zone, func() { n.world.executors[i].forget(f.job) })
	}
	n.heardEnd(p, i, f, dispatch.Canceled)
}

// terms are the settings as the node is handed them.
func (s *Scenario) terms(n *node) *dispatch.Settings {
	t := &dispatch.Settings{Zone: n.zone, Nodes: s.Fleet.Nodes, NodeIndex: n.index, Tick: int64(s.Fleet.Tick), StartNotices: s.Rules.Started,
		ProgressInterval: int64(s.Rules.Progress), MaxAttempts: s.Rules.Postings, AllowCancel: true, AllowHedging: s.Rules.Doubles,
		MaxRetryAfter: int64(s.Rules.Return), IdleTimeout: int64(s.Net.Idle), SlowStartShare: s.Rules.ColdShare, SlowStart: int64(s.Rules.Cold),
		OverloadWindow: int64(s.Rules.Fall), OverloadFactor: s.Rules.FallMultiple, DrainGrace: int64(s.Rules.Grace), OverQuotaWeight: 1}
	if s.Leases.Mode == "alone" {
		t.Nodes, t.NodeIndex = 1, 0
	}
	for i := range s.Scheme {
		c := &s.Scheme[i]
		t.Classes = append(t.Classes, &dispatch.Class{Index: i, LatencyObjective: int64(c.Sla), MaxDeadline: int64(c.Expiry), ObjectivePerWork: c.Stretch,
			Weight: c.Value, LateShare: c.Late, Idempotency: effectOf(c.Effect), DedupWindow: int64(c.Memory), MachineType: -1})
	}
	for _, c := range s.Tenant {
		t.Tenants = append(t.Tenants, &dispatch.Tenant{Quota: c.Share})
	}
	n.schemes = t.Classes
	return t
}
