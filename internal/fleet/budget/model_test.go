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

// world is a fleet in which any message may be lost, doubled or late, any seat may be elected, stop and go on, and any
// holder may start anew. What is checked of it is what the holders may use, and nothing that the books say.
type world struct {
	wrong   string
	now     int64
	books   *Ledger
	reign   *LeaderTerm
	stale   []*LogEntry // decided by seats that were stopped before they wrote it down
	holders []*LeaseHolder
	slow    []int64 // of ten, the rate of each holder's clock
	asks    []LeaseRequest
	answers []reply
	history []moment
	names   int
	steps   []string
}

type reply struct {
	to string
	LeaseResponse
}

// moment is what each holder could use then.
type moment struct {
	at  int64
	own []int64
}

const (
	tick   = 100
	window = 2 * tick
	whole  = 3
)

var modelPact = Agreement{MaxNodes: 3, Lease: 8 * tick, ClockMargin: 0.5, Budgets: map[string]Limits{"b": {Total: whole, Step: 1, Window: window}}}

func newWorld(wrong string) *world {
	w := &world{wrong: wrong, books: NewLedger(), now: 10 * tick}
	pact := modelPact
	w.books.Apply(&LogEntry{NewTerm: true, Epoch: 1, Agreement: &pact})
	w.books.Budgets["b"].CoolingDown, w.books.Budgets["b"].CoolingDownTotal = map[int64]int64{}, 0 // founded long ago
	w.reign = w.reigns(1)
	for i, rate := range []int64{10, 7, 10} { // one is slow by the margin
		w.slow = append(w.slow, rate)
		w.holders = append(w.holders, w.process(i))
	}
	w.lapse()
	return w
}

// reigns has a seat begin to grant.
func (w *world) reigns(epoch uint64) *LeaderTerm {
	r := NewLeaderTerm(w.books, epoch, w.now)
	if w.wrong == "no margin" {
		pact := *r.agreement
		pact.ClockMargin, r.agreement = 0, &pact
	}
	if w.wrong == "a new grantor that forgets" {
		for name, x := range r.expirations {
			r.expirations[name] = expiration{x.seq, w.now}
		}
	}
	return r
}

// clock is what a holder's own clock says.
func (w *world) clock(i int) int64 { return w.now * w.slow[i] / 10 }

func (w *world) process(i int) *LeaseHolder {
	w.names++
	return NewLeaseHolder(fmt.Sprint("n", i), fmt.Sprint("p", w.names), &w.books.Agreement, w.clock(i))
}

// commit writes a step down.
func (w *world) commit(e *LogEntry, r *LeaderTerm) {
	if w.wrong == "an epoch that is not checked" && !e.NewTerm {
		e.Epoch = w.books.Epoch
	}
	if w.wrong == "a return that is counted twice" {
		for _, a := range e.Requests {
			if h := w.books.Holders[a.Holder]; h != nil && h.Seq >= a.Seq {
				was := h.Seq
				defer func() { h.Seq = was }()
				h.Seq = a.Seq - 1
			}
		}
	}
	if w.wrong == "granted again without a rest" {
		defer func() { w.books.Budgets["b"].CoolingDown, w.books.Budgets["b"].CoolingDownTotal = map[int64]int64{}, 0 }()
	}
	answers, err := w.books.Apply(e)
	if err != nil {
		return
	}
	if r == w.reign {
		r.RecordApplied(w.books, e, answers, w.now)
	}
	for i, a := range answers {
		if a != nil {
			a.LeaderTime = w.now
			w.answers = append(w.answers, reply{e.Requests[i].Holder, *a})
		}
	}
}

