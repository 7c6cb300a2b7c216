// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// changingQuotas allows and denies by chance, between the module's steps; none says what is denied now.
type changingQuotas struct {
	*harness
	denied [BudgetCount]bool
	quota  float64
}

func (f *changingQuotas) Allow(b Budget, _ *Server, _ *Request, units float64) bool {
	if !(units > 0) {
		f.Fatalf("budget %d: %v units", b, units)
	}
	return !f.denied[b]
}

func (f *changingQuotas) Quota(Budget, *Server) float64 { return f.quota }

// quotaChecker is an Actions that holds attempts against what was allowed as they were decided.
type quotaChecker struct {
	*changingQuotas
}

func (p *quotaChecker) StartAttempt(attempt *Attempt) {
	cold := p.d.settings.warmUpFactor(attempt.Server, p.now) < 1
	if attempt.Number > 0 && p.denied[BudgetRetries] || p.denied[BudgetConnections] || p.denied[BudgetTenantAttempts] || cold && p.denied[BudgetSlowStart] {
		p.Fatalf("attempt %d is sent, in slow start: %v, while %v is denied", attempt.Number, cold, p.denied)
	}
	if cold != (attempt.SlowStartShare > 0) {
		p.Fatalf("slow start: %v, takes %v of the budget", cold, attempt.SlowStartShare)
	}
	p.harness.StartAttempt(attempt)
}

// TestPollsWaitForQuota: a poll that has no share waits for one, and goes out without when news would lie
// longer than the rules allow. Without one the node would go on sending to servers that drain.
func TestPollsWaitForQuota(t *testing.T) {
	settings := testSettings()
	settings.UnpolledEventAge, settings.MaxPollInterval, settings.DrainGrace = 1e9, 75e7, 0
	w := newHarness(t, 1, settings)
	s := &changingQuotas{harness: w}
	actions := &pollCounter{changingQuotas: s}
	settings.Quotas = s
	w.d = New(settings, 1, actions, w.now)
	w.addServers(4, false)
	for _, step := range []struct {
		call func()
		most int64
	}{{w.d.PollSucceeded, 1e9}, {func() { w.d.PollFailed(0, 0) }, 75e7}, {w.d.StartPolling, 1e9}} {
		for _, denied := range []int64{0, 3e8, 9e9} {
			s.denied[BudgetPolls] = denied > 0
			began, before := w.now, actions.polls
			step.call()
			for actions.polls == before && w.now-began < 2e9 {
				w.advance(settings.Tick)
				s.denied[BudgetPolls] = w.now-began < denied
			}
			took := w.now - began
			if denied < step.most && took < denied || took > step.most+2*settings.Tick || denied > step.most && took < step.most {
				t.Errorf("denied for %d ms, called after %d, at most %d", denied/1e6, took/1e6, step.most/1e6)
			}
			if w.advance(2e9); actions.polls != before+1 {
				t.Errorf("%d calls for one", actions.polls-before)
			}
		}
	}
}

// pollCounter counts polls.
type pollCounter struct {
	*changingQuotas
	polls int
}

func (w *pollCounter) PollEndpoints(bool) { w.polls++ }

// TestOutlierScore: a server that many say is bad is left out while others remain, but for a second after an
// own job ended well there; when nothing is said any more it is drawn again. What others say is older than what
// this node sees.
func TestOutlierScore(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	for _, m := range w.endpoints {
		m.Zone, m.MachineType = 0, 0
	}
	w.updateEndpoints(true)
	said := w.endpoints[0].Server
	used := func(span int64) (count int) {
		for end := w.now + span; w.now < end; w.advance(1e7) {
			w.arrive(0, 1, 1e6, 5e9)
			for _, attempt := range w.open {
				if attempt.Server == said {
					count++
				}
			}
			w.completeAll()
		}
		return count
	}
	if used(2e9) == 0 {
		t.Fatal("it is not used at all")
	}
	said.OutlierScore = 1
	used(11e8) // what it did well a moment ago counts for a second after the last of it
	for n := 0; n < 100 && w.now-said.idleUntil+settings.IdleTimeout <= ownResultLifetime; n++ {
		w.advance(1e8)
	}
	if n := used(1e9); n > 0 {
		t.Errorf("%d jobs though many say that it is bad", n)
	}
	said.idleUntil = w.now + settings.IdleTimeout
	if used(5e8) == 0 {
		t.Error("an own job that ended well does not count")
	}
	said.OutlierScore = 0
	if used(1e9) == 0 {
		t.Error("it is not used again")
	}
}

