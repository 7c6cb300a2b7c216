// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// Where late answers earn nothing, an idempotent request that waits at a server beyond hope is shed then.
func TestLateWaitAtServerIsShed(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	w.settings.Classes[0].LateShare = 0
	request := w.arrive(0, 1, 1e8, 5e9)
	w.advance(2e9)
	if !request.Done || w.canceled != 1 {
		t.Fatal("still waiting after four times its latency objective")
	}
}

// TestHeldUpNodeBlamesNoServer finds its timers and the notes of its servers all at once, and blames nobody for
// it.
func TestHeldUpNodeBlamesNoServer(t *testing.T) {
	w := newHarness(t, 4, testSettings())
	w.addServers(1, false)
	server := w.endpoints[0].Server
	w.arrive(0, 1, 3e9, 9e9)
	running := w.open[0]
	w.d.AttemptStarted(running)
	w.advance(2e8)
	w.d.AttemptProgressed(running)
	w.arrive(0, 1, 3e9, 9e9)
	waiting := w.open[1]
	limit := server.limit
	w.now += 2e9 // the node has no turn
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
	if server.reliability.at(w.now) < 1 || server.limit < limit || len(w.open) != 2 {
		t.Errorf("H %v, limit %v of %v, %d out", server.reliability.at(w.now), server.limit, limit, len(w.open))
	}
}
