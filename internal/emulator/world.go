// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"fernrail/dispatch"
	"fernrail/internal/fleet/budget"
	"fernrail/internal/invariants"
)

// world owns everything of one run.
type world struct {
	clock
	scenario         *Scenario
	random           *rand.Rand // of the network, executors and faults
	clientRandom     *rand.Rand // of the clients, so that policies meet the same traffic
	servers          []*server
	nodes            []*node
	endpoints        []dispatch.Endpoint // what discovery knows
	listVersion      int
	discoveryStopped bool // discovery is
	cuts             map[[2]int]int
	messageLoss      float64
	bursts           []*Fault // that are on
	failingShare     float64  // share of txns that err wherever they go
	emit             func(invariants.Event)
	leader           *leader
	agreement        budget.Agreement
	sharedMeters     map[string]*budget.UsageMeter // of one that sees all

	lastEffectAt                     map[*operation]int64 // of referenced txns: when one first ran
	requestCount                     int
	overloadCount, messageCount      int
	handshakeCount                   int
	connectionSamples, connectionSum int     // at connections; how many there were in all of them
	subsetUpdatePending              bool    // a division of executors is due
	completedWork                    float64 // work done
	slowStartWork                    float64 // work sent to cold executors
	offeredWork                      float64 // work that first tries ask for
	effectCounts                     map[*operation]int
	attemptCount                     int
}

// startTime is where clocks begin.
const startTime = int64(1e12)

// Report is what came of a run, beside its log.
type Report struct {
	Events           int64   // of the queue
	Requests         int     // taken by nodes, later tries among them
	Attempts         int     //
	Handshakes       int     //
	MeanConnections  float64 // connections, the mean over time
	Overloads        int     // cold executors that were pushed over
	Work             float64 // slots times seconds that executors did
	OfferedWork      float64 // the same, of first tries
	SlowStartWork    float64 // slots times seconds of work sent to cold executors
	LeaseRequests    int     // for leases
	DuplicateEffects int     // effects of txns that must not run twice, beyond the first
}

// Run plays a scenario. Policy makes what decides on one node; log hears every event in order.
func Run(s *Scenario, seed uint64, policy Policy, log func(invariants.Event)) Report {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), clientRandom: rand.New(rand.NewPCG(seed, 2)), cuts: map[[2]int]int{},
		emit: log, lastEffectAt: map[*operation]int64{}, effectCounts: map[*operation]int{}}
	w.now = startTime
	place := rand.New(rand.NewPCG(seed, 3))
	for i, best := range s.machineTypeIndexes() {
		k := &s.MachineTypes[best]
		e := &server{world: w, id: "e" + strconv.Itoa(i), zone: i % len(s.Fleet.Zones), machineType: k, advancedUntil: w.now, up: true,
			speed: k.Speed * (1 + k.SpeedSpread*(2*place.Float64()-1))}
		w.servers = append(w.servers, e)
		w.endpoints = append(w.endpoints, dispatch.Endpoint{Zone: e.zone, MachineType: best, Capacity: 1})
	}
	w.agreement = s.Leases.agreement(s.Fleet.Nodes)
	w.sharedMeters = w.newMeters()
	if s.Leases.Mode == "leased" {
		w.startLeader()
	}
	for i := range s.Fleet.Nodes {
		n := &node{world: w, index: i, zone: i % len(s.Fleet.Zones), name: "n" + strconv.Itoa(i), policy: policy}
		w.nodes = append(w.nodes, n)
		n.start(seed)
	}
	for i := range s.Faults {
		w.schedule(&s.Faults[i])
	}
	w.scheduleArrivals()
	w.after(int64(s.WarmUp), w.sampleConnections)
	end := startTime + int64(s.Length)
	w.run(end)
	longest := Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	w.run(end + int64(longest) + int64(1e9))
	r := Report{Events: w.executed, Requests: w.requestCount, Attempts: w.attemptCount, Handshakes: w.handshakeCount, MeanConnections: float64(w.connectionSum) / float64(max(w.connectionSamples, 1)), Overloads: w.overloadCount, Work: w.completedWork / 1e9}
	for _, n := range w.effectCounts {
		r.DuplicateEffects += n - 1
	}
	r.OfferedWork, r.SlowStartWork = w.offeredWork/1e9, w.slowStartWork/1e9
	if w.leader != nil {
		r.LeaseRequests = w.leader.requests
	}
	return r
}

// machineTypeIndexes is which kind each executor is of, by their shares.
func (s *Scenario) machineTypeIndexes() (out []int) {
	left := make([]float64, len(s.MachineTypes))
	for range s.Fleet.Servers {
		best := 0
		for k := range s.MachineTypes {
			if left[k] += s.MachineTypes[k].Share; left[k] > left[best] {
				best = k
			}
		}
		left[best]--
		out = append(out, best)
	}
	return out
}

