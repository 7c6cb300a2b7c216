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
	s         *Scenario
	chance    *rand.Rand // of the network, executors and faults
	arrivals  *rand.Rand // of the clients, so that policies meet the same traffic
	executors []*executor
	nodes     []*node
	listing   []dispatch.Endpoint // what discovery knows
	version   int
	silent    bool // discovery is
	cuts      map[[2]int]int
	loss      float64
	bursts    []*Fault // that are on
	spoilt    float64  // share of txns that err wherever they go
	out       func(invariants.Event)
	leader    *leader
	pact      budget.Agreement
	seen      map[string]*budget.UsageMeter // of one that sees all

	marks            map[*origin]int64 // of referenced txns: when one first ran
	taken            int
	fallen, messages int
	handshakes       int
	looks, held      int     // at connections; how many there were in all of them
	regroups         bool    // a division of executors is due
	busy             float64 // work done
	cold             float64 // work sent to cold executors
	offered          float64 // work that first tries ask for
	effects          map[*origin]int
	postings         int
}

// epoch is where clocks begin.
const epoch = int64(1e12)

// Report is what came of a run, beside its log.
type Report struct {
	Events     int64   // of the queue
	Txns       int     // taken by nodes, later tries among them
	Postings   int     //
	Handshakes int     //
	Held       float64 // connections, the mean over time
	Fallen     int     // cold executors that were pushed over
	Work       float64 // slots times seconds that executors did
	Offered    float64 // the same, of first tries
	Cold       float64 // slots times seconds of work sent to cold executors
	Calls      int     // for leases
	Twice      int     // effects of txns that must not run twice, beyond the first
}

// Run plays a scenario. Policy makes what decides on one node; log hears every event in order.
func Run(s *Scenario, seed uint64, policy Policy, log func(invariants.Event)) Report {
	w := &world{s: s, chance: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), cuts: map[[2]int]int{},
		out: log, marks: map[*origin]int64{}, effects: map[*origin]int{}}
	w.now = epoch
	place := rand.New(rand.NewPCG(seed, 3))
	for i, best := range s.kinds() {
		k := &s.Kinds[best]
		e := &executor{world: w, id: "e" + strconv.Itoa(i), zone: i % len(s.Fleet.Zones), kind: k, at: w.now, up: true,
			speed: k.Speed * (1 + k.Spread*(2*place.Float64()-1))}
		w.executors = append(w.executors, e)
		w.listing = append(w.listing, dispatch.Endpoint{Zone: e.zone, MachineType: best, Capacity: 1})
	}
	w.pact = s.Leases.agreement(s.Fleet.Nodes)
	w.seen = w.meters()
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
	w.clients()
	w.after(int64(s.Warm), w.open)
	end := epoch + int64(s.Length)
	w.run(end)
	longest := Span(0)
	for _, c := range s.Scheme {
		longest = max(longest, c.Expiry)
	}
	w.run(end + int64(longest) + int64(1e9))
	r := Report{Events: w.done, Txns: w.taken, Postings: w.postings, Handshakes: w.handshakes, Held: float64(w.held) / float64(max(w.looks, 1)), Fallen: w.fallen, Work: w.busy / 1e9}
	for _, n := range w.effects {
		r.Twice += n - 1
	}
	r.Offered, r.Cold = w.offered/1e9, w.cold/1e9
	if w.leader != nil {
		r.Calls = w.leader.requests
	}
	return r
}

// kinds is which kind each executor is of, by their shares.
func (s *Scenario) kinds() (out []int) {
	left := make([]float64, len(s.Kinds))
	for range s.Fleet.Executors {
		best := 0
		for k := range s.Kinds {
			if left[k] += s.Kinds[k].Share; left[k] > left[best] {
				best = k
			}
		}
		left[best]--
		out = append(out, best)
	}
	return out
}

