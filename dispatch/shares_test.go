// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// fickle allows and denies by chance, between the module's steps; none says what is denied now.
type fickle struct {
	*world
	none [BudgetCount]bool
	part float64
}

func (f *fickle) Allow(b Budget, _ *Server, _ *Request, units float64) bool {
	if !(units > 0) {
		f.Fatalf("budget %d: %v units", b, units)
	}
	return !f.none[b]
}

func (f *fickle) Quota(Budget, *Server) float64 { return f.part }

// purse is a Door that holds postings against what was allowed as they were decided.
type purse struct {
	*fickle
}

func (p *purse) StartAttempt(attempt *Attempt) {
	cold := p.d.settings.warmUpFactor(attempt.Server, p.now) < 1
	if attempt.Number > 0 && p.none[BudgetRetries] || p.none[BudgetConnections] || p.none[BudgetTenantAttempts] || cold && p.none[BudgetSlowStart] {
		p.Fatalf("posting %d is sent, cold: %v, while %v is denied", attempt.Number, cold, p.none)
	}
	if cold != (attempt.SlowStartShare > 0) {
		p.Fatalf("cold: %v, takes %v of the budget", cold, attempt.SlowStartShare)
	}
	p.world.StartAttempt(attempt)
}

// TestCallsWaitForTheirShare: a call for the list that has no share waits for one, and goes out without when news would lie longer
// than the rules allow. Danger: work for what drained, since no share ever came; or all nodes calling at once.
func TestCallsWaitForTheirShare(t *testing.T) {
	terms := basicTerms()
	terms.UnpolledEventAge, terms.MaxPollInterval, terms.DrainGrace = 1e9, 75e7, 0
	w := newWorld(t, 1, terms)
	s := &fickle{world: w}
	door := &watches{fickle: s}
	terms.Quotas = s
	w.d = New(terms, 1, door, w.now)
	w.join(4, false)
	for _, step := range []struct {
		call func()
		most int64
	}{{w.d.PollSucceeded, 1e9}, {func() { w.d.PollFailed(0, 0) }, 75e7}, {w.d.StartPolling, 1e9}} {
		for _, denied := range []int64{0, 3e8, 9e9} {
			s.none[BudgetPolls] = denied > 0
			began, before := w.now, door.calls
			step.call()
			for door.calls == before && w.now-began < 2e9 {
				w.pass(terms.Tick)
				s.none[BudgetPolls] = w.now-began < denied
			}
			took := w.now - began
			if denied < step.most && took < denied || took > step.most+2*terms.Tick || denied > step.most && took < step.most {
				t.Errorf("denied for %d ms, called after %d, at most %d", denied/1e6, took/1e6, step.most/1e6)
			}
			if w.pass(2e9); door.calls != before+1 {
				t.Errorf("%d calls for one", door.calls-before)
			}
		}
	}
}

// watches counts calls for the list.
type watches struct {
	*fickle
	calls int
}

func (w *watches) PollEndpoints(bool) { w.calls++ }

// TestOthersWord: an executor that many say is bad is left out while others remain, but for a second after an own job ended well
// there; when nothing is said any more it is drawn again. Danger: old news of others against what this node sees now.
func TestOthersWord(t *testing.T) {
	terms := basicTerms()
	w := newWorld(t, 1, terms)
	w.join(4, false)
	for _, m := range w.fleet {
		m.Zone, m.MachineType = 0, 0
	}
	w.list(true)
	said := w.fleet[0].Server
	used := func(span int64) (count int) {
		for end := w.now + span; w.now < end; w.pass(1e7) {
			w.arrive(0, 1, 1e6, 5e9)
			for _, attempt := range w.open {
				if attempt.Server == said {
					count++
				}
			}
			w.settle()
		}
		return count
	}
	if used(2e9) == 0 {
		t.Fatal("it is not used at all")
	}
	said.OutlierScore = 1
	used(11e8) // what it did well a moment ago counts for a second after the last of it
	for n := 0; n < 100 && w.now-said.idleUntil+terms.IdleTimeout <= ownResultLifetime; n++ {
		w.pass(1e8)
	}
	if n := used(1e9); n > 0 {
		t.Errorf("%d jobs though many say that it is bad", n)
	}
	said.idleUntil = w.now + terms.IdleTimeout
	if used(5e8) == 0 {
		t.Error("an own job that ended well does not count")
	}
	said.OutlierScore = 0
	if used(1e9) == 0 {
		t.Error("it is not used again")
	}
}