// InvariantRules gives the figures that the judge holds a log of this scenario against.
func (s *Scenario) InvariantRules() invariants.Rules {
	r := invariants.Rules{Slack: int64(s.Rules.Slack), DrainGrace: int64(s.Rules.DrainGrace), OverloadWindow: int64(s.Rules.OverloadWindow), OverloadFactor: s.Rules.OverloadFactor,
		SlowStart: int64(s.Rules.SlowStart), SlowStartShare: s.Rules.SlowStartShare, AllowHedging: s.Rules.AllowHedging, Classes: map[string]invariants.Class{}, Servers: map[string]invariants.ServerPlace{}}
	for i, k := range s.machineTypeIndexes() {
		r.Servers["e"+strconv.Itoa(i)] = invariants.ServerPlace{Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)], Slots: float64(s.MachineTypes[k].Slots)}
	}
	for _, c := range s.Classes {
		r.Classes[c.Name] = invariants.Class{Idempotency: c.Idempotency, DedupScope: "all", DedupWindow: int64(c.DedupWindow)}
	}
	if s.Leases.Mode == "leased" {
		p := s.Leases.agreement(s.Fleet.Nodes)
		r.Totals = map[string]int64{}
		for b, t := range p.Budgets {
			for _, name := range p.PartitionNames(b) {
				r.Totals[name] = t.Total - t.Floor*p.MaxNodes // nodes tell of their leases; floors are carved out
			}
		}
	}
	return r
}

func (w *world) log(e invariants.Event) {
	e.At = w.now
	w.emit(e)
}

// send takes something over the network, if it gets through.
func (w *world) send(from, to int, then func()) {
	w.messageCount++
	if w.cuts[[2]int{from, to}] > 0 || w.random.Float64() < max(w.scenario.Network.Loss, w.messageLoss) {
		return
	}
	base := float64(w.scenario.Network.SameZoneDelay)
	if from != to {
		base = float64(w.scenario.Network.CrossZoneDelay)
	}
	w.after(int64(base*(1+w.scenario.Network.Jitter*w.random.ExpFloat64())), then)
}

// publishState has discovery learn what an executor is now, after a while, and then all nodes.
func (w *world) publishState(i int, state dispatch.EndpointState) {
	since := w.servers[i].startedAt
	w.after(int64(w.scenario.Discovery.NoticeDelay), func() {
		if m := &w.endpoints[i]; m.StartedAt <= since {
			m.State, m.StartedAt = state, since
			w.listVersion++
		}
		w.notifyNodes()
	})
}

// notifyNodes brings the nodes that want to hear of it what discovery knows.
func (w *world) notifyNodes() {
	if w.discoveryStopped {
		return
	}
	for _, n := range w.nodes {
		if n.polls {
			w.sendEndpoints(n)
		}
	}
}

// sendEndpoints brings one node the list after a while; one that is lost on the way comes a notice later.
func (w *world) sendEndpoints(n *node) {
	life := n.incarnation
	delay := w.random.Int64N(int64(w.scenario.Discovery.NotifyDelay) + 1)
	if w.random.Float64() < w.scenario.Discovery.Loss {
		delay += int64(w.scenario.Discovery.NoticeDelay)
	}
	w.after(delay, func() {
		if n.incarnation == life && n.up && !w.discoveryStopped && n.listVersion < w.listVersion {
			n.updateEndpoints()
		}
	})
}

// recordEffect notes that a job has had its effect; that of a referenced txn which its group remembers is dropped.
func (w *world) recordEffect(j *job) {
	if idempotencyOf(j.request.class.Idempotency) == dispatch.Idempotent || w.isDeduplicated(j) {
		return
	}
	w.effectCounts[j.request.operation]++
	w.lastEffectAt[j.request.operation] = w.now
}

// isDeduplicated says whether a referenced txn's mark is known, so that it is not run again.
func (w *world) isDeduplicated(j *job) bool {
	at, known := w.lastEffectAt[j.request.operation]
	return known && j.request.class.Idempotency == "referenced" && w.now-at <= int64(j.request.class.DedupWindow)
}

// sampleIndexes draws a part of so many, at least one.
func (w *world) sampleIndexes(n int, part float64) []int {
	return w.random.Perm(n)[:min(max(int(math.Round(part*float64(n))), 1), n)]
}

func (w *world) serverIndex(e *server) int { return slices.Index(w.servers, e) }

// crashServer ends an executor and has it come back cold.
func (w *world) crashServer(e *server, away int64) {
	if !e.up {
		return
	}
	i := w.serverIndex(e)
	e.stop(false)
	w.publishState(i, dispatch.Removed)
	w.after(away, func() {
		e.start()
		w.publishState(i, dispatch.Up)
	})
}

// replaceServer has an executor drain for the grace and what it was told of takes, then start anew.
func (w *world) replaceServer(e *server) {
	if !e.up {
		return
	}
	i, life := w.serverIndex(e), e.incarnation
	w.publishState(i, dispatch.Draining)
	wait := int64(w.scenario.Discovery.NoticeDelay + w.scenario.Discovery.NotifyDelay + w.scenario.Rules.DrainGrace)
	w.after(wait, func() {
		if e.incarnation != life {
			return
		}
		e.draining = true
		w.after(wait, func() {
			if e.incarnation == life {
				w.crashServer(e, int64(1e8))
			}
		})
	})
}
