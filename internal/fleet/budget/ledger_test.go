// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// testLeader is a ledger and its leader term, with a clock that the test sets.
type testLeader struct {
	ledger *Ledger
	term   *LeaderTerm
	now    int64
}

// newTestLeader returns the leader of a cluster founded at time 0, with all units in the initial cooldown.
func newTestLeader(agreement *Agreement) *testLeader {
	ledger := NewLedger()
	ledger.Apply(&LogEntry{NewTerm: true, Epoch: 1, Agreement: agreement})
	return &testLeader{ledger: ledger, term: NewLeaderTerm(ledger, 1, 0)}
}

// endInitialCooldown makes the units of a budget available.
func (l *testLeader) endInitialCooldown(budget string) {
	l.ledger.Apply(&LogEntry{Epoch: 1, ReleasedAfterCooldown: map[string]int64{budget: initialCooldown}})
}

// expire ends the leases and cooldowns that are due.
func (l *testLeader) expire() {
	due := l.term.DueExpirations(l.now)
	if due == nil {
		return
	}
	l.ledger.Apply(due)
	l.term.RecordApplied(l.ledger, due, nil, l.now)
}

// request sends a holder's request for units of the budget "b" and returns its leased units after the
// response.
func (l *testLeader) request(h *LeaseHolder, demand int64) int64 {
	request := h.NextRequest(map[string]int64{"b": demand}, l.now)
	entry := &LogEntry{Epoch: 1, Requests: []LeaseRequest{request}}
	responses, _ := l.ledger.Apply(entry)
	l.term.RecordApplied(l.ledger, entry, responses, l.now)
	responses[0].LeaderTime = l.now
	h.ApplyResponse(responses[0], l.now)
	return h.LeasedUnits("b", l.now)
}

// settledUnits lets holders with the given demands send requests in turn, with time for cooldowns in between,
// and returns the leased units of each once they have settled.
func settledUnits(agreement *Agreement, demands []int64) []int64 {
	leader := newTestLeader(agreement)
	var holders []*LeaseHolder
	for i := range demands {
		holders = append(holders, NewLeaseHolder(fmt.Sprint("n", i), fmt.Sprint("p", i),
			agreement, leader.now))
	}
	for range 40 {
		leader.now += agreement.Lease / 4
		leader.expire()
		for i, h := range holders {
			leader.request(h, demands[i])
		}
	}
	var units []int64
	for _, h := range holders {
		units = append(units, h.LeasedUnits("b", leader.now))
	}
	return units
}

// TestMaxMinFairness checks that a total is divided by max-min fairness, in steps. A node whose demand fits
// beside all others' must not be reduced to the remaining units: that fault made leases oscillate between a
// third and a seventh of the total.
func TestMaxMinFairness(t *testing.T) {
	agreement := &Agreement{MaxNodes: 4, Lease: 1000, ClockMargin: 0.1, Budgets: map[string]Limits{
		"b": {Total: 110, Floor: 1, Reserve: 6, Step: 1, Window: 100},
	}}
	for _, c := range []struct{ demands, units []int64 }{
		{[]int64{2, 4, 75}, []int64{2, 4, 75}},
		{[]int64{2, 4, 500}, []int64{2, 4, 94}},
		{[]int64{50, 50, 10}, []int64{45, 45, 10}},
		{[]int64{90, 90, 90, 90}, []int64{25, 25, 25, 25}},
		{[]int64{0, 0, 0, 0}, []int64{0, 0, 0, 0}},
	} {
		if got := settledUnits(agreement, c.demands); !slices.Equal(got, c.units) {
			t.Errorf("demands %v: leased %v units, want %v", c.demands, got, c.units)
		}
	}
}

// TestSmallDemandChanges checks that a demand change smaller than a step changes no lease.
func TestSmallDemandChanges(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 100, Step: 10, Window: 100},
	}}
	leader := newTestLeader(agreement)
	leader.endInitialCooldown("b")
	h := NewLeaseHolder("n", "p", agreement, 0)
	for i, demand := range []int64{50, 45, 41, 49, 50} {
		leader.now = int64(i)
		if got := leader.request(h, demand); got != 50 {
			t.Errorf("demand of %d units: leased %d units, want 50", demand, got)
		}
	}
}

