// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestOverloadedIsShed: a request that lay unread for too long is shed before anything is done for it; one that
// lay there for less is served, with so much less time.
func TestOverloadedIsShed(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 2e9
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	for _, waited := range []int64{0, 1e8, 3e8, 3e9} {
		request := &Request{Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: w.now + 5e9,
			UnreadTime: waited}
		w.admit(request)
		shed, attempts := waited > settings.DrainGrace/8, len(request.Attempts)
		if request.Done != shed || shed && (request.Reason != Overloaded || attempts > 0) {
			t.Errorf("waited %d ms: over %v, %d attempts, %v", waited/1e6, request.Done, attempts, request.Reason)
		}
	}
}

// TestSmallDelayTakesNoTime: a delay of microseconds, which there always is, must not count against requests
// that have just enough time.
func TestSmallDelayTakesNoTime(t *testing.T) {
	for _, waited := range []int64{0, 1e3, 2e7} {
		w := newHarness(t, 1, testSettings())
		w.addServers(4, false)
		class := w.settings.Classes[0]
		request := &Request{Class: class, Slots: 1, Deadline: w.now + class.LatencyObjective + 1, UnreadTime: waited}
		w.requests = append(w.requests, request)
		w.d.Arrive(request)
		if w.d.ProcessQueue(); request.Done || len(request.Attempts) != 1 {
			t.Errorf("waited %d us: over %v by %v", waited/1e3, request.Done, request.Reason)
		}
	}
}

// TestNothingIsSentOnAStaleList: a process that was held up must not send to servers of which it would have
// read that they drain.
func TestNothingIsSentOnAStaleList(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 2e9
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	w.arrive(0, 1, 1e7, 5e9)
	decided := w.open[0]
	w.d.SetSchedulingDelay(settings.DrainGrace)
	if w.d.MaySend(decided) {
		t.Error("what was decided before would go out")
	}
	w.arrive(0, 1, 1e7, 5e9)
	if w.advance(1e8); len(w.open) != 1 {
		t.Error("something was sent")
	}
	w.d.SetSchedulingDelay(0)
	if w.advance(1e8); len(w.open) != 2 || !w.d.MaySend(decided) {
		t.Errorf("%d attempts once the process has caught up", len(w.open))
	}
}

// TestAnswersAreDecidedEarlierAtABusyNode: a process that is late writes an answer some time after it was
// decided on.
func TestAnswersAreDecidedEarlierAtABusyNode(t *testing.T) {
	for _, lag := range []int64{0, 2e8} {
		w := newHarness(t, 1, testSettings())
		w.addServers(4, false)
		w.d.SetSchedulingDelay(lag)
		request := w.arrive(0, 1, 1e7, 5e9)
		w.advance(5e9 - 2*lag - 4*w.settings.Tick)
		early := request.Done
		if w.advance(3 * w.settings.Tick); early || !request.Done {
			t.Errorf("lag %d ms: over %v before, %v at the time, by %v", lag/1e6, early, request.Done, request.Reason)
		}
	}
}
