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
	if attempt.Number > 0 && p.denied[BudgetRetries] || cold && p.denied[BudgetSlowStart] ||
		p.denied[BudgetConnections] || p.denied[BudgetTenantAttempts] {
		p.Fatalf("attempt %d is sent, in slow start: %v, while %v is denied", attempt.Number, cold, p.denied)
	}
	if cold != (attempt.SlowStartShare > 0) {
		p.Fatalf("slow start: %v, takes %v of the budget", cold, attempt.SlowStartShare)
	}
	p.harness.StartAttempt(attempt)
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
