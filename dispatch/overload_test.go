// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestOverloadedIsShed checks that a request that was unread for too long is shed before any other work on
// it. One that was unread for less is served. Its deadline is earlier by the excess of the time unread over
// ignoredDelay.
func TestOverloadedIsShed(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 2e9
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	for _, unread := range []int64{0, 1e8, 3e8, 3e9} {
		request := &Request{Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: w.now + 5e9,
			MaxUnreadDuration: unread}
		w.admit(request)
		shed, attempts := unread > settings.DrainGrace/8, len(request.Attempts)
		if request.Done != shed || shed && (request.Reason != Overloaded || attempts > 0) {
			t.Errorf(
				"unread for %d ms: done is %v, %d attempts, reason %v; want it shed only if unread for over 250 ms",
				unread/1e6, request.Done, attempts, request.Reason)
		}
	}
}

// TestSmallDelayDoesNotReduceDeadline checks that the delay of microseconds that always occurs does not
// count against requests that have just enough time.
func TestSmallDelayDoesNotReduceDeadline(t *testing.T) {
	for _, unread := range []int64{0, 1e3, 2e7} {
		w := newHarness(t, 1, testSettings())
		w.addServers(4, false)
		class := w.settings.Classes[0]
		request := &Request{
			Class: class, Slots: 1, Deadline: w.now + class.LatencyObjective + 1, MaxUnreadDuration: unread}
		w.requests = append(w.requests, request)
		w.d.Arrive(request)
		if w.d.ProcessQueue(); request.Done || len(request.Attempts) != 1 {
			t.Errorf("unread for %d us: done is %v, want false with 1 attempt; reason %v",
				unread/1e3, request.Done, request.Reason)
		}
	}
}

// TestNothingIsSentWithStaleEndpoints guards against a stalled process that sends requests to servers which
// drain according to an update that it has not read yet.
func TestNothingIsSentWithStaleEndpoints(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 2e9
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	w.arrive(0, 1, 1e7, 5e9)
	decided := w.inFlight[0]
	w.d.SetSchedulingDelay(settings.DrainGrace)
	if w.d.MaySend(decided) {
		t.Error("MaySend permits an attempt while the endpoint list may be stale")
	}
	w.arrive(0, 1, 1e7, 5e9)
	if w.advance(1e8); len(w.inFlight) != 1 {
		t.Errorf("endpoint list may be stale: got %d attempts in flight, want 1", len(w.inFlight))
	}
	w.d.SetSchedulingDelay(0)
	if w.advance(1e8); len(w.inFlight) != 2 || !w.d.MaySend(decided) {
		t.Errorf("got %d attempts after the process caught up, want 2, and MaySend to permit the first",
			len(w.inFlight))
	}
}

// TestAnswersAreDecidedEarlierWithSchedulingDelay checks that a process with a scheduling delay decides on
// answers earlier, since it writes an answer only some time after its decision.
func TestAnswersAreDecidedEarlierWithSchedulingDelay(t *testing.T) {
	for _, delay := range []int64{0, 2e8} {
		w := newHarness(t, 1, testSettings())
		w.addServers(4, false)
		w.d.SetSchedulingDelay(delay)
		request := w.arrive(0, 1, 1e7, 5e9)
		w.advance(5e9 - 2*delay - 4*w.settings.Tick)
		early := request.Done
		if w.advance(3 * w.settings.Tick); early || !request.Done {
			t.Errorf(
				"delay %d ms: done is %v before the decision, want false; %v after it, want true; reason %v",
				delay/1e6, early, request.Done, request.Reason)
		}
	}
}
