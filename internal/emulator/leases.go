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

// Leases configures how nodes share budgets, with the code that real nodes run. Mode is one of:
//   - turns: nodes receive no quotas;
//   - leased: nodes lease quotas from the leader;
//   - alone: each node acts as the only one;
//   - all: each node has the usage of all nodes, without leases.
type Leases struct {
	Mode          string                  `toml:"mode"`
	LeaseDuration Duration                `toml:"lease"`
	ClockMargin   float64                 `toml:"margin"`
	Budgets       map[string]BudgetLimits `toml:"budget"` // by name: again, connect, cold
}

// BudgetLimits are the limits of one budget, in units. The budget package documents them.
type BudgetLimits struct {
	Total      int64    `toml:"whole"`
	Floor      int64    `toml:"floor"`
	Reserve    int64    `toml:"reserve"`
	Step       int64    `toml:"step"`
	Window     Duration `toml:"window"`
	Partitions int64    `toml:"parts"`
}

var leaseModes = []string{"turns", "leased", "alone", "all"}

// budgetNames are the names that scenarios have for the budgets of the dispatch package; empty: not shared
// here.
var budgetNames = [dispatch.BudgetCount]string{dispatch.BudgetRetries: "again",
	dispatch.BudgetConnections: "connect", dispatch.BudgetSlowStart: "cold"}

func (l *Leases) agreement(nodes int) budget.Agreement {
	agreement := budget.Agreement{MaxNodes: int64(nodes), Lease: int64(l.LeaseDuration),
		ClockMargin: l.ClockMargin, Budgets: map[string]budget.Limits{}}
	for name, b := range l.Budgets {
		agreement.Budgets[name] = budget.Limits{Total: b.Total, Floor: b.Floor, Reserve: b.Reserve,
			Step: max(b.Step, 1), Window: int64(b.Window), Partitions: b.Partitions}
	}
	return agreement
}

// usesQuotas reports whether nodes have quotas of the budgets.
func (l *Leases) usesQuotas() bool { return l.Mode == "leased" || l.Mode == "all" }

func (l *Leases) check(nodes int, overloadWindow Duration) error {
	if !slices.Contains(leaseModes, l.Mode) {
		return fmt.Errorf("leases.mode: %q is not one of %v", l.Mode, leaseModes)
	}
	if !l.usesQuotas() {
		return nil
	}
	for name := range l.Budgets {
		if !slices.Contains(budgetNames[:], name) {
			return fmt.Errorf("leases.budget.%s: unknown budget, want one of %v", name, budgetNames)
		}
	}
	if b, ok := l.Budgets["cold"]; !ok || b.Window < overloadWindow {
		return fmt.Errorf("leases.budget.cold: missing, or its window is shorter than rules.fall")
	}
	agreement := l.agreement(nodes)
	if err := agreement.Validate(); err != nil {
		return fmt.Errorf("leases.%w", err)
	}
	return nil
}

// leader simulates all voters as one actor. While it is stopped, lease requests get no response. Its restart
// begins a new term.
type leader struct {
	world    *world
	ledger   *budget.Ledger
	term     *budget.LeaderTerm // nil: stopped
	epoch    uint64
	requests int
}

// expiryInterval is the time between two checks for expired leases, in nanoseconds.
const expiryInterval = int64(25e6)

// startLeader starts the leader and the periodic expiry of leases.
func (w *world) startLeader() {
	g := &leader{world: w, ledger: budget.NewLedger()}
	w.leader = g
	g.elect()
	var expireLeases func()
	expireLeases = func() {
		if g.term != nil {
			if due := g.term.DueExpirations(w.now); due != nil {
				// The leader's own term is the current one, so that its entries are always applied.
				if _, err := g.ledger.Apply(due); err == nil {
					g.term.RecordApplied(g.ledger, due, nil, w.now)
				}
			}
		}
		w.after(expiryInterval, expireLeases)
	}
	expireLeases()
}

// elect starts a new leader term.
func (g *leader) elect() {
	g.epoch++
	entry := &budget.LogEntry{NewTerm: true, Epoch: g.epoch, Agreement: &g.world.agreement}
	if _, err := g.ledger.Apply(entry); err != nil {
		panic(err) // Apply rejects outdated epochs only, and each election increases the epoch
	}
	g.term = budget.NewLeaderTerm(g.ledger, g.epoch, g.world.now)
}

// handleRequest applies a lease request and passes on the response, if there is one.
func (g *leader) handleRequest(request budget.LeaseRequest, respond func(*budget.LeaseResponse)) {
	if g.term == nil {
		return
	}
	g.requests++
	entry := &budget.LogEntry{Epoch: g.epoch, Requests: []budget.LeaseRequest{request}}
	responses, err := g.ledger.Apply(entry)
	if err != nil || responses[0] == nil {
		return
	}
	g.term.RecordApplied(g.ledger, entry, responses, g.world.now)
	responses[0].LeaderTime = g.world.now
	respond(responses[0])
}

// nodeQuotas are a node's quotas of the shared budgets.
type nodeQuotas struct {
	node        *node
	holder      *budget.LeaseHolder // nil: lease mode "all", which needs no lease
	demand      *budget.DemandEstimator
	meters      map[string]*budget.UsageMeter
	requestedAt int64
	logged      map[string]leasedQuota
}

// newQuotas returns the quotas of a node that starts, and sends its first lease request.
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

// newMeters returns a usage meter for each partition of each budget.
func (w *world) newMeters() map[string]*budget.UsageMeter {
	meters := map[string]*budget.UsageMeter{}
	for b := range w.agreement.Budgets {
		for _, name := range w.agreement.PartitionNames(b) {
			meters[name] = budget.NewUsageMeter(&w.agreement, name)
		}
	}
	return meters
}