// TestLoweredTotal checks that after a total is lowered no units are granted beyond it while earlier leases
// last, and that leases then shrink to the new total.
func TestLoweredTotal(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 100, Floor: 5, Step: 1, Window: 100},
	}}
	leader := newTestLeader(agreement)
	leader.endInitialCooldown("b")
	first, second := NewLeaseHolder("n", "p", agreement, 0), NewLeaseHolder("m", "q", agreement, 0)
	round := func(h *LeaseHolder, demand int64) int64 {
		leader.now += 50
		leader.expire()
		return leader.request(h, demand)
	}
	if got := round(first, 80); got != 80 {
		t.Fatalf("first lease: got %d units, want 80", got)
	}
	leader.ledger.Apply(&LogEntry{Epoch: 1, Totals: map[string]int64{"b": 30}})
	if got := round(second, 80); got != 0 {
		t.Errorf("granted %d units while 80 units are leased and the total is 30, want 0", got)
	}
	for range 20 {
		a, c := round(first, 80), round(second, 80)
		if a+c > 20 && a+c > 80 {
			t.Errorf("leased %d and %d units, want a sum of at most 80", a, c)
		}
	}
	if a, c := round(first, 80), round(second, 80); a != 10 || c != 10 {
		t.Errorf("leased %d and %d units of a total of 30 with floors of 10 in sum, want 10 and 10", a, c)
	}
	// A total below the floors and a total of an unknown budget are ignored.
	leader.ledger.Apply(&LogEntry{Epoch: 1, Totals: map[string]int64{"b": 9, "none": 100}})
	if got := leader.ledger.Budgets["b"].Total; got != 30 {
		t.Errorf("total after invalid changes: got %d units, want 30", got)
	}
}

// TestTotalFollowsFirstAttempts checks that a total that is a ratio of first attempts follows the nodes'
// reports and excludes a node whose lease has expired.
func TestTotalFollowsFirstAttempts(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 50, Floor: 2, Step: 1, Window: 100, FirstAttemptRatio: 0.1},
	}}
	leader := newTestLeader(agreement)
	leader.endInitialCooldown("b")
	account := leader.ledger.Budgets["b"]
	for i, c := range []struct{ first, second, total int64 }{
		{0, 0, 4}, {100, 0, 10}, {200, 100, 30}, {9000, -5, 50}, {1 << 60, 1 << 60, 50}, {100, 50, 15},
	} {
		for j, attempts := range []int64{c.first, c.second} {
			name := fmt.Sprint(j)
			request := LeaseRequest{Node: name, Holder: name, Seq: uint64(i + 1), FirstAttempts: attempts}
			leader.ledger.Apply(&LogEntry{Epoch: 1, Requests: []LeaseRequest{request}})
		}
		if account.Total != c.total {
			t.Errorf("%d and %d first attempts: total %d units, want %d",
				c.first, c.second, account.Total, c.total)
		}
	}
	leader.ledger.Apply(&LogEntry{Epoch: 1, Expired: []Expiry{{Holder: "0", Seq: 6}}})
	if account.Total != 5 {
		t.Errorf("total after the first node's lease expired: got %d units, want 5", account.Total)
	}
}

// TestLedgerDeterminism checks that the same entries yield the same ledger on every voter. If cooldowns were
// numbered in the order of map iteration, voters would number them differently and one would end a cooldown
// that has just begun.
func TestLedgerDeterminism(t *testing.T) {
	agreement := &Agreement{MaxNodes: 4, Lease: 1000, ClockMargin: 0.1, Budgets: map[string]Limits{}}
	for _, name := range []string{"a", "b", "c", "d"} {
		agreement.Budgets[name] = Limits{Total: 40, Floor: 1, Step: 1, Window: 100, Partitions: 3}
	}
	random := rand.New(rand.NewPCG(1, 1))
	ledgers := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
	for i := range 300 {
		entry := &LogEntry{Epoch: 1, NewTerm: i == 0, Agreement: agreement}
		for h := range 3 {
			request := LeaseRequest{
				Node:     fmt.Sprint("n", h),
				Holder:   fmt.Sprint("p", h),
				Seq:      uint64(i),
				Demand:   map[string]int64{},
				MaxUnits: map[string]int64{},
			}
			for name := range ledgers[0].Budgets {
				request.Demand[name] = random.Int64N(20)
			}
			entry.Requests = append(entry.Requests, request)
		}
		if i%7 == 0 {
			entry.Expired = []Expiry{{Holder: "p1", Seq: uint64(i - 1)}}
		}
		if i%5 == 0 {
			entry.ReleasedAfterCooldown = map[string]int64{"a.0": int64(i), "b.1": int64(i)}
		}
		for _, ledger := range ledgers {
			ledger.Apply(entry)
		}
	}
	want, _ := json.Marshal(ledgers[0])
	for _, ledger := range ledgers[1:] {
		if got, _ := json.Marshal(ledger); !bytes.Equal(got, want) {
			t.Fatalf("ledgers of two voters differ: got\n%s\nwant\n%s", got, want)
		}
	}
}
