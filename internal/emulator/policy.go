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
func Module(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, _ func(*dispatch.Server) float64) Decider {
	return dispatch.New(terms, seed, door, now)
}

// selector picks one of the executors that are up; none is empty.
type selector func(b *baseline, up []*dispatch.Server) *dispatch.Server

// The baselines are there to be compared with, and keep the rules in the plainest way: a txn goes out at once, to another
// executor while that is harmless, and is given up at its expiry or when it has spent its postings.
var baselines = map[string]selector{
	"random":      func(b *baseline, up []*dispatch.Server) *dispatch.Server { return up[b.chance.IntN(len(up))] },
	"round-robin": func(b *baseline, up []*dispatch.Server) *dispatch.Server { b.rotation++; return up[b.rotation%len(up)] },
	"least":       func(b *baseline, up []*dispatch.Server) *dispatch.Server { return b.least(up) },
	"two-choices": func(b *baseline, up []*dispatch.Server) *dispatch.Server {
		return b.least([]*dispatch.Server{up[b.chance.IntN(len(up))], up[b.chance.IntN(len(up))]})
	},
	// It sees the true state of every executor at once, which no node can: an upper bound.
	"truth": func(b *baseline, up []*dispatch.Server) *dispatch.Server {
		return slices.MinFunc(up, func(x, y *dispatch.Server) int {
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
	return func(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, truth func(*dispatch.Server) float64) Decider {
		return &baseline{terms: terms, door: door, now: now, pick: pick, truth: truth, chance: rand.New(rand.NewPCG(seed, 4)),
			inFlight: map[*dispatch.Server]int{}, mayHaveRun: map[*dispatch.Attempt]bool{}, cancelDeadline: map[*dispatch.Request]func(){}}
	}, nil
}

type baseline struct {
	terms          *dispatch.Settings
	door           dispatch.Actions
	now            int64
	pick           selector
	truth          func(*dispatch.Server) float64
	chance         *rand.Rand
	rotation       int
	up             []*dispatch.Server
	inFlight       map[*dispatch.Server]int
	mayHaveRun     map[*dispatch.Attempt]bool // that may have run
	cancelDeadline map[*dispatch.Request]func()
}

func (b *baseline) Advance(now int64) { b.now = now }

func (b *baseline) UpdateEndpoints(whole bool, members []dispatch.Endpoint) {
	if whole {
		b.up = nil
	}
	for _, m := range members {
		b.up = slices.DeleteFunc(b.up, func(e *dispatch.Server) bool { return e == m.Server })
		if m.State == dispatch.Up {
			b.up = append(b.up, m.Server)
		}
	}
}

func (b *baseline) least(of []*dispatch.Server) *dispatch.Server {
	best, from := of[0], b.chance.IntN(len(of))
	for i := range of {
		if e := of[(from+i)%len(of)]; i == 0 || b.inFlight[e] < b.inFlight[best] {
			best = e
		}
	}
	return best
}

func (b *baseline) Arrive(t *dispatch.Request) {
	b.cancelDeadline[t] = b.door.Schedule(t.Deadline-b.now-2*b.terms.Tick, func() { b.giveUp(t) })
	b.startAttempt(t)
}

// mayRun says whether some posting of a txn may have run.
func (b *baseline) mayRun(t *dispatch.Request) bool {
	return slices.ContainsFunc(t.Attempts, func(p *dispatch.Attempt) bool { return b.mayHaveRun[p] })
}

func (b *baseline) startAttempt(t *dispatch.Request) {
	s := t.Class
	switch {
	case t.Done:
	case len(b.up) == 0 || len(t.Attempts) >= b.terms.MaxAttempts || b.mayRun(t) && s.Idempotency != dispatch.Idempotent:
		b.giveUp(t)
	default:
		e := b.pick(b, b.up)
		p := &dispatch.Attempt{Request: t, Server: e, Number: len(t.Attempts), InFlight: true}
		t.Attempts = append(t.Attempts, p)
		b.mayHaveRun[p] = true
		b.inFlight[e]++
		b.door.StartAttempt(p)
	}
}

func (b *baseline) AttemptEnded(p *dispatch.Attempt, o dispatch.Outcome, _ int64, over bool) {
	p.InFlight = false
	b.inFlight[p.Server]--
	b.mayHaveRun[p] = o != dispatch.Rejected && o != dispatch.ConnectFailed && o != dispatch.NotSent
	if over {
		b.Finish(p.Request)
		return
	}
	b.startAttempt(p.Request)
}

func (b *baseline) Finish(t *dispatch.Request) {
	if t.Done {
		return
	}
	t.Done = true
	b.cancelDeadline[t]()
	delete(b.cancelDeadline, t)
	for _, p := range t.Attempts {
		if p.InFlight {
			b.door.CancelAttempt(p)
		}
	}
}

func (b *baseline) giveUp(t *dispatch.Request) {
	if t.Done {
		return
	}
	harmless := !b.mayRun(t) || t.Class.Idempotency == dispatch.Idempotent || t.Class.Idempotency == dispatch.IdempotentInGroup && t.Class.DedupScope == dispatch.DedupAll
	b.Finish(t)
	if harmless {
		b.door.Shed(t, 0)
	} else {
		b.door.Compensate(t)
	}
}

func (b *baseline) AttemptStarted(*dispatch.Attempt)    {}
func (b *baseline) AttemptProgressed(*dispatch.Attempt) {}
func (b *baseline) ProcessQueue()                       {}