// requestLease sends a lease request to the leader and schedules the next one. A request without a response
// is repeated after a third of the lease.
func (s *nodeQuotas) requestLease(incarnation int) {
	n := s.node
	w := n.world
	if !n.up || n.incarnation != incarnation {
		return
	}
	s.requestedAt = w.now
	defer s.logQuotas()
	request := s.holder.NextRequest(s.demand.Estimate(
		func(name string) (float64, bool) { return s.meters[name].PeakDemand(w.now) },
		func(name string) int64 { return s.holder.Units(name, w.now) }), w.now)
	w.send(n.zone, 0, func() {
		w.leader.handleRequest(request, func(response *budget.LeaseResponse) {
			w.send(0, n.zone, func() {
				if n.up && n.incarnation == incarnation && s.holder.ApplyResponse(response, w.now) {
					s.demand.ObserveResponse(response)
					s.logQuotas()
					w.after(max(s.holder.NextRequestTime()-w.now, w.agreement.Lease/15),
						func() { s.retry(incarnation, request.Seq) })
				}
			})
		})
	})
	w.after(w.agreement.Lease/3, func() { s.retry(incarnation, request.Seq) })
}

// logQuotas logs the node's leased quotas that have changed, for the checker.
func (s *nodeQuotas) logQuotas() {
	w := s.node.world
	for _, b := range slices.Sorted(maps.Keys(w.agreement.Budgets)) {
		for _, name := range w.agreement.PartitionNames(b) {
			current := leasedQuota{s.holder.LeasedUnits(name, w.now), s.holder.LeaseExpiry()}
			if previous := s.logged[name]; current == previous || current.units == 0 && previous.units == 0 {
				continue
			}
			s.logged[name] = current
			w.log(invariants.Event{Kind: invariants.QuotaHeld, Node: s.node.name, Budget: name,
				Units: current.units, Until: current.until})
		}
	}
}

// leasedQuota is a number of units that a node may use until a time.
type leasedQuota struct{ units, until int64 }

// retry sends a lease request unless another one was sent after the one with this sequence number.
func (s *nodeQuotas) retry(incarnation int, seq uint64) {
	if s.holder.Seq() == seq {
		s.requestLease(incarnation)
	}
}

// units returns the node's quota of a partition; the total in lease mode "all".
func (s *nodeQuotas) units(name string, total int64) int64 {
	if s.holder == nil {
		return total
	}
	return s.holder.Units(name, s.node.world.now)
}

// partition returns the partition that an attempt at a server is charged to, its meter, the meter's key, and
// the budget's total.
func (s *nodeQuotas) partition(b dispatch.Budget, server *dispatch.Server) (
	name string, meter *budget.UsageMeter, key string, total int64) {
	w := s.node.world
	if name = budgetNames[b]; b != dispatch.BudgetRetries {
		name, key = w.agreement.PartitionName(name, server.Hash), server.Tag
	}
	return name, s.meters[name], key, w.agreement.Budgets[budgetNames[b]].Total
}

// Allow implements dispatch.QuotaSource. The emulator does not share the budgets of tenants' requests and
// discovery polls.
func (s *nodeQuotas) Allow(b dispatch.Budget, server *dispatch.Server, _ *dispatch.Request,
	units float64) bool {
	if budgetNames[b] == "" {
		return true
	}
	name, meter, key, total := s.partition(b, server)
	if meter == nil || b == dispatch.BudgetConnections && len(s.node.idleUntil[s.node.serverIndex[server]]) > 0 {
		return true
	}
	if b == dispatch.BudgetSlowStart {
		units *= float64(total)
	}
	now := s.node.world.now
	if meter.Used(key, now)+units <= float64(s.units(name, total)) {
		return true
	}
	meter.RecordRejected(key, units, now)
	s.hurryRequest()
	return false
}

// hurryRequest sends a lease request early after a rejection, at most once in a fifteenth of the lease.
func (s *nodeQuotas) hurryRequest() {
	if w := s.node.world; s.holder != nil && w.now-s.requestedAt >= w.agreement.Lease/15 {
		s.requestedAt = w.now
		incarnation, seq := s.node.incarnation, s.holder.Seq()
		w.after(1, func() { s.retry(incarnation, seq) })
	}
}

// Quota implements dispatch.QuotaSource.
func (s *nodeQuotas) Quota(b dispatch.Budget, server *dispatch.Server) float64 {
	name, meter, _, total := s.partition(b, server)
	if meter == nil {
		return 1
	}
	if s.holder == nil {
		return 1 / float64(s.node.world.scenario.Fleet.Nodes) // each node may use the total
	}
	return float64(s.units(name, total)) / float64(total)
}

// reserve charges an attempt to all budgets that it uses; false: a quota is exceeded, and nothing is charged.
func (s *nodeQuotas) reserve(p *dispatch.Attempt, newConnection bool) bool {
	now := s.node.world.now
	undo := func() {}
	for b := range dispatch.BudgetCount {
		name, meter, key, total := s.partition(b, p.Server)
		units := 0.0
		switch {
		case b == dispatch.BudgetSlowStart:
			units = p.SlowStartShare * float64(total)
		case b == dispatch.BudgetRetries && p.Number > 0, b == dispatch.BudgetConnections && newConnection:
			units = 1
		}
		if meter == nil || units == 0 {
			continue
		}
		reservation := meter.Reserve(key, units, s.units(name, total), now)
		if reservation == nil || !meter.Send(reservation, s.units(name, total), now) {
			undo()
			return false
		}
		undoEarlier := undo
		undo = func() { undoEarlier(); meter.Cancel(reservation) }
	}
	return true
}
