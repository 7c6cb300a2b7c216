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

// clone is the world apart from this one, so that both can go on.
func (w *modelCluster) clone() *modelCluster {
	c := *w
	b := *w.ledger
	c.ledger = &b
	b.Budgets, b.Holders = map[string]*Account{}, map[string]*Lease{}
	for name, a := range w.ledger.Budgets {
		own := *a
		own.CoolingDown = maps.Clone(a.CoolingDown)
		b.Budgets[name] = &own
	}
	for name, h := range w.ledger.Holders {
		b.Holders[name] = &Lease{Node: h.Node, Seq: h.Seq, Units: maps.Clone(h.Units), Demand: h.Demand}
	}
	r := *w.term
	c.term, r.expirations, r.cooldowns = &r, maps.Clone(w.term.expirations), map[string]map[int64]int64{}
	for name, rests := range w.term.cooldowns {
		r.cooldowns[name] = maps.Clone(rests)
	}
	c.holders = nil
	for _, h := range w.holders {
		own := *h
		own.units = maps.Clone(h.units)
		c.holders = append(c.holders, &own)
	}
	c.stale, c.requests, c.responses = slices.Clone(w.stale), slices.Clone(w.requests), slices.Clone(w.responses)
	c.history, c.steps = slices.Clone(w.history), slices.Clone(w.steps)
	return &c
}

// key tells worlds apart that can go on differently. Clocks are absolute: nothing is lost that could matter.
func (w *modelCluster) key() string {
	var k strings.Builder
	fmt.Fprint(&k, w.now, w.processes, w.ledger.Epoch, w.ledger.Budgets["b"].LatestCooldown, w.requests, w.responses, w.history, len(w.stale), w.term.expirations, w.term.cooldowns)
	for _, e := range w.stale {
		fmt.Fprint(&k, *e)
	}
	for _, h := range w.holders {
		fmt.Fprint(&k, h.Name, h.seq, h.epoch, h.requestedAt, h.awaitingResponse, h.expiry, h.units, h.requestNow)
	}
	a := w.ledger.Budgets["b"]
	fmt.Fprint(&k, a.Granted, a.CoolingDown)
	for _, name := range slices.Sorted(maps.Keys(w.ledger.Holders)) {
		h := w.ledger.Holders[name]
		fmt.Fprint(&k, name, h.Seq, h.Units)
	}
	return k.String()
}

// explore plays all orders of moves up to a depth, breadth first.
func explore(wrong string, depth int) (states int, breach string, steps []string) {
	seen, level := map[string]bool{}, []*modelCluster{newModelCluster(wrong)}
	for range depth {
		var next []*modelCluster
		for _, w := range level {
			for _, m := range w.moves() {
				c := w.clone()
				if breach := c.move(m); breach != "" {
					return len(seen), breach, c.steps
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return len(seen), "", nil
}

// playHistories plays moves by chance, far beyond what can be explored, until one breaks the promise. Each history has its own
// likings, so that some are rich in losses, others in elections or in silence.
func playHistories(wrong string, seed uint64, count, length int) (breach string, steps []string) {
	chance := rand.New(rand.NewPCG(seed, 7))
	for range count {
		w, liking := newModelCluster(wrong), map[string]float64{}
		for range length {
			moves, weights, sum := w.moves(), []float64{}, 0.0
			for _, m := range moves {
				what, _, _ := strings.Cut(m, " ")
				if liking[what] == 0 {
					liking[what] = []float64{0.02, 0.3, 1, 4}[chance.IntN(4)]
				}
				sum += liking[what]
				weights = append(weights, sum)
			}
			at, _ := slices.BinarySearch(weights, chance.Float64()*sum)
			if breach := w.move(moves[at]); breach != "" {
				return breach, w.steps
			}
		}
	}
	return "", nil
}

// TestAllOrders: what holders may use never sums to more than the whole, at a moment or within a window, in all orders of
// loss, doubling, lateness, expiry, election, stops and restarts up to a depth.
func TestAllOrders(t *testing.T) {
	depth := 5 // minutes at 6, with -race; FERNRAIL_MODEL_DEPTH=6 explores 435,907 states
	if v, err := strconv.Atoi(os.Getenv("FERNRAIL_MODEL_DEPTH")); err == nil {
		depth = v
	}
	states, breach, steps := explore("", depth)
	if breach != "" {
		t.Fatalf("%s after %q", breach, steps)
	}
	t.Logf("%d states to a depth of %d", states, depth)
	if states < 10000 {
		t.Errorf("%d states are too few to have tried all orders", states)
	}
}

// TestRandomHistories is the same by chance, far deeper.
func TestRandomHistories(t *testing.T) {
	if breach, steps := playHistories("", 1, 1000, 150); breach != "" {
		t.Fatalf("%s after %q", breach, steps)
	}
}

// TestWrongVariants: each wrong variant is caught. A check that none of them fails would prove nothing.
func TestWrongVariants(t *testing.T) {
	for _, wrong := range []string{"no margin", "counted from the answer", "a new grantor that forgets", "a return that is counted twice",
		"an epoch that is not checked", "any answer is taken", "granted again without a rest"} {
		breach, steps := playHistories(wrong, 1, 20000, 150)
		if breach == "" {
			t.Errorf("%s: not caught", wrong)
			continue
		}
		t.Logf("%s: caught after %d steps: %s", wrong, len(steps), breach)
	}
}
