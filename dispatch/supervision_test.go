// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestLateWaitAtServerIsShed checks that an idempotent request that waits at a server is shed when it can no
// longer be answered in time, if late answers earn nothing.
func TestLateWaitAtServerIsShed(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.settings.Classes[0].LateShare = 0
	request := w.arrive(0, 1, 1e8, 5e9)
	w.advance(2e9)
	if !request.Done || w.canceled != 1 {
		t.Fatalf("after 4 latency objectives: done is %v, want true; got %d canceled attempts, want 1",
			request.Done, w.canceled)
	}
}

// TestStalledNodeBlamesNoServer checks a node that was stalled and finds due timers and the servers' reports
// at the same time. It must not attribute its own delay to the servers.
func TestStalledNodeBlamesNoServer(t *testing.T) {
	w := newHarness(t, 4, testSettings())
	w.addServers(1, false)
	server := w.endpoints[0].Server
	w.arrive(0, 1, 3e9, 9e9)
	running := w.inFlight[0]
	w.d.AttemptStarted(running)
	w.advance(2e8)
	w.d.AttemptProgressed(running)
	w.arrive(0, 1, 3e9, 9e9)
	waiting := w.inFlight[1]
	limit := server.limit
	w.now += 2e9 // the node is stalled
	w.d.Advance(w.now)
	due := w.timers
	w.timers = nil
	for _, a := range due {
		if a.at <= w.now {
			a.call()
		} else {
			w.timers = append(w.timers, a)
		}
	}
	w.d.AttemptProgressed(running)
	w.d.AttemptStarted(waiting)
	w.d.ProcessQueue()
	w.advance(1e8)
	if server.reliability.at(w.now) < 1 || server.limit < limit || len(w.inFlight) != 2 {
		t.Errorf("reliability %v, want 1; limit %v, want at least %v; %d attempts in flight, want 2",
			server.reliability.at(w.now), server.limit, limit, len(w.inFlight))
	}
}
