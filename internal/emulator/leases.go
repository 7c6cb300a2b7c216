// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"
	"maps"
	"slices"

	"fernrail/dispatch"
	"fernrail/internal/fleet/budget"
	"fernrail/internal/invariants"
)

// Leases say how nodes hold budgets together, with the code that real ones use.
type Leases struct {
	Mode   string            `toml:"mode"`  // turns: nothing is told; leased; alone: each node takes itself for the only one; all: one that sees all
	Lease  Span              `toml:"lease"` //
	Margin float64           `toml:"margin"`
	Budget map[string]Shared `toml:"budget"` // again, connect, cold
}

// Shared is one budget.
type Shared struct {
	Whole   int64 `toml:"whole"`
	Floor   int64 `toml:"floor"`
	Reserve int64 `toml:"reserve"`
	Step    int64 `toml:"step"`
	Window  Span  `toml:"window"`
	Parts   int64 `toml:"parts"`
}

var modes = []string{"turns", "leased", "alone", "all"}

// budgets are the module's, by the scenario's words.
var budgets = [dispatch.BudgetCount]string{dispatch.BudgetRetries: "again", dispatch.BudgetConnections: "connect", dispatch.BudgetSlowStart: "cold"}

func (l *Leases) pact(nodes int) budget.Agreement {
	p := budget.Agreement{MaxNodes: int64(nodes), Lease: int64(l.Lease), ClockMargin: l.Margin, Budgets: map[string]budget.Limits{}}
	for name, b := range l.Budget {
		p.Budgets[name] = budget.Limits{Total: b.Whole, Floor: b.Floor, Reserve: b.Reserve, Step: max(b.Step, 1), Window: int64(b.Window), Partitions: b.Parts}
	}
	return p
}

// shares says whether the nodes are told what they may use.
func (l *Leases) shares() bool { return l.Mode == "leased" || l.Mode == "all" }

func (l *Leases) check(nodes int, fall Span) error {
	if !slices.Contains(modes, l.Mode) {
		return fmt.Errorf("leases.mode: %q is not one of %v", l.Mode, modes)
	}
	if !l.shares() {
		return nil
	}
	for name := range l.Budget {
		if !slices.Contains(budgets[:], name) {
			return fmt.Errorf("leases.budget.%s: no such budget; there are %v", name, budgets)
		}
	}
	if b, is := l.Budget["cold"]; !is || b.Window < fall {
		return fmt.Errorf("leases.budget.cold: missing, or its window is under rules.fall")
	}
	p := l.pact(nodes)
	if err := p.Validate(); err != nil {
		return fmt.Errorf("leases.%w", err)
	}
	return nil
}

// granter is the seats, as one actor of the world. While it is down nobody answers; what comes after it is another reign.
type granter struct {
	world *world
	books *budget.Ledger
	reign *budget.LeaderTerm
	epoch uint64
	calls int
}

// inspect is between two looks at what has run out.
const inspect = int64(25e6)

func (w *world) grant() {
	g := &granter{world: w, books: budget.NewLedger()}
	w.granter = g
	g.elect()
	var look func()
	look = func() {
		if g.reign != nil {
			if due := g.reign.DueExpirations(w.now); due != nil {
				g.books.Apply(due)
				g.reign.RecordApplied(g.books, due, nil, w.now)
			}
		}
		w.after(inspect, look)
	}
	look()
}

func (g *granter) elect() {
	g.epoch++
	g.books.Apply(&budget.LogEntry{NewTerm: true, Epoch: g.epoch, Agreement: &g.world.pact})
	g.reign = budget.NewLeaderTerm(g.books, g.epoch, g.world.now)
}

func (g *granter) hear(a budget.LeaseRequest, answer func(*budget.LeaseResponse)) {
	if g.reign == nil {
		return
	}
	g.calls++
	e := &budget.LogEntry{Epoch: g.epoch, Requests: []budget.LeaseRequest{a}}
	answers, err := g.books.Apply(e)
	if err != nil || answers[0] == nil {
		return
	}
	g.reign.RecordApplied(g.books, e, answers, g.world.now)
	answers[0].LeaderTime = g.world.now
	answer(answers[0])
}

// share is a node's part of what all hold together.
type share struct {
	node   *node
	holder *budget.LeaseHolder // nil: it sees all, and needs no lease
	wants  *budget.DemandEstimator
	meters map[string]*budget.UsageMeter
	asked  int64
	told   map[string]stake
}

// join gives a node that starts its part.
func (n *node) join() *share {
	w := n.world
	s := &share{node: n, meters: w.seen, told: map[string]stake{}}
	if w.s.Leases.Mode == "leased" {
		s.meters = w.meters()
		s.holder = budget.NewLeaseHolder(n.name, fmt.Sprint(n.name, ".", n.lives), &w.pact, w.now)
		s.wants = budget.NewDemandEstimator(n.name, &w.pact)
		s.ask(n.lives)
	}
	return s
}

