// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// A burst of one tenant must not count as within its share; even traffic must.
func TestOverQuota(t *testing.T) {
	settings := testSettings()
	settings.OverQuotaWeight, settings.Tenants = 0.1, []*Tenant{{Quota: 0.5}, {Quota: 0.5}}
	w := newHarness(t, 1, settings)
	over := func(n, burst int) (count int) {
		for i := range n {
			if tenant := min(i%burst, 1); w.d.overQuota(&Request{Tenant: tenant}) && tenant == 1 {
				count++
			}
		}
		return count
	}
	if got := over(200, 2); got > 10 {
		t.Fatalf("%d of 100 even requests over the share", got)
	}
	w.advance(3e10)
	if got := over(600, 6); got < 250 {
		t.Fatalf("%d of 500 requests of a burst over the share", got)
	}
}

// Quiet nodes hold no queue, so what lies beyond a share must not be sent into congestion; without one it may.
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
			t.Fatalf("%d of 40 beyond the share shed with %v prompt starts", shed, prompt)
		}
	}
}

// TestDeadlineBroughtForward: a node that is told to end has to answer all that it has within less than the
// deadline.
func TestDeadlineBroughtForward(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	request := w.arrive(2, 1, 1e9, 5e9)
	w.d.SetDeadline(request, w.now+4e8)
	if w.advance(4e8); w.finals[request] != 1 {
		t.Fatal("not answered in time")
	}
	w.checkAllAnswered()
}

// TestAnsweredRequestsKeepNoTimer: timers of answered requests would pile up with the rate and the longest
// deadline.
func TestAnsweredRequestsKeepNoTimer(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(2, false)
	w.arrive(0, 1, 1e8, 3600e9)
	w.completeAll()
	for _, a := range w.timers {
		if a.at > w.now+60e9 {
			t.Fatal("the timer of its deadline is kept")
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

// TestDeadlinesToldTooShort: a node whose clock is ahead hears that its requests have no time left, and serves
// them all the same; what it can't serve is answered before the latest that the rules allow.
func TestDeadlinesToldTooShort(t *testing.T) {
	w := newHarness(t, 1, clockSettings())
	w.addServers(2, false)
	for i := range 40 {
		request := w.arrive(i%5, 1, 5e7, -int64(i%3)*1e6)
		if request.Done || len(request.Attempts) != 1 {
			t.Fatalf("request %d, told of nothing of 3 s, has %d attempts", i, len(request.Attempts))
		}
		w.completeAll()
	}
	for range 3 { // at odds with this node's other requests: a client's later try
		w.arrive(0, 1, 5e7, -1e9)
	}
	for range 40 {
		w.arrive(2, 4, 5e7, 0) // more than there is room for
	}
	w.advance(3e9)
	w.checkAllAnswered()
}

// TestDeadlinesToldTooLong: a node whose clock is behind hears of more time than any client waits; whatever is
// out, the final answer comes within the class's.
func TestDeadlinesToldTooLong(t *testing.T) {
	w := newHarness(t, 2, clockSettings())
	w.addServers(2, false)
	for i := range 8 {
		request := w.arrive(i%5, 1, 5e7, 45e8)
		if at := w.now + 3e9; request.Deadline > at {
			t.Fatalf("kept for %d ms too long", (request.Deadline-at)/1e6)
		}
	}
	later := w.arrive(0, 1, 5e7, 25e8) // a later try, told as much too long
	if left := later.Deadline - w.now; left > 11e8 {
		t.Errorf("a later try with 1 s left is kept for %d ms", left/1e6)
	}
	w.checkAllAnswered()
}
