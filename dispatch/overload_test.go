// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// Danger: a node that is short of processor time takes all that comes and answers all of it too late. What lay unread for longer than
// the node can bear is shed before anything is done for it; what lay there for less is served, with so much less time.
func TestOverloadedIsShed(t *testing.T) {
	terms := basicTerms()
	terms.DrainGrace = 2e9
	w := newWorld(t, 1, terms)
	w.join(4, false)
	for _, waited := range []int64{0, 1e8, 3e8, 3e9} {
		request := &Request{Class: terms.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: w.now + 5e9, UnreadTime: waited}
		w.txns = append(w.txns, request)
		w.d.Arrive(request)
		w.d.ProcessQueue()
		if shed := waited > terms.DrainGrace/8; request.Done != shed || shed && (request.Reason != Overloaded || len(request.Attempts) > 0) {
			t.Errorf("waited %d ms: over %v, %d attempts, %v", waited/1e6, request.Done, len(request.Attempts), request.Reason)
		}
	}
}

// Danger: a lag of microseconds, which there always is, takes their last hope from requests that have just as much time as their class
// is to take: none of them is ever sent.
func TestSmallLagTakesNoTime(t *testing.T) {
	for _, waited := range []int64{0, 1e3, 2e7} {
		w := newWorld(t, 1, basicTerms())
		w.join(4, false)
		request := &Request{Class: w.terms.Classes[0], Slots: 1, Deadline: w.now + w.terms.Classes[0].LatencyObjective + 1, UnreadTime: waited}
		w.txns = append(w.txns, request)
		w.d.Arrive(request)
		if w.d.ProcessQueue(); request.Done || len(request.Attempts) != 1 {
			t.Errorf("waited %d us: over %v by %v", waited/1e3, request.Done, request.Reason)
		}
	}
}

// Danger: a process that stood still sends what it had decided, to servers of which it would have heard meanwhile that they drain.
func TestNothingIsSentOnAStaleList(t *testing.T) {
	terms := basicTerms()
	terms.DrainGrace = 2e9
	w := newWorld(t, 1, terms)
	w.join(4, false)
	w.arrive(0, 1, 1e7, 5e9)
	decided := w.open[0]
	w.d.SetSchedulingDelay(terms.DrainGrace)
	if w.d.MaySend(decided) {
		t.Error("what was decided before would go out")
	}
	w.arrive(0, 1, 1e7, 5e9)
	if w.pass(1e8); len(w.open) != 1 {
		t.Error("something was sent")
	}
	w.d.SetSchedulingDelay(0)
	if w.pass(1e8); len(w.open) != 2 || !w.d.MaySend(decided) {
		t.Errorf("%d attempts once the process has caught up", len(w.open))
	}
}

// Danger: an answer that is decided on at the deadline, at a process that comes to write it some time later.
func TestAnswersAreDecidedEarlierAtABusyNode(t *testing.T) {
	for _, lag := range []int64{0, 2e8} {
		w := newWorld(t, 1, basicTerms())
		w.join(4, false)
		w.d.SetSchedulingDelay(lag)
		request := w.arrive(0, 1, 1e7, 5e9)
		w.pass(5e9 - 2*lag - 4*w.terms.Tick)
		early := request.Done
		if w.pass(3 * w.terms.Tick); early || !request.Done {
			t.Errorf("lag %d ms: over %v before, %v at the time, by %v", lag/1e6, early, request.Done, request.Reason)
		}
	}
}
