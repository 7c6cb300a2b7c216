// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
)

// serviceModel is a number of nodes, servers with FIFO queues, and clients that retry, which is what
// sustained congestion requires. A canceled attempt still runs, since the settings do not say whether it
// does.
type serviceModel struct {
	*rand.Rand
	settings        *Settings
	now             int64
	nodes           []*modelNode
	workers         []*queueingServer
	timers          []*timer
	fails           func(t *Request, e int) bool // whether a request fails at once at a server
	work            func() int64
	lockedKey       uint64 // its requests wait in their slot for one lock and use it for lockTime
	lockTime        int64
	unlockedAt      int64 // when the last waiting request releases the lock
	otherKeysMissed int   // number of them that were not served in time
	otherKeys       int
	offered         [200]int // requests by second
	inTime          [200]int
}

// queueingServer is a server with slots and a queue.
type queueingServer struct {
	slots    int
	running  int
	slowdown int64 // factor on running times
	queue    []func()
}

// modelNode implements the Actions of one node.
type modelNode struct {
	*serviceModel
	d        *Dispatcher
	servers  []*Server
	sentAt   map[*Attempt]int64
	done     map[*Request]func(work int64) // called with the running time; 0: not served
	attempts int                           // total attempts
	shed     int
}

func (n *modelNode) StartAttempt(attempt *Attempt) {
	n.attempts++
	n.sentAt[attempt] = n.now
	request, i := attempt.Request, slices.Index(n.servers, attempt.Server)
	w := n.workers[i]
	work := n.work()
	end := func(o Outcome) {
		if !attempt.InFlight {
			return
		}
		requestEnded := request.Done || o == Succeeded
		if o == Succeeded && !request.Done {
			n.done[request](work)
		}
		n.d.AttemptEnded(attempt, o, n.now-n.sentAt[attempt], requestEnded)
	}
	if n.fails != nil && n.fails(request, i) {
		n.after(2e6, func() { end(Failed) })
		return
	}
	next := func() {
		for w.running < w.slots && len(w.queue) > 0 {
			w.running++
			job := w.queue[0]
			w.queue = w.queue[1:]
			job()
		}
	}
	w.queue = append(w.queue, func() {
		if attempt.InFlight {
			n.d.AttemptStarted(attempt)
		}
		took, o := work*w.slowdown, Succeeded
		locked := request.AffinityKey == n.lockedKey ||
			request.AffinityKey == 0 && request.Tenant == int(n.lockedKey)
		if n.lockedKey > 0 && locked {
			if wait := max(n.unlockedAt-n.now, 0); wait > 3*request.Class.LatencyObjective/2 {
				took, o = 2e6, Failed
			} else {
				took, n.unlockedAt = took+wait, max(n.unlockedAt, n.now)+n.lockTime
			}
		}
		n.after(took, func() {
			w.running--
			end(o)
			next()
		})
	})
	n.after(1e6, next)
}

func (n *modelNode) CancelAttempt(attempt *Attempt) {
	n.after(1e6, func() {
		if attempt.InFlight {
			n.d.AttemptEnded(attempt, Canceled, n.now-n.sentAt[attempt], true)
		}
	})
}

func (n *modelNode) Shed(request *Request, _ int64) { n.shed++; n.done[request](0) }

func (n *modelNode) Compensate(request *Request) { n.done[request](0) }

func (n *modelNode) PollEndpoints(bool) {}

func (n *modelNode) NotifyPeers(*Server, float64) {}

func (n *modelNode) ProbeCapacity(*Server) {}

func (n *modelNode) Schedule(after int64, call func()) (cancel func()) {
	a := n.after(max(after, 1), call)
	return func() { a.call = func() {} }
}

// after schedules a call, with the clock of all nodes set to its time.
func (h *serviceModel) after(span int64, call func()) *timer {
	a := &timer{h.now + span, call}
	i, _ := slices.BinarySearchFunc(h.timers, a.at+1,
		func(b *timer, at int64) int { return cmp.Compare(b.at, at) })
	h.timers = slices.Insert(h.timers, i, a)
	return a
}