// lapse notes what each may use, and says whether it is too much at this moment or within a window.
func (w *world) lapse() string {
	own, sum := make([]int64, len(w.holders)), int64(0)
	for i, h := range w.holders {
		own[i] = h.Units("b", w.clock(i))
		sum += own[i]
	}
	if sum > whole {
		return fmt.Sprintf("at %d: %v in force, %d in all", w.now/tick, own, sum)
	}
	w.history = slices.DeleteFunc(append(slices.Clone(w.history), moment{w.now, own}), func(m moment) bool { return w.now-m.at >= window })
	// A restart of a process has its own column from before: what the old one used counts with the most of both, unless
	// both used some, which two moments of one column show.
	most := int64(0)
	for i := range w.holders {
		column := int64(0)
		for _, at := range w.history {
			column = max(column, at.own[i])
		}
		most += column
	}
	if most > whole {
		return fmt.Sprintf("at %d: %v within a window", w.now/tick, w.history)
	}
	return ""
}

// moves are all that may happen next. What is never heard or taken is lost.
func (w *world) moves() []string {
	moves := []string{"tick"}
	for i, h := range w.holders {
		if w.clock(i) >= h.NextRequestTime() || !h.awaitingResponse {
			moves = append(moves, fmt.Sprint("ask ", i, " 0"), fmt.Sprint("ask ", i, " ", whole))
		}
		if w.names < 5 {
			moves = append(moves, fmt.Sprint("restart ", i))
		}
	}
	for i := range w.asks {
		moves = append(moves, fmt.Sprint("hear ", i), fmt.Sprint("double ", i))
	}
	for i := range w.answers {
		moves = append(moves, fmt.Sprint("take ", i), fmt.Sprint("repeat ", i))
	}
	if due := w.reign.DueExpirations(w.now); due != nil {
		moves = append(moves, "due")
	}
	if w.books.Epoch < 4 {
		moves = append(moves, "elect")
	}
	for i := range w.stale {
		moves = append(moves, fmt.Sprint("wake ", i))
	}
	return moves
}

func (w *world) move(step string) string {
	w.steps = append(w.steps, step)
	var what string
	var i, want int
	fmt.Sscan(step, &what, &i, &want)
	switch what {
	case "tick":
		w.now += tick
	case "ask":
		h := w.holders[i]
		w.asks = append(w.asks, h.NextRequest(map[string]int64{"b": int64(want)}, w.clock(i)))
		w.asks = w.asks[max(len(w.asks)-3, 0):]
	case "restart":
		w.holders[i] = w.process(i)
	case "hear", "double": // what is doubled stays, and may come once more
		ask := w.asks[i]
		if what == "hear" {
			w.asks = slices.Delete(slices.Clone(w.asks), i, i+1)
		}
		w.commit(&LogEntry{Epoch: w.reign.Epoch, Requests: []LeaseRequest{ask}}, w.reign)
		w.answers = w.answers[max(len(w.answers)-3, 0):]
	case "take", "repeat":
		a := w.answers[i]
		if what == "take" {
			w.answers = slices.Delete(slices.Clone(w.answers), i, i+1)
		}
		for j, h := range w.holders {
			if h.Name == a.to {
				if w.wrong == "counted from the answer" {
					h.requestedAt = w.clock(j)
				}
				if w.wrong == "any answer is taken" {
					h.awaitingResponse, h.seq = true, a.Seq
				}
				h.ApplyResponse(&a.LeaseResponse, w.clock(j))
			}
		}
	case "due":
		e := w.reign.DueExpirations(w.now)
		w.commit(e, w.reign)
	case "elect":
		// The one before is stopped with what it had decided but not written down.
		if e := w.reign.DueExpirations(w.now); e != nil {
			w.stale = append(w.stale, e)
		}
		for _, a := range w.asks {
			w.stale = append(w.stale, &LogEntry{Epoch: w.reign.Epoch, Requests: []LeaseRequest{a}})
		}
		w.stale = w.stale[max(len(w.stale)-2, 0):]
		epoch := w.books.Epoch + 1
		w.books.Apply(&LogEntry{NewTerm: true, Epoch: epoch})
		w.reign = w.reigns(epoch)
	case "wake":
		e := w.stale[i]
		w.stale = slices.Delete(slices.Clone(w.stale), i, i+1)
		w.commit(e, nil)
	}
	// Danger: a lease that no seat will ever end; what it holds is lost.
	for name, h := range w.books.Holders {
		if x, known := w.reign.expirations[name]; !known || x.seq != h.Seq {
			return fmt.Sprintf("nobody ends what %s was granted", name)
		}
	}
	if what == "tick" || what == "take" || what == "repeat" || what == "restart" {
		return w.lapse()
	}
	return ""
}

