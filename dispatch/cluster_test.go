// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"fernrail/internal/invariants"
)

// cluster is a number of nodes that share only the clock and the servers.
type cluster struct {
	*rand.Rand
	settings       *Settings
	now            int64
	nodes          []*clusterNode
	startedAt      []int64 // start time of each server
	startTimeError []int64 // error of each reported start time
	sent           [][]timedAmount
	slots          float64
	rejecting      bool // every attempt is rejected at once, so that all queued requests are retried
	runtime        int64
	speed          []float64           // of each server; nil: every attempt takes runtime
	work           func() int64        // draws the work of requests without a hint; nil: all have hints
	workOf         map[*Request]int64  // work of requests without a hint
	clientTimeout  int64               // how long clients wait for requests without a hint; 1 s for others
	checker        *invariants.Checker // receives all events; independent of the dispatcher
	checkerError   error               // first event that the checker could not process
	accepted       int
	connectCycle   int64 // connections are established only at multiples of this time; 0: at once
}

func (h *cluster) record(e invariants.Event) {
	if e.At = h.now; h.checkerError == nil {
		h.checkerError = h.checker.Add(e)
	}
}

// checkInvariants fails the test if the checker found violations.
func (h *cluster) checkInvariants(t *testing.T) {
	t.Helper()
	if violations := h.checker.Violations(h.now); h.checkerError != nil || len(violations) > 0 {
		t.Fatalf("checker error %v, want none; got %d violations, want 0, first: %+v",
			h.checkerError, len(violations), violations[:min(len(violations), 3)])
	}
}

// clusterNode implements the Actions of one node.
type clusterNode struct {
	*cluster
	d        *Dispatcher
	servers  []*Server
	timers   []*timer
	dialing  []*Attempt // in flight without a connection
	inFlight []*Attempt // sent
	sentAt   map[*Attempt]int64
}

func (n *clusterNode) StartAttempt(attempt *Attempt) {
	if n.connectCycle > 0 {
		n.dialing = append(n.dialing, attempt)
	} else {
		n.send(attempt)
	}
}

// connect sends the attempts that were waiting for a connection, as far as the dispatcher still permits them.
func (n *clusterNode) connect() {
	waiting := n.dialing
	n.dialing = nil
	for _, attempt := range waiting {
		if n.d.MaySend(attempt) {
			n.send(attempt)
		} else {
			n.d.AttemptEnded(attempt, NotSent, 0, attempt.Request.Done)
		}
	}
}

func (n *clusterNode) send(attempt *Attempt) {
	i := slices.Index(n.servers, attempt.Server)
	work := attempt.Request.size
	if n.work != nil {
		work = float64(n.workOf[attempt.Request])
	}
	n.sent[i] = append(n.sent[i], timedAmount{n.now, work})
	n.inFlight, n.sentAt[attempt] = append(n.inFlight, attempt), n.now
	n.record(invariants.Event{Kind: invariants.AttemptSent, Request: attempt.Request.Tag,
		Attempt: attempt.Number,
		Server:  strconv.Itoa(i), Work: work / 1e9})
}

// runtimeOf is the running time of an attempt without queueing.
func (n *clusterNode) runtimeOf(attempt *Attempt) int64 {
	if n.work == nil {
		return n.runtime
	}
	i := slices.Index(n.servers, attempt.Server)
	return int64(float64(n.workOf[attempt.Request]) / n.speed[i] / n.warmUpShare(i, n.sentAt[attempt]))
}

// warmUpShare is the minimum share of its capacity that a server has at a clock time.
func (h *cluster) warmUpShare(i int, at int64) float64 {
	if age := at - h.startedAt[i]; h.startedAt[i] > 0 && age < h.settings.SlowStart {
		return capacityShare(h.settings, max(age, 0))
	}
	return 1
}

func (n *clusterNode) CancelAttempt(*Attempt) {}

func (n *clusterNode) Shed(request *Request, _ int64) {
	n.record(invariants.Event{Kind: invariants.RequestAnswered, Request: request.Tag, Result: "declined"})
}

func (n *clusterNode) Compensate(request *Request) {
	n.record(invariants.Event{Kind: invariants.RequestAnswered, Request: request.Tag, Result: "reversed"})
}

func (n *clusterNode) PollEndpoints(bool) {}

func (n *clusterNode) NotifyPeers(*Server, float64) {}

func (n *clusterNode) ProbeCapacity(*Server) {}

func (n *clusterNode) Schedule(after int64, call func()) (cancel func()) {
	a := &timer{n.now + max(after, 1), call}
	n.timers = append(n.timers, a)
	return func() { n.timers = slices.DeleteFunc(n.timers, func(b *timer) bool { return a == b }) }
}

func newCluster(seed uint64, nodes, servers int) *cluster {
	h := &cluster{Rand: rand.New(rand.NewPCG(seed, 2)), now: 1e12, slots: testSlots, runtime: 1e8}
	h.settings = testSettings()
	h.settings.Nodes, h.settings.Classes, h.settings.Tick = nodes, h.settings.Classes[:1], 2e7
	h.startedAt, h.startTimeError = make([]int64, servers), make([]int64, servers)
	h.sent = make([][]timedAmount, servers)
	places := map[string]invariants.ServerPlace{}
	for i := range servers {
		places[strconv.Itoa(i)] = invariants.ServerPlace{Slots: h.slots}
	}
	h.checker = invariants.New(invariants.Rules{
		OverloadWindow: h.settings.OverloadWindow,
		OverloadFactor: h.settings.OverloadFactor,
		SlowStart:      h.settings.SlowStart,
		SlowStartShare: h.settings.SlowStartShare,
		AllowHedging:   h.settings.AllowHedging,
		Servers:        places,
		Classes:        map[string]invariants.Class{"s": {Idempotency: "repeatable"}},
	})
	for i := range nodes {
		settings := *h.settings
		settings.NodeIndex = i
		h.startNode(&settings)
	}
	return h
}

