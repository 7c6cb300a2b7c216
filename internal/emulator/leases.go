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
	Mode          string                  `toml:"mode"`  // turns: nothing is told; leased; alone: each node takes itself for the only one; all: one that sees all
	LeaseDuration Duration                `toml:"lease"` //
	ClockMargin   float64                 `toml:"margin"`
	Budgets       map[string]BudgetLimits `toml:"budget"` // again, connect, cold
}

// BudgetLimits is one budget.
type BudgetLimits struct {
	Total      int64    `toml:"whole"`
	Floor      int64    `toml:"floor"`
	Reserve    int64    `toml:"reserve"`
	Step       int64    `toml:"step"`
	Window     Duration `toml:"window"`
	Partitions int64    `toml:"parts"`
}

var leaseModes = []string{"turns", "leased", "alone", "all"}

// budgetNames are the module's, by the scenario's words.
var budgetNames = [dispatch.BudgetCount]string{dispatch.BudgetRetries: "again", dispatch.BudgetConnections: "connect", dispatch.BudgetSlowStart: "cold"}

func (l *Leases) agreement(nodes int) budget.Agreement {
	p := budget.Agreement{MaxNodes: int64(nodes), Lease: int64(l.LeaseDuration), ClockMargin: l.ClockMargin, Budgets: map[string]budget.Limits{}}
	for name, b := range l.Budgets {
		p.Budgets[name] = budget.Limits{Total: b.Total, Floor: b.Floor, Reserve: b.Reserve, Step: max(b.Step, 1), Window: int64(b.Window), Partitions: b.Partitions}
	}
	return p
}

// usesQuotas says whether the nodes are told what they may use.
func (l *Leases) usesQuotas() bool { return l.Mode == "leased" || l.Mode == "all" }

func (l *Leases) check(nodes int, fall Duration) error {
	if !slices.Contains(leaseModes, l.Mode) {
		return fmt.Errorf("leases.mode: %q is not one of %v", l.Mode, leaseModes)
	}
	if !l.usesQuotas() {
		return nil
	}
	for name := range l.Budgets {
		if !slices.Contains(budgetNames[:], name) {
			return fmt.Errorf("leases.budget.%s: no such budget; there are %v", name, budgetNames)
		}
	}
	if b, is := l.Budgets["cold"]; !is || b.Window < fall {
		return fmt.Errorf("leases.budget.cold: missing, or its window is under rules.fall")
	}
	p := l.agreement(nodes)
	if err := p.Validate(); err != nil {
		return fmt.Errorf("leases.%w", err)
	}
	return nil
}

// leader is the voters, as one actor of the world. While it is down nobody answers; what comes after it is another term.
type leader struct {
	world    *world
	ledger   *budget.Ledger
	term     *budget.LeaderTerm
	epoch    uint64
	requests int
}

// expiryInterval is between two looks at what has run out.
const expiryInterval = int64(25e6)

func (w *world) startLeader() {
	g := &leader{world: w, ledger: budget.NewLedger()}
	w.leader = g
	g.elect()
	var look func()
	look = func() {
		if g.term != nil {
			if due := g.term.DueExpirations(w.now); due != nil {
				// The leader's own term is the current one, so that its entries are always applied.
				if _, err := g.ledger.Apply(due); err == nil {
					g.term.RecordApplied(g.ledger, due, nil, w.now)
				}
			}
		}
		w.after(expiryInterval, look)
	}
	look()
}

func (g *leader) elect() {
	g.epoch++
	entry := &budget.LogEntry{NewTerm: true, Epoch: g.epoch, Agreement: &g.world.agreement}
	if _, err := g.ledger.Apply(entry); err != nil {
		panic(err) // epochs only rise here
	}
	g.term = budget.NewLeaderTerm(g.ledger, g.epoch, g.world.now)
}

func (g *leader) handleRequest(a budget.LeaseRequest, answer func(*budget.LeaseResponse)) {
	if g.term == nil {
		return
	}
	g.requests++
	e := &budget.LogEntry{Epoch: g.epoch, Requests: []budget.LeaseRequest{a}}
	answers, err := g.ledger.Apply(e)
	if err != nil || answers[0] == nil {
		return
	}
	g.term.RecordApplied(g.ledger, e, answers, g.world.now)
	answers[0].LeaderTime = g.world.now
	answer(answers[0])
}

// nodeQuotas is a node's part of what all hold together.
type nodeQuotas struct {
	node        *node
	holder      *budget.LeaseHolder // nil: it sees all, and needs no lease
	demand      *budget.DemandEstimator
	meters      map[string]*budget.UsageMeter
	requestedAt int64
	logged      map[string]leasedQuota
}

// newQuotas gives a node that starts its part.
func (n *node) newQuotas() *nodeQuotas {
	w := n.world
	s := &nodeQuotas{node: n, meters: w.sharedMeters, logged: map[string]leasedQuota{}}
	if w.scenario.Leases.Mode == "leased" {
		s.meters = w.newMeters()
		s.holder = budget.NewLeaseHolder(n.name, fmt.Sprint(n.name, ".", n.incarnation), &w.agreement, w.now)
		s.demand = budget.NewDemandEstimator(n.name, &w.agreement)
		s.requestLease(n.incarnation)
	}
	return s
}

