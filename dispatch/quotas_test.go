// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// changingQuotas allows or denies budgets at random between the dispatcher's steps. The field denied has the
// current state.
type changingQuotas struct {
	*harness
	denied [BudgetCount]bool
	quota  float64
}

func (f *changingQuotas) Allow(b Budget, _ *Server, _ *Request, units float64) bool {
	if !(units > 0) {
		f.Fatalf("budget %d: requested %v units, want more than 0", b, units)
	}
	return !f.denied[b]
}

func (f *changingQuotas) Quota(Budget, *Server) float64 { return f.quota }

// quotaChecker implements Actions and checks each attempt against the quotas at the time of its decision.
type quotaChecker struct {
	*changingQuotas
}

func (p *quotaChecker) StartAttempt(attempt *Attempt) {
	slowStart := p.d.settings.warmUpFactor(attempt.Server, p.now) < 1
	if attempt.Number > 0 && p.denied[BudgetRetries] || slowStart && p.denied[BudgetSlowStart] ||
		p.denied[BudgetConnections] || p.denied[BudgetTenantAttempts] {
		p.Fatalf("attempt %d sent (slow start: %v) while a budget that it needs is denied: %v",
			attempt.Number, slowStart, p.denied)
	}
	if slowStart != (attempt.SlowStartShare > 0) {
		p.Fatalf("slow start: %v, but the attempt uses %v of the slow start budget",
			slowStart, attempt.SlowStartShare)
	}
	p.harness.StartAttempt(attempt)
}

// FuzzQuotas checks that with any quotas the four rules hold, every request is answered by its deadline, and
// nothing is sent that the quotas deny. No request may wait for a quota forever.
func FuzzQuotas(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		settings := testSettings()
		settings.AllowHedging, settings.Nodes = seed%2 == 0, 1+int(seed%3)*100
		settings.OverloadFactor = 100 // the quotas enforce the slow start budget here
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

// TestDeniedRetryIsShed checks that a rejected request whose retry is denied by this node's quota is shed
// well before its deadline, with a Retry-After, and does not wait until the client gives up.
func TestDeniedRetryIsShed(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	s := &changingQuotas{harness: w}
	settings.Quotas = s
	w.d = New(settings, 1, &quotaChecker{s}, w.now)
	w.addServers(4, false)
	s.denied[BudgetRetries] = true
	request := w.arrive(0, 1, 1e8, 20e9)
	w.endAttempt(w.inFlight[0], Rejected)
	start := w.now
	for w.finalAnswers[request] == 0 && w.now-start < 20e9 {
		w.advance(1e7)
	}
	if took := w.now - start; len(request.Attempts) != 1 || w.finalAnswers[request] != 1 || took > 2e9 {
		t.Errorf("got %d attempts, want 1; got %d answers, want 1, after %d ms, want at most 2000 ms",
			len(request.Attempts), w.finalAnswers[request], took/1e6)
	}
}
