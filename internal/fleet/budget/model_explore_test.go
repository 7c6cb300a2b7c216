// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// clone returns a deep copy, so that both clusters can continue independently.
func (c *modelCluster) clone() *modelCluster {
	copied := *c
	copied.ledger = cloneLedger(c.ledger)
	copied.term = cloneTerm(c.term)
	copied.holders = nil
	for _, h := range c.holders {
		holder := *h
		holder.units = maps.Clone(h.units)
		copied.holders = append(copied.holders, &holder)
	}
	copied.stale = slices.Clone(c.stale)
	copied.requests = slices.Clone(c.requests)
	copied.responses = slices.Clone(c.responses)
	copied.history = slices.Clone(c.history)
	copied.steps = slices.Clone(c.steps)
	return &copied
}

func cloneLedger(l *Ledger) *Ledger {
	copied := *l
	copied.Budgets, copied.Holders = map[string]*Account{}, map[string]*Lease{}
	for name, account := range l.Budgets {
		a := *account
		a.CoolingDown = maps.Clone(account.CoolingDown)
		copied.Budgets[name] = &a
	}
	for name, lease := range l.Holders {
		units := maps.Clone(lease.Units)
		copied.Holders[name] = &Lease{Node: lease.Node, Seq: lease.Seq, Units: units, Demand: lease.Demand}
	}
	return &copied
}

func cloneTerm(t *LeaderTerm) *LeaderTerm {
	copied := *t
	copied.expirations = maps.Clone(t.expirations)
	copied.cooldowns = map[string]map[int64]int64{}
	for name, cooldowns := range t.cooldowns {
		copied.cooldowns[name] = maps.Clone(cooldowns)
	}
	return &copied
}

// key returns a key that is equal for two clusters only if their possible futures are equal. It contains
// absolute times, so some equivalent states get different keys.
func (c *modelCluster) key() string {
	var k strings.Builder
	account := c.ledger.Budgets["b"]
	fmt.Fprint(&k, c.now, c.processes, c.ledger.Epoch, account.LatestCooldown,
		c.requests, c.responses, c.history)
	fmt.Fprint(&k, len(c.stale), c.term.expirations, c.term.cooldowns)
	for _, entry := range c.stale {
		fmt.Fprint(&k, *entry)
	}
	for _, h := range c.holders {
		fmt.Fprint(&k, h.Name, h.seq, h.epoch, h.requestedAt, h.awaitingResponse,
			h.expiry, h.units, h.requestNow)
	}
	fmt.Fprint(&k, account.Granted, account.CoolingDown)
	for _, name := range slices.Sorted(maps.Keys(c.ledger.Holders)) {
		lease := c.ledger.Holders[name]
		fmt.Fprint(&k, name, lease.Seq, lease.Units)
	}
	return k.String()
}

// explore runs all orders of moves up to a depth, breadth first.
func explore(v variant, depth int) (states int, violation string, steps []string) {
	seen, level := map[string]bool{}, []*modelCluster{newModelCluster(v)}
	for range depth {
		var next []*modelCluster
		for _, c := range level {
			for _, move := range c.moves() {
				after := c.clone()
				if violation := after.move(move); violation != "" {
					return len(seen), violation, after.steps
				}
				if key := after.key(); !seen[key] {
					seen[key] = true
					next = append(next, after)
				}
			}
		}
		level = next
	}
	return len(seen), "", nil
}

// runRandomHistories runs random moves, far deeper than explore can, until one violates an invariant. Each
// history has its own weights of moves, so that some have many lost messages, others many elections or long
// silence.
func runRandomHistories(v variant, seed uint64, count, length int) (violation string, steps []string) {
	random := rand.New(rand.NewPCG(seed, 7))
	for range count {
		c, weights := newModelCluster(v), map[string]float64{}
		for range length {
			if violation := c.move(randomMove(random, c.moves(), weights)); violation != "" {
				return violation, c.steps
			}
		}
	}
	return "", nil
}

// randomMove selects one of the moves at random by the weights of their kinds. It first selects the weights
// that are not set yet.
func randomMove(random *rand.Rand, moves []string, weights map[string]float64) string {
	var sums []float64
	sum := 0.0
	for _, move := range moves {
		kind, _, _ := strings.Cut(move, " ")
		if weights[kind] == 0 {
			weights[kind] = []float64{0.02, 0.3, 1, 4}[random.IntN(4)]
		}
		sum += weights[kind]
		sums = append(sums, sum)
	}
	i, _ := slices.BinarySearch(sums, random.Float64()*sum)
	return moves[i]
}

// TestTotalHoldsInAllOrders checks that the units that holders may use never exceed the total, at one moment
// or within a window, in all orders of lost, duplicate and late messages, expirations, elections, pauses and
// restarts up to a depth.
func TestTotalHoldsInAllOrders(t *testing.T) {
	depth := 5 // FERNRAIL_MODEL_DEPTH=6 explores 435,907 states, in some minutes with -race
	if v, err := strconv.Atoi(os.Getenv("FERNRAIL_MODEL_DEPTH")); err == nil {
		depth = v
	}
	states, violation, steps := explore(correct, depth)
	if violation != "" {
		t.Fatalf("%s after %q", violation, steps)
	}
	t.Logf("%d states to a depth of %d", states, depth)
	if states < 10000 {
		t.Errorf("explored %d states, want at least 10000", states)
	}
}

// TestTotalHoldsInRandomHistories checks the same invariant as TestTotalHoldsInAllOrders in random orders,
// far deeper.
func TestTotalHoldsInRandomHistories(t *testing.T) {
	if violation, steps := runRandomHistories(correct, 1, 1000, 150); violation != "" {
		t.Fatalf("%s after %q", violation, steps)
	}
}

// TestModelDetectsFaults checks that the model detects each deliberate fault. Without this, a passing model
// would prove nothing.
func TestModelDetectsFaults(t *testing.T) {
	for _, v := range []variant{
		withoutMargin, startsAtResponse, leasesNotRestored, returnCountedTwice,
		uncheckedEpoch, staleResponseApplied, withoutCooldown,
	} {
		violation, steps := runRandomHistories(v, 1, 20000, 150)
		if violation == "" {
			t.Errorf("fault %q: not detected", v)
			continue
		}
		t.Logf("fault %q: detected after %d steps: %s", v, len(steps), violation)
	}
}