// FuzzShares: whatever shares allow, the four rules hold, every txn is answered by its expiry, and nothing goes out that they
// deny. Danger: a txn that waits for a share for ever, or a second way round the check.
func FuzzShares(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		terms := basicTerms()
		terms.AllowHedging, terms.Nodes = seed%2 == 0, 1+int(seed%3)*100
		terms.OverloadFactor = 100 // who keeps the budget is not the module here
		w := newWorld(t, seed, terms)
		s := &fickle{world: w, part: w.Float64()}
		terms.Quotas = s
		w.d = New(terms, seed, &purse{s}, w.now)
		w.join(4+int(seed%9), true)
		for range 600 {
			for b := range s.none {
				if w.IntN(8) == 0 {
					s.none[b] = w.IntN(2) == 0
				}
			}
			w.step()
		}
		w.finish()
	})
}

// TestDeniedAgainIsDeclined: a txn that was turned away and may not go again, since this node's share of second postings is
// used up, is declined before its expiry with advice to return, and not held until its client goes.
func TestDeniedAgainIsDeclined(t *testing.T) {
	terms := basicTerms()
	w := newWorld(t, 1, terms)
	s := &fickle{world: w}
	terms.Quotas = s
	w.d = New(terms, 1, &purse{s}, w.now)
	w.join(4, false)
	s.none[BudgetRetries] = true
	request := w.arrive(0, 1, 1e8, 20e9)
	w.end(w.open[0], Rejected)
	began := w.now
	for w.ended[request] == 0 && w.now-began < 20e9 {
		w.pass(1e7)
	}
	if took := w.now - began; len(request.Attempts) != 1 || w.ended[request] != 1 || took > 2e9 {
		t.Errorf("%d postings, %d answers, after %d ms", len(request.Attempts), w.ended[request], took/1e6)
	}
}

// TestFarComesLast: executors beyond this node's part get work only when those of its part can't take it, nearer ones first; a
// txn that has homes goes by these. Danger: a draw among all, or a node that starves beside idle machines.
func TestFarComesLast(t *testing.T) {
	terms := basicTerms()
	w := newWorld(t, 1, terms)
	w.join(9, false)
	for i, m := range w.fleet {
		m.Server.Distance = i / 3
	}
	used := func(key uint64) (used [3]int) {
		for range 60 {
			request := &Request{Class: terms.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: w.now + 5e9, AffinityKey: key}
			w.txns = append(w.txns, request)
			w.d.Arrive(request)
			w.d.ProcessQueue()
			for _, attempt := range w.open {
				used[attempt.Server.Distance]++
			}
			w.settle()
			w.pass(1e8)
		}
		return used
	}
	if u := used(0); u[0] != 60 {
		t.Errorf("%v", u)
	}
	for _, m := range w.fleet[:3] {
		m.State = Draining
	}
	w.list(true)
	if u := used(0); u[1] != 60 {
		t.Errorf("with the near ones drained: %v", u)
	}
	for i, m := range w.fleet {
		m.State, m.Server.Distance = Up, 0
		if i > 0 {
			m.Server.Distance = 2
		}
	}
	w.list(true)
	if homes := used(7); homes[2] == 0 {
		t.Errorf("with homes: %v", homes)
	}
	// Danger: the few nodes that may send to a cold one are not those that it is near to.
	w.fleet[3].StartedAt = w.now - 1
	w.list(true)
	w.pass(2 * terms.OverloadWindow)
	if cold := used(0); cold[2] == 0 {
		t.Errorf("far and cold, and in turn: %v", cold)
	}
}
