// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"fernrail/internal/invariants"
)

// cluster is many nodes that share nothing but the clock and the servers.
type cluster struct {
	*rand.Rand
	settings       *Settings
	now            int64
	nodes          []*clusterNode
	startedAt      []int64 // of each server
	startTimeError []int64 // by which it is stamped
	sent           [][]timedAmount
	slots          float64
	rejecting      bool // every attempt is rejected at once, so that all that the nodes hold goes out again
	runtime        int64
	speed          []float64           // of each server; nil: jobs run for settle everywhere
	work           func() int64        // of a request that tells nothing of it
	workOf         map[*Request]int64  // of these
	clientTimeout  int64               // how long clients wait; 0: a second
	checker        *invariants.Checker // hears of all that happens, and shares nothing with the module
	checkerError   error               // what the checker could not make sense of
	accepted       int
}

func (h *cluster) record(e invariants.Event) {
	if e.At = h.now; h.checkerError == nil {
		h.checkerError = h.checker.Add(e)
	}
}

// checkInvariants fails the test for what the checker has seen.
func (h *cluster) checkInvariants(t *testing.T) {
	t.Helper()
	if breaches := h.checker.Violations(h.now); h.checkerError != nil || len(breaches) > 0 {
		t.Fatalf("%v, of %d violations: %+v", h.checkerError, len(breaches), breaches[:min(len(breaches), 3)])
	}
}

// clusterNode is the Actions of one of them.
type clusterNode struct {
	*cluster
	d       *Dispatcher
	servers []*Server
	timers  []*timer
	open    []*Attempt
	sentAt  map[*Attempt]int64
}

func (n *clusterNode) StartAttempt(attempt *Attempt) {
	i := slices.Index(n.servers, attempt.Server)
	work := attempt.Request.size
	if n.work != nil {
		work = float64(n.workOf[attempt.Request])
	}
	n.sent[i] = append(n.sent[i], timedAmount{n.now, work})
	n.open, n.sentAt[attempt] = append(n.open, attempt), n.now
	n.record(invariants.Event{Kind: invariants.AttemptSent, Request: attempt.Request.Tag, Attempt: attempt.Number,
		Server: strconv.Itoa(i), Work: work / 1e9})
}

// runtimeOf is how long an attempt runs, without a queue.
func (n *clusterNode) runtimeOf(attempt *Attempt) int64 {
	if n.work == nil {
		return n.runtime
	}
	i := slices.Index(n.servers, attempt.Server)
	return int64(float64(n.workOf[attempt.Request]) / n.speed[i] / n.warmUpShare(i, n.sentAt[attempt]))
}

// warmUpShare is the part of its capacity that a server has at least.
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

func (n *clusterNode) Schedule(after int64, then func()) (forget func()) {
	a := &timer{n.now + max(after, 1), then}
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
		h.nodes[settings.NodeIndex] = n // started again: it knows nothing of what it sent before
	}
	n.updateEndpoints()
}

func (n *clusterNode) updateEndpoints() {
	var members []Endpoint
	for i, server := range n.servers {
		members = append(members, Endpoint{Server: server, StartedAt: n.startedAt[i] + n.startTimeError[i]})
	}
	n.d.UpdateEndpoints(true, members)
}

// restartServers starts all servers again; starts tell how many have been seen at work in one.
func (h *cluster) restartServers(apart int64, unlike int) {
	for i := range h.startedAt {
		h.startedAt[i] = h.now - h.Int64N(apart+1)
		h.startTimeError[i] = h.Int64N(2*h.settings.StartTimeError+1) - h.settings.StartTimeError
	}
	for _, i := range h.Perm(len(h.startedAt)) {
		h.record(invariants.Event{Kind: invariants.ServerStarted, Server: strconv.Itoa(i), StartedAt: h.startedAt[i]})
	}
	for _, n := range h.nodes {
		n.updateEndpoints()
		n.d.machineTypes[0].maxSlots = h.slots - float64(h.IntN(unlike)) // nodes have seen more or less of it
	}
}

// advance lets time go by; every node has work waiting that is as large as given, give or take half.
func (h *cluster) advance(span, size int64, share float64) {
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
			for due := share; due > 0 && h.Float64() < due; due-- {
				h.accepted++
				request := &Request{Tag: strconv.Itoa(h.accepted), Class: h.settings.Classes[0], Slots: 1,
					ExpectedWork: size/2 + h.Int64N(size), Deadline: h.now + 1e9}
				if h.work != nil {
					request.ExpectedWork, request.Deadline, h.workOf[request] = 0, h.now+h.clientTimeout, h.work()
				}
				h.record(invariants.Event{Kind: invariants.RequestAccepted, Node: strconv.Itoa(n.d.settings.NodeIndex),
					Request: request.Tag, Class: "s", Deadline: request.Deadline})
				n.d.Arrive(request)
			}
			n.d.ProcessQueue()
			for _, attempt := range slices.Clone(n.open) {
				if o := Succeeded; h.rejecting || h.now-n.sentAt[attempt] >= n.runtimeOf(attempt) {
					if h.rejecting {
						o = Rejected
					}
					n.open = slices.DeleteFunc(n.open, func(q *Attempt) bool { return attempt == q })
					n.record(invariants.Event{Kind: invariants.AttemptEnded, Request: attempt.Request.Tag,
						Attempt: attempt.Number, Result: o.String()})
					if o == Succeeded && !attempt.Request.Done {
						n.record(invariants.Event{Kind: invariants.RequestAnswered, Request: attempt.Request.Tag,
							Result: "settled"})
					}
					n.d.AttemptEnded(attempt, o, h.now-n.sentAt[attempt], attempt.Request.Done || o == Succeeded)
				}
			}
			n.d.ProcessQueue()
		}
	}
}

// maxBudgetShare is the most of any budget in slow start that was sent to it in one window, by what it can do
// meanwhile.
func (h *cluster) maxBudgetShare() (part float64) {
	for i, sends := range h.sent {
		for from, first := range sends {
			sum, last := 0.0, first
			for _, c := range sends[from:] {
				if c.at-first.at <= h.settings.OverloadWindow {
					sum, last = sum+c.amount, c
				}
			}
			age := max(first.at-h.startedAt[i], 0) // capacity at the window's start: the least in it
			able := h.settings.SlowStartShare + (1-h.settings.SlowStartShare)*float64(age)/float64(h.settings.SlowStart)
			if first.at >= h.startedAt[i] && last.at < h.startedAt[i]+h.settings.SlowStart {
				part = max(part, sum/(h.settings.OverloadFactor*able*h.slots*float64(h.settings.OverloadWindow)))
			}
		}
	}
	return part
}