func newServiceModel(seed uint64, nodes, workers, slots int, settings *Settings) *serviceModel {
	h := &serviceModel{Rand: rand.New(rand.NewPCG(seed, 3)), settings: settings, now: 1e12}
	h.work = func() int64 { return 2e8 }
	for range workers {
		h.workers = append(h.workers, &queueingServer{slots: slots, slowdown: 1})
	}
	for i := range nodes {
		own := *settings
		own.NodeIndex, own.Nodes = i, nodes
		n := &modelNode{serviceModel: h, sentAt: map[*Attempt]int64{}, done: map[*Request]func(int64){}}
		n.d = New(&own, h.Uint64(), n, h.now)
		var endpoints []Endpoint
		for j := range workers {
			n.servers = append(n.servers, &Server{Hash: HashName("e" + strconv.Itoa(j))})
			endpoints = append(endpoints, Endpoint{Server: n.servers[j], Capacity: 1})
		}
		n.d.UpdateEndpoints(true, endpoints)
		h.nodes = append(h.nodes, n)
	}
	return h
}

// arrive starts a request. If it is not served in time, its client retries after a pause, up to the given
// number of times.
func (h *serviceModel) arrive(retries int, first int64, key uint64) {
	n, class := h.nodes[h.IntN(len(h.nodes))], h.settings.Classes[0]
	request := &Request{Class: class, Slots: 1, AffinityKey: key, Deadline: first + class.MaxDeadline}
	if n := uint64(len(h.settings.Tenants)); n > 0 {
		request.AffinityKey, request.Tenant = 0, int(key%n)
	}
	sinceStart := first - 1e12
	n.done[request] = func(work int64) {
		inTime := work > 0 && h.now-first <= class.LatencyObjective+int64(class.ObjectivePerWork)*work
		if request.Tenant != int(h.lockedKey) && key != h.lockedKey && (inTime || work > 0 || retries == 0) {
			if h.otherKeys++; !inTime {
				h.otherKeysMissed++
			}
		}
		if delete(n.done, request); inTime {
			h.inTime[sinceStart/1e9]++
		} else if work == 0 && retries > 0 {
			h.after(3e7+h.Int64N(3e7), func() {
				if h.now < first+class.MaxDeadline {
					h.arrive(retries-1, first, key)
				}
			})
		}
	}
	n.d.Arrive(request)
}

// advance advances the clock with the given number of requests per second; key returns the key of each.
func (h *serviceModel) advance(span int64, rate float64, key func() uint64) {
	end := h.now + span
	var next func()
	next = func() {
		if h.now < end {
			h.offered[(h.now-1e12)/1e9]++
			h.arrive(2, h.now, key())
			h.after(int64(h.ExpFloat64()/rate*1e9)+1, next)
		}
	}
	h.after(1, next)
	for h.now < end {
		tick := h.now + h.settings.Tick
		for len(h.timers) > 0 && h.timers[0].at <= tick {
			a := h.timers[0]
			h.timers = h.timers[1:]
			h.now = max(h.now, a.at)
			for _, n := range h.nodes {
				n.d.Advance(h.now)
			}
			a.call()
		}
		h.now = tick
		for _, n := range h.nodes {
			n.d.Advance(h.now)
			n.d.ProcessQueue()
		}
	}
}

// servedShare is the share of the requests that arrived in the given seconds that were served in time.
func (h *serviceModel) servedShare(from, to int) float64 {
	offered, inTime := 0, 0
	for i := from; i < to; i++ {
		offered, inTime = offered+h.offered[i], inTime+h.inTime[i]
	}
	return float64(inTime) / float64(max(offered, 1))
}

func modelSettings() *Settings {
	return &Settings{Nodes: 5, Tick: 5e6, StartNotices: true, MaxAttempts: 6, AllowCancel: true,
		Classes: []*Class{
			{LatencyObjective: 2e8, ObjectivePerWork: 2, MaxDeadline: 5e9, Weight: 1, MachineType: -1}}}
}

func noKey() uint64 { return 0 }