// Held gives the figures that the judge holds a log of this scenario against.
func (s *Scenario) Held() invariants.Rules {
	r := invariants.Rules{Slack: int64(s.Rules.Slack), DrainGrace: int64(s.Rules.Grace), OverloadWindow: int64(s.Rules.Fall), OverloadFactor: s.Rules.FallMultiple,
		SlowStart: int64(s.Rules.Cold), SlowStartShare: s.Rules.ColdShare, AllowHedging: s.Rules.Doubles, Classes: map[string]invariants.Class{}, Servers: map[string]invariants.ServerPlace{}}
	for i, k := range s.kinds() {
		r.Servers["e"+strconv.Itoa(i)] = invariants.ServerPlace{Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)], Slots: float64(s.Kinds[k].Slots)}
	}
	for _, c := range s.Scheme {
		r.Classes[c.Name] = invariants.Class{Idempotency: c.Effect, DedupScope: "all", DedupWindow: int64(c.Memory)}
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
	w.out(e)
}

// send takes something over the network, if it gets through.
func (w *world) send(from, to int, then func()) {
	w.messages++
	if w.cuts[[2]int{from, to}] > 0 || w.chance.Float64() < max(w.s.Net.Loss, w.loss) {
		return
	}
	base := float64(w.s.Net.Same)
	if from != to {
		base = float64(w.s.Net.Cross)
	}
	w.after(int64(base*(1+w.s.Net.Jitter*w.chance.ExpFloat64())), then)
}

// tell has discovery learn what an executor is now, after a while, and then all nodes.
func (w *world) tell(i int, state dispatch.EndpointState) {
	since := w.executors[i].begun
	w.after(int64(w.s.Lists.Notice), func() {
		if m := &w.listing[i]; m.StartedAt <= since {
			m.State, m.StartedAt = state, since
			w.version++
		}
		w.spread()
	})
}

// spread brings the nodes that want to hear of it what discovery knows.
func (w *world) spread() {
	if w.silent {
		return
	}
	for _, n := range w.nodes {
		if n.watches {
			w.news(n)
		}
	}
}

// news brings one node the list after a while; one that is lost on the way comes a notice later.
func (w *world) news(n *node) {
	life := n.lives
	delay := w.chance.Int64N(int64(w.s.Lists.Spread) + 1)
	if w.chance.Float64() < w.s.Lists.Loss {
		delay += int64(w.s.Lists.Notice)
	}
	w.after(delay, func() {
		if n.lives == life && n.up && !w.silent && n.had < w.version {
			n.listed()
		}
	})
}

// ran notes that a job has had its effect; that of a referenced txn which its group remembers is dropped.
func (w *world) ran(j *job) {
	if effectOf(j.txn.scheme.Effect) == dispatch.Idempotent || w.remembers(j) {
		return
	}
	w.effects[j.txn.origin]++
	w.marks[j.txn.origin] = w.now
}

// remembers says whether a referenced txn's mark is known, so that it is not run again.
func (w *world) remembers(j *job) bool {
	at, known := w.marks[j.txn.origin]
	return known && j.txn.scheme.Effect == "referenced" && w.now-at <= int64(j.txn.scheme.Memory)
}

// pick draws a part of so many, at least one.
func (w *world) pick(n int, part float64) []int {
	return w.chance.Perm(n)[:min(max(int(math.Round(part*float64(n))), 1), n)]
}

func (w *world) place(e *executor) int { return slices.Index(w.executors, e) }

// crash ends an executor and has it come back cold.
func (w *world) crash(e *executor, away int64) {
	if !e.up {
		return
	}
	i := w.place(e)
	e.stop(false)
	w.tell(i, dispatch.Removed)
	w.after(away, func() {
		e.start()
		w.tell(i, dispatch.Up)
	})
}

// swap has an executor drain for the grace and what it was told of takes, then start anew.
func (w *world) swap(e *executor) {
	if !e.up {
		return
	}
	i, life := w.place(e), e.lives
	w.tell(i, dispatch.Draining)
	wait := int64(w.s.Lists.Notice + w.s.Lists.Spread + w.s.Rules.Grace)
	w.after(wait, func() {
		if e.lives != life {
			return
		}
		e.draining = true
		w.after(wait, func() {
			if e.lives == life {
				w.crash(e, int64(1e8))
			}
		})
	})
}