func (w *world) meters() map[string]*budget.UsageMeter {
	out := map[string]*budget.UsageMeter{}
	for b := range w.pact.Budgets {
		for _, name := range w.pact.PartitionNames(b) {
			out[name] = budget.NewUsageMeter(&w.pact, name)
		}
	}
	return out
}

// ask calls the granter, and again when that is due. What gets lost is asked for once more.
func (s *share) ask(life int) {
	n := s.node
	w := n.world
	if !n.up || n.lives != life {
		return
	}
	s.asked = w.now
	defer s.tell()
	a := s.holder.NextRequest(s.wants.Estimate(func(name string) (float64, bool) { return s.meters[name].PeakDemand(w.now) },
		func(name string) int64 { return s.holder.Units(name, w.now) }), w.now)
	w.send(n.zone, 0, func() {
		w.granter.hear(a, func(answer *budget.LeaseResponse) {
			w.send(0, n.zone, func() {
				if n.up && n.lives == life && s.holder.ApplyResponse(answer, w.now) {
					s.wants.ObserveResponse(answer)
					s.tell()
					w.after(max(s.holder.NextRequestTime()-w.now, w.pact.Lease/15), func() { s.again(life, a.Seq) })
				}
			})
		})
	})
	w.after(w.pact.Lease/3, func() { s.again(life, a.Seq) })
}

// tell logs what changed of what this node may use, for the judge.
func (s *share) tell() {
	w := s.node.world
	for _, b := range slices.Sorted(maps.Keys(w.pact.Budgets)) {
		for _, name := range w.pact.PartitionNames(b) {
			now := stake{s.holder.LeasedUnits(name, w.now), s.holder.LeaseExpiry()}
			if was := s.told[name]; now == was || now.units == 0 && was.units == 0 {
				continue
			}
			s.told[name] = now
			w.log(invariants.Event{Kind: invariants.QuotaHeld, Node: s.node.name, Budget: name, Units: now.units, Until: now.until})
		}
	}
}

type stake struct{ units, until int64 }

// again asks once more if nothing was asked since.
func (s *share) again(life int, seq uint64) {
	if s.holder.Seq() == seq {
		s.ask(life)
	}
}

func (s *share) have(name string, whole int64) int64 {
	if s.holder == nil {
		return whole
	}
	return s.holder.Units(name, s.node.world.now)
}

// of is the share that a sending to an executor falls to, its meter, key and whole.
func (s *share) of(b dispatch.Budget, e *dispatch.Server) (name string, m *budget.UsageMeter, key string, whole int64) {
	w := s.node.world
	if name = budgets[b]; b != dispatch.BudgetRetries {
		name, key = w.pact.PartitionName(name, e.Hash), e.Tag
	}
	return name, s.meters[name], key, w.pact.Budgets[budgets[b]].Total
}

// Allow implements dispatch.Shares. Tenants' jobs and calls for the list are not held together here.
func (s *share) Allow(b dispatch.Budget, e *dispatch.Server, _ *dispatch.Request, units float64) bool {
	if budgets[b] == "" {
		return true
	}
	name, m, key, whole := s.of(b, e)
	if m == nil || b == dispatch.BudgetConnections && len(s.node.idle[s.node.places[e]]) > 0 {
		return true
	}
	if b == dispatch.BudgetSlowStart {
		units *= float64(whole)
	}
	now := s.node.world.now
	if m.Used(key, now)+units <= float64(s.have(name, whole)) {
		return true
	}
	m.RecordRejected(key, units, now)
	s.hurry()
	return false
}

// hurry asks soon where more is needed, some times in a lease at most.
func (s *share) hurry() {
	if w := s.node.world; s.holder != nil && w.now-s.asked >= w.pact.Lease/15 {
		s.asked = w.now
		life, seq := s.node.lives, s.holder.Seq()
		w.after(1, func() { s.again(life, seq) })
	}
}

// Quota implements dispatch.Shares.
func (s *share) Quota(b dispatch.Budget, e *dispatch.Server) float64 {
	name, m, _, whole := s.of(b, e)
	if m == nil {
		return 1
	}
	if s.holder == nil {
		return 1 / float64(s.node.world.s.Fleet.Nodes) // all may, as any of them
	}
	return float64(s.have(name, whole)) / float64(whole)
}

// take charges a posting as it goes out; false: it may not.
func (s *share) take(p *dispatch.Attempt, connects bool) bool {
	now := s.node.world.now
	undo := func() {}
	for b := range dispatch.BudgetCount {
		name, m, key, whole := s.of(b, p.Server)
		units := 0.0
		switch {
		case b == dispatch.BudgetSlowStart:
			units = p.SlowStartShare * float64(whole)
		case b == dispatch.BudgetRetries && p.Number > 0, b == dispatch.BudgetConnections && connects:
			units = 1
		}
		if m == nil || units == 0 {
			continue
		}
		u := m.Reserve(key, units, s.have(name, whole), now)
		if u == nil || !m.Send(u, s.have(name, whole), now) {
			undo()
			return false
		}
		before := undo
		undo = func() { before(); m.Cancel(u) }
	}
	return true
}
