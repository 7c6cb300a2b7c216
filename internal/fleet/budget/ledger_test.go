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

// testLeader is a ledger and its leader, whose time the test sets.
type testLeader struct {
	ledger *Ledger
	term   *LeaderTerm
	now    int64
}

// newTestLeader founds a cluster at time 0, with all units in the founding cooldown.
func newTestLeader(agreement *Agreement) *testLeader {
	ledger := NewLedger()
	ledger.Apply(&LogEntry{NewTerm: true, Epoch: 1, Agreement: agreement})
	return &testLeader{ledger: ledger, term: NewLeaderTerm(ledger, 1, 0)}
}

// endFoundingCooldown makes the units of a budget free.
func (l *testLeader) endFoundingCooldown(budget string) {
	l.ledger.Apply(&LogEntry{Epoch: 1, ReleasedAfterCooldown: map[string]int64{budget: foundingCooldown}})
}

// expire ends what is over by now.
func (l *testLeader) expire() {
	due := l.term.DueExpirations(l.now)
	if due == nil {
		return
	}
	l.ledger.Apply(due)
	l.term.RecordApplied(l.ledger, due, nil, l.now)
}

// request has a holder ask for units of the budget "b", and returns what it has leased after the response.
func (l *testLeader) request(h *LeaseHolder, demand int64) int64 {
	request := h.NextRequest(map[string]int64{"b": demand}, l.now)
	entry := &LogEntry{Epoch: 1, Requests: []LeaseRequest{request}}
	responses, _ := l.ledger.Apply(entry)
	l.term.RecordApplied(l.ledger, entry, responses, l.now)
	responses[0].LeaderTime = l.now
	h.ApplyResponse(responses[0], l.now)
	return h.LeasedUnits("b", l.now)
}

// settledUnits has holders with these demands ask in turn, with time for all cooldowns in between, and returns what
// each ends up with.
func settledUnits(agreement *Agreement, demands []int64) []int64 {
	leader := newTestLeader(agreement)
	var holders []*LeaseHolder
	for i := range demands {
		holders = append(holders, NewLeaseHolder(fmt.Sprint("n", i), fmt.Sprint("p", i), agreement, leader.now))
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

// TestFairShares: a total is divided by max-min fairness, in steps. A node whose demand fits beside all others' is not
// reduced to what is left over; with that fault leases swung between a third and a seventh of the total.
func TestFairShares(t *testing.T) {
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
			t.Errorf("demands %v: %v, want %v", c.demands, got, c.units)
		}
	}
}

// TestSmallDemandChanges: demand that changes by less than a step changes no lease.
func TestSmallDemandChanges(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 100, Step: 10, Window: 100},
	}}
	leader := newTestLeader(agreement)
	leader.endFoundingCooldown("b")
	h := NewLeaseHolder("n", "p", agreement, 0)
	for i, demand := range []int64{50, 45, 41, 49, 50} {
		leader.now = int64(i)
		if got := leader.request(h, demand); got != 50 {
			t.Errorf("%d units after a demand of %d", got, demand)
		}
	}
}

// TestLoweredTotal: a total that is lowered waits for what is leased, and is never exceeded meanwhile.
func TestLoweredTotal(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 100, Floor: 5, Step: 1, Window: 100},
	}}
	leader := newTestLeader(agreement)
	leader.endFoundingCooldown("b")
	one, two := NewLeaseHolder("n", "p", agreement, 0), NewLeaseHolder("m", "q", agreement, 0)
	round := func(h *LeaseHolder, demand int64) int64 {
		leader.now += 50
		leader.expire()
		return leader.request(h, demand)
	}
	if got := round(one, 80); got != 80 {
		t.Fatal(got)
	}
	leader.ledger.Apply(&LogEntry{Epoch: 1, Totals: map[string]int64{"b": 30}})
	if got := round(two, 80); got != 0 {
		t.Errorf("%d units are granted while 80 of a total of 30 are leased", got)
	}
	for range 20 {
		a, c := round(one, 80), round(two, 80)
		if a+c > 20 && a+c > 80 {
			t.Errorf("%d and %d", a, c)
		}
	}
	if a, c := round(one, 80), round(two, 80); a != 10 || c != 10 {
		t.Errorf("%d and %d of a total of 30 with floors of 10", a, c)
	}
	// Neither a total under the floors nor one of an unknown budget is taken.
	leader.ledger.Apply(&LogEntry{Epoch: 1, Totals: map[string]int64{"b": 9, "none": 100}})
	if got := leader.ledger.Budgets["b"].Total; got != 30 {
		t.Error(got)
	}
}

// TestTotalFollowsFirstAttempts: a total that is a ratio of first attempts follows what nodes report, and forgets a
// node whose lease has expired.
func TestTotalFollowsFirstAttempts(t *testing.T) {
	agreement := &Agreement{MaxNodes: 2, Lease: 1000, Budgets: map[string]Limits{
		"b": {Total: 50, Floor: 2, Step: 1, Window: 100, FirstAttemptRatio: 0.1},
	}}
	leader := newTestLeader(agreement)
	leader.endFoundingCooldown("b")
	account := leader.ledger.Budgets["b"]
	for i, c := range []struct{ one, two, total int64 }{
		{0, 0, 4}, {100, 0, 10}, {200, 100, 30}, {9000, -5, 50}, {1 << 60, 1 << 60, 50}, {100, 50, 15},
	} {
		for j, attempts := range []int64{c.one, c.two} {
			name := fmt.Sprint(j)
			request := LeaseRequest{Node: name, Holder: name, Seq: uint64(i + 1), FirstAttempts: attempts}
			leader.ledger.Apply(&LogEntry{Epoch: 1, Requests: []LeaseRequest{request}})
		}
		if account.Total != c.total {
			t.Errorf("%d and %d first attempts: a total of %d, want %d", c.one, c.two, account.Total, c.total)
		}
	}
	leader.ledger.Apply(&LogEntry{Epoch: 1, Expired: []Expiry{{Holder: "0", Seq: 6}}})
	if account.Total != 5 {
		t.Errorf("%d after the first node is gone", account.Total)
	}
}

// TestVotersAgree: the same entries lead to the same ledger at every voter. Cooldowns that were numbered in the order
// of a map would have other numbers at another voter, which would then end one that has just begun.
func TestVotersAgree(t *testing.T) {
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
			t.Fatalf("the ledgers of two voters:\n%s\n%s", got, want)
		}
	}
}