// copy is the world apart from this one, so that both can go on.
func (w *world) copy() *world {
	c := *w
	b := *w.books
	c.books = &b
	b.Budgets, b.Holders = map[string]*Account{}, map[string]*Lease{}
	for name, a := range w.books.Budgets {
		own := *a
		own.CoolingDown = maps.Clone(a.CoolingDown)
		b.Budgets[name] = &own
	}
	for name, h := range w.books.Holders {
		b.Holders[name] = &Lease{Node: h.Node, Seq: h.Seq, Units: maps.Clone(h.Units), Demand: h.Demand}
	}
	r := *w.reign
	c.reign, r.expirations, r.cooldowns = &r, maps.Clone(w.reign.expirations), map[string]map[int64]int64{}
	for name, rests := range w.reign.cooldowns {
		r.cooldowns[name] = maps.Clone(rests)
	}
	c.holders = nil
	for _, h := range w.holders {
		own := *h
		own.units = maps.Clone(h.units)
		c.holders = append(c.holders, &own)
	}
	c.stale, c.asks, c.answers = slices.Clone(w.stale), slices.Clone(w.asks), slices.Clone(w.answers)
	c.history, c.steps = slices.Clone(w.history), slices.Clone(w.steps)
	return &c
}

// key tells worlds apart that can go on differently. Clocks are absolute: nothing is lost that could matter.
func (w *world) key() string {
	var k strings.Builder
	fmt.Fprint(&k, w.now, w.names, w.books.Epoch, w.books.Budgets["b"].LatestCooldown, w.asks, w.answers, w.history, len(w.stale), w.reign.expirations, w.reign.cooldowns)
	for _, e := range w.stale {
		fmt.Fprint(&k, *e)
	}
	for _, h := range w.holders {
		fmt.Fprint(&k, h.Name, h.seq, h.epoch, h.requestedAt, h.awaitingResponse, h.expiry, h.units, h.requestNow)
	}
	a := w.books.Budgets["b"]
	fmt.Fprint(&k, a.Granted, a.CoolingDown)
	for _, name := range slices.Sorted(maps.Keys(w.books.Holders)) {
		h := w.books.Holders[name]
		fmt.Fprint(&k, name, h.Seq, h.Units)
	}
	return k.String()
}

// explore plays all orders of moves up to a depth, breadth first.
func explore(wrong string, depth int) (states int, breach string, steps []string) {
	seen, level := map[string]bool{}, []*world{newWorld(wrong)}
	for range depth {
		var next []*world
		for _, w := range level {
			for _, m := range w.moves() {
				c := w.copy()
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

// histories plays moves by chance, far beyond what can be explored, until one breaks the promise. Each history has its own
// likings, so that some are rich in losses, others in elections or in silence.
func histories(wrong string, seed uint64, count, length int) (breach string, steps []string) {
	chance := rand.New(rand.NewPCG(seed, 7))
	for range count {
		w, liking := newWorld(wrong), map[string]float64{}
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

// TestHistories is the same by chance, far deeper.
func TestHistories(t *testing.T) {
	if breach, steps := histories("", 1, 1000, 150); breach != "" {
		t.Fatalf("%s after %q", breach, steps)
	}
}

// TestWrong: each wrong variant is caught. A check that none of them fails would prove nothing.
func TestWrong(t *testing.T) {
	for _, wrong := range []string{"no margin", "counted from the answer", "a new grantor that forgets", "a return that is counted twice",
		"an epoch that is not checked", "any answer is taken", "granted again without a rest"} {
		breach, steps := histories(wrong, 1, 20000, 150)
		if breach == "" {
			t.Errorf("%s: not caught", wrong)
			continue
		}
		t.Logf("%s: caught after %d steps: %s", wrong, len(steps), breach)
	}
}