// FuzzQuotas: whatever shares allow, the four rules hold, every request is answered by its deadline, and
// nothing goes out that they deny. No request may wait for a quota for ever.
func FuzzQuotas(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		settings := testSettings()
		settings.AllowHedging, settings.Nodes = seed%2 == 0, 1+int(seed%3)*100
		settings.OverloadFactor = 100 // who keeps the budget is not the module here
		w := newHarness(t, seed, settings)
		s := &changingQuotas{harness: w, quota: w.Float64()}
		settings.Quotas = s
		w.d = New(settings, seed, &quotaChecker{s}, w.now)
		w.addServers(4+int(seed%9), true)
		for range 600 {
			for b := range s.denied {
				if w.IntN(8) == 0 {
					s.denied[b] = w.IntN(2) == 0
				}
			}
			w.randomStep()
		}
		w.checkAllAnswered()
	})
}

// TestDeniedRetryIsShed: a request that was rejected and may not go again, since this node's share of second
// attempts is used up, is shed before its deadline with advice to return, and not held until its client goes.
func TestDeniedRetryIsShed(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	s := &changingQuotas{harness: w}
	settings.Quotas = s
	w.d = New(settings, 1, &quotaChecker{s}, w.now)
	w.addServers(4, false)
	s.denied[BudgetRetries] = true
	request := w.arrive(0, 1, 1e8, 20e9)
	w.endAttempt(w.open[0], Rejected)
	began := w.now
	for w.finals[request] == 0 && w.now-began < 20e9 {
		w.advance(1e7)
	}
	if took := w.now - began; len(request.Attempts) != 1 || w.finals[request] != 1 || took > 2e9 {
		t.Errorf("%d attempts, %d answers, after %d ms", len(request.Attempts), w.finals[request], took/1e6)
	}
}

// TestDistantServersComeLast: servers beyond this node's part get work only when those of its part can't take
// it, nearer ones first; a request that has preferred servers goes by these.
func TestDistantServersComeLast(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(9, false)
	for i, m := range w.endpoints {
		m.Server.Distance = i / 3
	}
	used := func(key uint64) (used [3]int) {
		for range 60 {
			request := &Request{Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: w.now + 5e9, AffinityKey: key}
			w.requests = append(w.requests, request)
			w.d.Arrive(request)
			w.d.ProcessQueue()
			for _, attempt := range w.open {
				used[attempt.Server.Distance]++
			}
			w.completeAll()
			w.advance(1e8)
		}
		return used
	}
	if u := used(0); u[0] != 60 {
		t.Errorf("%v", u)
	}
	for _, m := range w.endpoints[:3] {
		m.State = Draining
	}
	w.updateEndpoints(true)
	if u := used(0); u[1] != 60 {
		t.Errorf("with the near ones drained: %v", u)
	}
	for i, m := range w.endpoints {
		m.State, m.Server.Distance = Up, 0
		if i > 0 {
			m.Server.Distance = 2
		}
	}
	w.updateEndpoints(true)
	if preferred := used(7); preferred[2] == 0 {
		t.Errorf("with preferred servers: %v", preferred)
	}
	// The few nodes that may send to a server in slow start are not those that it is near to.
	w.endpoints[3].StartedAt = w.now - 1
	w.updateEndpoints(true)
	w.advance(2 * settings.OverloadWindow)
	if cold := used(0); cold[2] == 0 {
		t.Errorf("far and cold, and in turn: %v", cold)
	}
}
