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

// world is the state of one simulation run.
type world struct {
	clock
	scenario         *Scenario
	random           *rand.Rand // for the network, servers and faults
	clientRandom     *rand.Rand // for clients alone, so that all policies receive the same traffic
	servers          []*server
	nodes            []*node
	endpoints        []dispatch.Endpoint // the list that discovery has
	listVersion      int
	discoveryStopped bool           // discovery sends no lists
	cuts             map[[2]int]int // by zones from and to: number of active faults that cut the link
	messageLoss      float64
	bursts           []*Fault // active bursts
	failingShare     float64  // share of requests that fail at every server
	emit             func(invariants.Event)
	leader           *leader
	agreement        budget.Agreement
	sharedMeters     map[string]*budget.UsageMeter // shared by all nodes in lease mode "all"

	lastEffectAt                     map[*operation]int64 // time of the last effect; for deduplication
	requestCount                     int
	overloadCount, messageCount      int
	handshakeCount                   int
	connectionSamples, connectionSum int     // number of samples, and sum of the connections in them
	subsetUpdatePending              bool    // an assignment of subsets is scheduled
	completedWork                    float64 // slots times ns
	slowStartWork                    float64 // sent to servers in slow start, slots times ns
	offeredWork                      float64 // of first requests, slots times ns
	effectCounts                     map[*operation]int
	attemptCount                     int
}

// startTime is the virtual time at which a run starts, in nanoseconds.
const startTime = int64(1e12)

// Report has the figures of a run that its event log does not show.
type Report struct {
	Events           int64 // run by the event queue
	Requests         int   // accepted by nodes, retries of clients included
	Attempts         int
	Handshakes       int
	MeanConnections  float64 // open connections, mean over time
	Overloads        int     // servers overloaded in slow start
	Work             float64 // completed by servers, slots times seconds
	OfferedWork      float64 // of first requests, slots times seconds
	SlowStartWork    float64 // sent to servers in slow start, slots times seconds
	LeaseRequests    int     // that the leader handled
	DuplicateEffects int     // effects of operations that must have one effect only, beyond the first
}

// Run simulates a scenario. policy creates the decider of each node; log receives every event in order of
// time.
func Run(s *Scenario, seed uint64, policy Policy, log func(invariants.Event)) Report {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 1)),
		clientRandom: rand.New(rand.NewPCG(seed, 2)), cuts: map[[2]int]int{},
		emit: log, lastEffectAt: map[*operation]int64{}, effectCounts: map[*operation]int{}}
	w.now = startTime
	speedRandom := rand.New(rand.NewPCG(seed, 3))
	for i, typeIndex := range s.machineTypeIndexes() {
		machineType := &s.MachineTypes[typeIndex]
		server := &server{world: w, id: "e" + strconv.Itoa(i), zone: i % len(s.Fleet.Zones),
			machineType: machineType, advancedUntil: w.now, up: true,
			speed: machineType.Speed * (1 + machineType.SpeedSpread*(2*speedRandom.Float64()-1))}
		w.servers = append(w.servers, server)
		w.endpoints = append(w.endpoints, dispatch.Endpoint{Zone: server.zone, MachineType: typeIndex,
			Capacity: 1})
	}
	w.agreement = s.Leases.agreement(s.Fleet.Nodes)
	w.sharedMeters = w.newMeters()
	if s.Leases.Mode == "leased" {
		w.startLeader()
	}
	for i := range s.Fleet.Nodes {
		n := &node{world: w, index: i, zone: i % len(s.Fleet.Zones), name: "n" + strconv.Itoa(i),
			policy: policy}
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
	longestDeadline := Duration(0)
	for _, class := range s.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	w.run(end + int64(longestDeadline) + int64(1e9))
	r := Report{Events: w.executed, Requests: w.requestCount, Attempts: w.attemptCount,
		Handshakes:      w.handshakeCount,
		MeanConnections: float64(w.connectionSum) / float64(max(w.connectionSamples, 1)),
		Overloads:       w.overloadCount, Work: w.completedWork / 1e9}
	for _, count := range w.effectCounts {
		r.DuplicateEffects += count - 1
	}
	r.OfferedWork, r.SlowStartWork = w.offeredWork/1e9, w.slowStartWork/1e9
	if w.leader != nil {
		r.LeaseRequests = w.leader.requests
	}
	return r
}

// machineTypeIndexes returns the index of each server's machine type, in proportion to the types' shares.
func (s *Scenario) machineTypeIndexes() (indexes []int) {
	credit := make([]float64, len(s.MachineTypes))
	for range s.Fleet.Servers {
		largest := 0
		for k := range s.MachineTypes {
			if credit[k] += s.MachineTypes[k].Share; credit[k] > credit[largest] {
				largest = k
			}
		}
		credit[largest]--
		indexes = append(indexes, largest)
	}
	return indexes
}