func (w *world) newMeters() map[string]*budget.UsageMeter {
	out := map[string]*budget.UsageMeter{}
	for b := range w.agreement.Budgets {
		for _, name := range w.agreement.PartitionNames(b) {
			out[name] = budget.NewUsageMeter(&w.agreement, name)
		}
	}
	return out
}

// requestLease calls the granter, and again when that is due. What gets lost is asked for once more.
func (s *nodeQuotas) requestLease(life int) {
	n := s.node
	w := n.world
	if !n.up || n.incarnation != life {
		return
	}
	s.requestedAt = w.now
	defer s.logQuotas()
	a := s.holder.NextRequest(s.demand.Estimate(func(name string) (float64, bool) { return s.meters[name].PeakDemand(w.now) },
		func(name string) int64 { return s.holder.Units(name, w.now) }), w.now)
	w.send(n.zone, 0, func() {
		w.leader.handleRequest(a, func(answer *budget.LeaseResponse) {
			w.send(0, n.zone, func() {
				if n.up && n.incarnation == life && s.holder.ApplyResponse(answer, w.now) {
					s.demand.ObserveResponse(answer)
					s.logQuotas()
					w.after(max(s.holder.NextRequestTime()-w.now, w.agreement.Lease/15), func() { s.retry(life, a.Seq) })
				}
			})
		})
	})
	w.after(w.agreement.Lease/3, func() { s.retry(life, a.Seq) })
}

// logQuotas logs what changed of what this node may use, for the judge.
func (s *nodeQuotas) logQuotas() {
	w := s.node.world
	for _, b := range slices.Sorted(maps.Keys(w.agreement.Budgets)) {
		for _, name := range w.agreement.PartitionNames(b) {
			now := leasedQuota{s.holder.LeasedUnits(name, w.now), s.holder.LeaseExpiry()}
			if was := s.logged[name]; now == was || now.units == 0 && was.units == 0 {
				continue
			}
			s.logged[name] = now
			w.log(invariants.Event{Kind: invariants.QuotaHeld, Node: s.node.name, Budget: name, Units: now.units, Until: now.until})
		}
	}
}

type leasedQuota struct{ units, until int64 }

// retry asks once more if nothing was asked since.
func (s *nodeQuotas) retry(life int, seq uint64) {
	if s.holder.Seq() == seq {
		s.requestLease(life)
	}
}

func (s *nodeQuotas) units(name string, whole int64) int64 {
	if s.holder == nil {
		return whole
	}
	return s.holder.Units(name, s.node.world.now)
}

// partition is the share that a sending to an executor falls to, its meter, key and whole.
func (s *nodeQuotas) partition(b dispatch.Budget, e *dispatch.Server) (name string, m *budget.UsageMeter, key string, whole int64) {
	w := s.node.world
	if name = budgetNames[b]; b != dispatch.BudgetRetries {
		name, key = w.agreement.PartitionName(name, e.Hash), e.Tag
	}
	return name, s.meters[name], key, w.agreement.Budgets[budgetNames[b]].Total
}

// Allow implements dispatch.Shares. Tenants' jobs and calls for the list are not held together here.
func (s *nodeQuotas) Allow(b dispatch.Budget, e *dispatch.Server, _ *dispatch.Request, units float64) bool {
	if budgetNames[b] == "" {
		return true
	}
	name, m, key, whole := s.partition(b, e)
	if m == nil || b == dispatch.BudgetConnections && len(s.node.idleUntil[s.node.serverIndex[e]]) > 0 {
		return true
	}
	if b == dispatch.BudgetSlowStart {
		units *= float64(whole)
	}
	now := s.node.world.now
	if m.Used(key, now)+units <= float64(s.units(name, whole)) {
		return true
	}
	m.RecordRejected(key, units, now)
	s.hurryRequest()
	return false
}

// hurryRequest asks soon where more is needed, some times in a lease at most.
func (s *nodeQuotas) hurryRequest() {
	if w := s.node.world; s.holder != nil && w.now-s.requestedAt >= w.agreement.Lease/15 {
		s.requestedAt = w.now
		life, seq := s.node.incarnation, s.holder.Seq()
		w.after(1, func() { s.retry(life, seq) })
	}
}

// Quota implements dispatch.Shares.
func (s *nodeQuotas) Quota(b dispatch.Budget, e *dispatch.Server) float64 {
	name, m, _, whole := s.partition(b, e)
	if m == nil {
		return 1
	}
	if s.holder == nil {
		return 1 / float64(s.node.world.scenario.Fleet.Nodes) // all may, as any of them
	}
	return float64(s.units(name, whole)) / float64(whole)
}

// reserve charges a posting as it goes out; false: it may not.
func (s *nodeQuotas) reserve(p *dispatch.Attempt, connects bool) bool {
	now := s.node.world.now
	undo := func() {}
	for b := range dispatch.BudgetCount {
		name, m, key, whole := s.partition(b, p.Server)
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
		u := m.Reserve(key, units, s.units(name, whole), now)
		if u == nil || !m.Send(u, s.units(name, whole), now) {
			undo()
			return false
		}
		before := undo
		undo = func() { before(); m.Cancel(u) }
	}
	return true
}
