// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"fernrail/dispatch"
)

// Module is the decision module as the node runs it.
func Module(terms *dispatch.Settings, seed uint64, door dispatch.Door, now int64, _ func(*dispatch.Executor) float64) Decider {
	return dispatch.New(terms, seed, door, now)
}

// choice picks one of the executors that are up; none is empty.
type choice func(b *baseline, up []*dispatch.Executor) *dispatch.Executor

// The baselines are there to be compared with, and keep the rules in the plainest way: a txn goes out at once, to another
// executor while that is harmless, and is given up at its expiry or when it has spent its postings.
var baselines = map[string]choice{
	"random":      func(b *baseline, up []*dispatch.Executor) *dispatch.Executor { return up[b.chance.IntN(len(up))] },
	"round-robin": func(b *baseline, up []*dispatch.Executor) *dispatch.Executor { b.turn++; return up[b.turn%len(up)] },
	"least":       func(b *baseline, up []*dispatch.Executor) *dispatch.Executor { return b.least(up) },
	"two-choices": func(b *baseline, up []*dispatch.Executor) *dispatch.Executor {
		return b.least([]*dispatch.Executor{up[b.chance.IntN(len(up))], up[b.chance.IntN(len(up))]})
	},
	// It sees the true state of every executor at once, which no node can: an upper bound.
	"truth": func(b *baseline, up []*dispatch.Executor) *dispatch.Executor {
		return slices.MinFunc(up, func(x, y *dispatch.Executor) int {
			if a, c := b.truth(x), b.truth(y); a < c {
				return -1
			} else if a > c {
				return 1
			}
			return 0
		})
	},
}

// Policies names all there are, the module first.
func Policies() []string {
	out := []string{}
	for name := range baselines {
		out = append(out, name)
	}
	slices.Sort(out)
	return append([]string{"module"}, out...)
}

// PolicyOf finds one by name.
func PolicyOf(name string) (Policy, error) {
	if name == "module" {
		return Module, nil
	}
	pick, known := baselines[name]
	if !known {
		return nil, fmt.Errorf("%q is no policy; there are %s", name, strings.Join(Policies(), ", "))
	}
	return func(terms *dispatch.Settings, seed uint64, door dispatch.Door, now int64, truth func(*dispatch.Executor) float64) Decider {
		return &baseline{terms: terms, door: door, now: now, pick: pick, truth: truth, chance: rand.New(rand.NewPCG(seed, 4)),
			busy: map[*dispatch.Executor]int{}, state: map[*dispatch.Posting]bool{}, forget: map[*dispatch.Txn]func(){}}
	}, nil
}

type baseline struct {
	terms  *dispatch.Settings
	door   dispatch.Door
	now    int64
	pick   choice
	truth  func(*dispatch.Executor) float64
	chance *rand.Rand
	turn   int
	up     []*dispatch.Executor
	busy   map[*dispatch.Executor]int
	state  map[*dispatch.Posting]bool // that may have run
	forget map[*dispatch.Txn]func()
}

func (b *baseline) At(now int64) { b.now = now }

func (b *baseline) List(whole bool, members []dispatch.Member) {
	if whole {
		b.up = nil
	}
	for _, m := range members {
		b.up = slices.DeleteFunc(b.up, func(e *dispatch.Executor) bool { return e == m.Executor })
		if m.State == dispatch.Up {
			b.up = append(b.up, m.Executor)
		}
	}
}

func (b *baseline) least(of []*dispatch.Executor) *dispatch.Executor {
	best, from := of[0], b.chance.IntN(len(of))
	for i := range of {
		if e := of[(from+i)%len(of)]; i == 0 || b.busy[e] < b.busy[best] {
			best = e
		}
	}
	return best
}

func (b *baseline) Arrive(t *dispatch.Txn) {
	b.forget[t] = b.door.Alarm(t.Expiry-b.now-2*b.terms.Tick, func() { b.finish(t) })
	b.place(t)
}

// mayRun says whether some posting of a txn may have run.
func (b *baseline) mayRun(t *dispatch.Txn) bool {
	return slices.ContainsFunc(t.Postings, func(p *dispatch.Posting) bool { return b.state[p] })
}

func (b *baseline) place(t *dispatch.Txn) {
	s := t.Scheme
	switch {
	case t.Over:
	case len(b.up) == 0 || len(t.Postings) >= b.terms.MaxAttempts || b.mayRun(t) && s.Idempotency != dispatch.Idempotent:
		b.finish(t)
	default:
		e := b.pick(b, b.up)
		p := &dispatch.Posting{Txn: t, Executor: e, Number: len(t.Postings), Open: true}
		t.Postings = append(t.Postings, p)
		b.state[p] = true
		b.busy[e]++
		b.door.Post(p)
	}
}

func (b *baseline) Ended(p *dispatch.Posting, o dispatch.Outcome, _ int64, over bool) {
	p.Open = false
	b.busy[p.Executor]--
	b.state[p] = o != dispatch.Full && o != dispatch.Undialed && o != dispatch.Unsent
	if over {
		b.Left(p.Txn)
		return
	}
	b.place(p.Txn)
}

func (b *baseline) Left(t *dispatch.Txn) {
	if t.Over {
		return
	}
	t.Over = true
	b.forget[t]()
	delete(b.forget, t)
	for _, p := range t.Postings {
		if p.Open {
			b.door.Withdraw(p)
		}
	}
}

func (b *baseline) finish(t *dispatch.Txn) {
	if t.Over {
		return
	}
	harmless := !b.mayRun(t) || t.Scheme.Idempotency == dispatch.Idempotent || t.Scheme.Idempotency == dispatch.IdempotentInGroup && t.Scheme.DedupScope == dispatch.DedupAll
	b.Left(t)
	if harmless {
		b.door.Decline(t, 0)
	} else {
		b.door.Reverse(t)
	}
}

func (b *baseline) Started(*dispatch.Posting)  {}
func (b *baseline) Progress(*dispatch.Posting) {}
func (b *baseline) Settle()                    {}