func (h *cluster) startNode(settings *Settings) {
	n := &clusterNode{cluster: h, sentAt: map[*Attempt]int64{}}
	n.d = New(settings, h.Uint64(), n, h.now)
	for range h.startedAt {
		n.servers = append(n.servers, &Server{})
	}
	if len(h.nodes) <= settings.NodeIndex {
		h.nodes = append(h.nodes, n)
	} else {
		h.record(invariants.Event{Kind: invariants.NodeKilled, Node: strconv.Itoa(settings.NodeIndex)})
		h.nodes[settings.NodeIndex] = n // a restarted node has no record of what it sent before
	}
	n.updateEndpoints()
}

func (n *clusterNode) updateEndpoints() {
	var endpoints []Endpoint
	for i, server := range n.servers {
		endpoints = append(endpoints,
			Endpoint{Server: server, StartedAt: n.startedAt[i] + n.startTimeError[i]})
	}
	n.d.UpdateEndpoints(true, endpoints)
}

// restartServers restarts all servers within the given spread of start times. Each node's estimate of the
// servers' slots is lower than the actual number by less than slotVariation.
func (h *cluster) restartServers(maxSpread int64, slotVariation int) {
	for i := range h.startedAt {
		h.startedAt[i] = h.now - h.Int64N(maxSpread+1)
		h.startTimeError[i] = h.Int64N(2*h.settings.StartTimeError+1) - h.settings.StartTimeError
	}
	for _, i := range h.Perm(len(h.startedAt)) {
		h.record(invariants.Event{
			Kind: invariants.ServerStarted, Server: strconv.Itoa(i), StartedAt: h.startedAt[i]})
	}
	for _, n := range h.nodes {
		n.updateEndpoints()
		// Nodes observed different numbers of slots.
		n.d.machineTypes[0].maxSlots = h.slots - float64(h.IntN(slotVariation))
	}
}

// advance advances the clock by span. At each node, requests arrive at the given rate with a size between
// half and one and a half times the given one.
func (h *cluster) advance(span, size int64, arrivalsPerTick float64) {
	for end := h.now + span; h.now < end; {
		h.now += h.settings.Tick
		for _, n := range h.nodes {
			n.d.Advance(h.now)
			due := slices.Clone(n.timers)
			n.timers = slices.DeleteFunc(n.timers, func(a *timer) bool { return a.at <= h.now })
			for _, a := range due {
				if a.at <= h.now {
					a.call()
				}
			}
			for arrivals := arrivalsPerTick; arrivals > 0 && h.Float64() < arrivals; arrivals-- {
				h.accepted++
				request := &Request{Tag: strconv.Itoa(h.accepted), Class: h.settings.Classes[0], Slots: 1,
					ExpectedWork: size/2 + h.Int64N(size), Deadline: h.now + max(1e9, 2*h.connectCycle)}
				if h.work != nil {
					request.ExpectedWork, request.Deadline, h.workOf[request] =
						0, h.now+h.clientTimeout, h.work()
				}
				h.record(invariants.Event{Kind: invariants.RequestAccepted,
					Node:    strconv.Itoa(n.d.settings.NodeIndex),
					Request: request.Tag, Class: "s", Deadline: request.Deadline})
				n.d.Arrive(request)
			}
			if n.connectCycle > 0 && h.now%n.connectCycle < h.settings.Tick {
				n.connect()
			}
			n.d.ProcessQueue()
			for _, attempt := range slices.Clone(n.inFlight) {
				if o := Succeeded; h.rejecting || h.now-n.sentAt[attempt] >= n.runtimeOf(attempt) {
					if h.rejecting {
						o = Rejected
					}
					n.inFlight = slices.DeleteFunc(n.inFlight, func(q *Attempt) bool { return attempt == q })
					n.record(invariants.Event{Kind: invariants.AttemptEnded, Request: attempt.Request.Tag,
						Attempt: attempt.Number, Result: o.String()})
					if o == Succeeded && !attempt.Request.Done {
						n.record(invariants.Event{Kind: invariants.RequestAnswered,
							Request: attempt.Request.Tag,
							Result:  "settled"})
					}
					n.d.AttemptEnded(attempt, o, h.now-n.sentAt[attempt],
						attempt.Request.Done || o == Succeeded)
				}
			}
			n.d.ProcessQueue()
		}
	}
}

// maxBudgetShare is the largest share of a server's slow start budget that was sent to it in one window,
// relative to its minimum capacity in that window.
func (h *cluster) maxBudgetShare() (highest float64) {
	for i, sends := range h.sent {
		for from, first := range sends {
			sum, last := 0.0, first
			for _, c := range sends[from:] {
				if c.at-first.at <= h.settings.OverloadWindow {
					sum, last = sum+c.amount, c
				}
			}
			age := max(first.at-h.startedAt[i], 0) // capacity at the window's start: the least in it
			capacity := h.settings.SlowStartShare +
				(1-h.settings.SlowStartShare)*float64(age)/float64(h.settings.SlowStart)
			if first.at >= h.startedAt[i] && last.at < h.startedAt[i]+h.settings.SlowStart {
				highest = max(highest,
					sum/(h.settings.OverloadFactor*capacity*h.slots*float64(h.settings.OverloadWindow)))
			}
		}
	}
	return highest
}
