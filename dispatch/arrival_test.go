// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestOverQuota checks that a tenant's burst is over its quota and that even traffic is not.
func TestOverQuota(t *testing.T) {
	settings := testSettings()
	settings.OverQuotaWeight, settings.Tenants = 0.1, []*Tenant{{Quota: 0.5}, {Quota: 0.5}}
	w := newHarness(t, 1, settings)
	countOverQuota := func(n, burst int) (count int) {
		for i := range n {
			if tenant := min(i%burst, 1); w.d.overQuota(&Request{Tenant: tenant}) && tenant == 1 {
				count++
			}
		}
		return count
	}
	if got := countOverQuota(200, 2); got > 10 {
		t.Fatalf("even traffic: %d of 100 requests over quota, want at most 10", got)
	}
	w.advance(3e10)
	if got := countOverQuota(600, 6); got < 250 {
		t.Fatalf("burst: %d of 500 requests over quota, want at least 250", got)
	}
}

// TestOverQuotaIsShedUnderCongestion checks that requests over quota are shed under congestion and served
// otherwise. Nodes with little traffic have no queue and would send them into the congestion.
func TestOverQuotaIsShedUnderCongestion(t *testing.T) {
	for _, prompt := range []float64{0, 400} {
		settings, shed := testSettings(), 0
		settings.LoadReports, settings.OverQuotaWeight = true, 0.9
		settings.Tenants = []*Tenant{{Quota: 0.5}, {Quota: 0.5}}
		w := newHarness(t, 1, settings)
		w.addServers(40, false)
		w.d.promptStarts[ownZone] = decayingRatio{400, prompt, w.now}
		for range 40 {
			if w.arrive(0, 1, 1e8, 5e9).Done {
				shed++
			}
		}
		if prompt == 0 && shed < 20 || prompt > 0 && shed > 2 {
			t.Fatalf(
				"%d of 40 over quota shed, %v of 400 starts prompt; want 20 or more if none, else up to 2",
				shed, prompt)
		}
	}
}

// TestSetDeadlineToEarlierTime checks that a node that shuts down answers its requests by the earlier
// deadline.
func TestSetDeadlineToEarlierTime(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	request := w.arrive(2, 1, 1e9, 5e9)
	w.d.SetDeadline(request, w.now+4e8)
	if w.advance(4e8); w.finalAnswers[request] != 1 {
		t.Fatalf("request has %d final answers at its new deadline, want 1", w.finalAnswers[request])
	}
	w.checkAllAnswered()
}

// TestAnswerCancelsDeadlineTimer guards against timers of answered requests that accumulate in proportion to
// the request rate and the longest deadline.
func TestAnswerCancelsDeadlineTimer(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	w.arrive(0, 1, 1e8, 3600e9)
	w.completeAll()
	for _, a := range w.timers {
		if a.at > w.now+60e9 {
			t.Fatal("the deadline timer of an answered request is still set")
		}
	}
}

func clockSettings() *Settings {
	settings := testSettings()
	settings.DeadlineMargin = 3e9
	for _, class := range settings.Classes {
		class.MaxDeadline = 3e9
	}
	return settings
}

// TestDeadlinesTooShortByClockError checks a node whose clock is ahead, so that requests appear to have no
// time left. It must serve them, and answer those that it cannot serve before the latest permitted time.
func TestDeadlinesTooShortByClockError(t *testing.T) {
	w := newHarness(t, 1, clockSettings())
	w.addServers(2, false)
	for i := range 40 {
		request := w.arrive(i%5, 1, 5e7, -int64(i%3)*1e6)
		if request.Done || len(request.Attempts) != 1 {
			t.Fatalf("request %d, which appears to have no time left, was shed or has %d attempts, want 1",
				i, len(request.Attempts))
		}
		w.completeAll()
	}
	for range 3 { // unlike this node's other requests: a later attempt of a client
		w.arrive(0, 1, 5e7, -1e9)
	}
	for range 40 {
		w.arrive(2, 4, 5e7, 0) // more requests than there is capacity for
	}
	w.advance(3e9)
	w.checkAllAnswered()
}

// TestDeadlinesTooLongByClockError checks a node whose clock is behind, so that requests appear to have more
// time than any client waits. Each must be answered within its class's maximum deadline.
func TestDeadlinesTooLongByClockError(t *testing.T) {
	w := newHarness(t, 2, clockSettings())
	w.addServers(2, false)
	for i := range 8 {
		request := w.arrive(i%5, 1, 5e7, 45e8)
		if latest := w.now + 3e9; request.Deadline > latest {
			t.Fatalf("deadline is %d ms later than the class's maximum of 3 s", (request.Deadline-latest)/1e6)
		}
	}
	later := w.arrive(0, 1, 5e7, 25e8) // a later attempt with the same clock error
	if remaining := later.Deadline - w.now; remaining > 11e8 {
		t.Errorf("a later attempt with 1 s left has a deadline in %d ms, want at most 1100 ms", remaining/1e6)
	}
	w.checkAllAnswered()
}