// InvariantRules returns the rules that a log of this scenario is checked against.
func (s *Scenario) InvariantRules() invariants.Rules {
	r := invariants.Rules{Slack: int64(s.Rules.Slack), DrainGrace: int64(s.Rules.DrainGrace),
		OverloadWindow: int64(s.Rules.OverloadWindow), OverloadFactor: s.Rules.OverloadFactor,
		SlowStart: int64(s.Rules.SlowStart), SlowStartShare: s.Rules.SlowStartShare,
		AllowHedging: s.Rules.AllowHedging, Classes: map[string]invariants.Class{}, Servers: map[string]invariants.ServerPlace{}}
	for i, typeIndex := range s.machineTypeIndexes() {
		r.Servers["e"+strconv.Itoa(i)] = invariants.ServerPlace{Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)],
			Slots: float64(s.MachineTypes[typeIndex].Slots)}
	}
	for _, class := range s.Classes {
		r.Classes[class.Name] = invariants.Class{Idempotency: class.Idempotency, DedupScope: "all",
			DedupWindow: int64(class.DedupWindow)}
	}
	if s.Leases.Mode == "leased" {
		agreement := s.Leases.agreement(s.Fleet.Nodes)
		r.Totals = map[string]int64{}
		for b, limits := range agreement.Budgets {
			for _, name := range agreement.PartitionNames(b) {
				// Nodes log leased units only, without their floors.
				r.Totals[name] = limits.Total - limits.Floor*agreement.MaxNodes
			}
		}
	}
	return r
}

// log passes an event to the run's log with the current time.
func (w *world) log(e invariants.Event) {
	e.At = w.now
	w.emit(e)
}

// send delivers a message between two zones after the network's delay, unless it is lost.
func (w *world) send(from, to int, deliver func()) {
	w.messageCount++
	if w.cuts[[2]int{from, to}] > 0 || w.random.Float64() < max(w.scenario.Network.Loss, w.messageLoss) {
		return
	}
	base := float64(w.scenario.Network.SameZoneDelay)
	if from != to {
		base = float64(w.scenario.Network.CrossZoneDelay)
	}
	w.after(int64(base*(1+w.scenario.Network.Jitter*w.random.ExpFloat64())), deliver)
}

// publishState reports a server's state to discovery, which applies it after the notice delay and notifies
// the nodes.
func (w *world) publishState(i int, state dispatch.EndpointState) {
	startedAt := w.servers[i].startedAt
	w.after(int64(w.scenario.Discovery.NoticeDelay), func() {
		if endpoint := &w.endpoints[i]; endpoint.StartedAt <= startedAt {
			endpoint.State, endpoint.StartedAt = state, startedAt
			w.listVersion++
		}
		w.notifyNodes()
	})
}

// notifyNodes sends the endpoint list to all nodes that poll for it.
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

// sendEndpoints sends one node the endpoint list after a random delay. A list that is lost is sent again,
// which adds the notice delay.
func (w *world) sendEndpoints(n *node) {
	incarnation := n.incarnation
	delay := w.random.Int64N(int64(w.scenario.Discovery.NotifyDelay) + 1)
	if w.random.Float64() < w.scenario.Discovery.Loss {
		delay += int64(w.scenario.Discovery.NoticeDelay)
	}
	w.after(delay, func() {
		if n.incarnation == incarnation && n.up && !w.discoveryStopped && n.listVersion < w.listVersion {
			n.updateEndpoints()
		}
	})
}

// recordEffect records that a job had its effect. It ignores idempotent requests, and repeats that are
// deduplicated.
func (w *world) recordEffect(j *job) {
	if idempotencyOf(j.request.class.Idempotency) == dispatch.Idempotent || w.isDeduplicated(j) {
		return
	}
	w.effectCounts[j.request.operation]++
	w.lastEffectAt[j.request.operation] = w.now
}

// isDeduplicated reports whether a repeat of an operation is within the dedup window of its class, so that
// servers do not run it again.
func (w *world) isDeduplicated(j *job) bool {
	effectAt, known := w.lastEffectAt[j.request.operation]
	return known && j.request.class.Idempotency == "referenced" &&
		w.now-effectAt <= int64(j.request.class.DedupWindow)
}

// sampleIndexes draws a random part of the indexes below n, at least one.
func (w *world) sampleIndexes(n int, part float64) []int {
	return w.random.Perm(n)[:min(max(int(math.Round(part*float64(n))), 1), n)]
}

func (w *world) serverIndex(server *server) int { return slices.Index(w.servers, server) }

// crashServer stops a server and starts it again, in slow start, after a delay in nanoseconds.
func (w *world) crashServer(server *server, downtime int64) {
	if !server.up {
		return
	}
	i := w.serverIndex(server)
	server.stop(false)
	w.publishState(i, dispatch.Removed)
	w.after(downtime, func() {
		server.start()
		w.publishState(i, dispatch.Up)
	})
}

// replaceServer drains a server and restarts it. The server accepts requests until all nodes have been
// notified and the drain grace is over, and restarts after the same time again.
func (w *world) replaceServer(server *server) {
	if !server.up {
		return
	}
	i, incarnation := w.serverIndex(server), server.incarnation
	w.publishState(i, dispatch.Draining)
	drainTime := int64(w.scenario.Discovery.NoticeDelay + w.scenario.Discovery.NotifyDelay +
		w.scenario.Rules.DrainGrace)
	w.after(drainTime, func() {
		if server.incarnation != incarnation {
			return
		}
		server.draining = true
		w.after(drainTime, func() {
			if server.incarnation == incarnation {
				w.crashServer(server, int64(1e8))
			}
		})
	})
}
