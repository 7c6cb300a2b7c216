// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestReliability checks the effect of each outcome and of time on a server's reliability.
func TestReliability(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	server := w.endpoints[0].Server
	checkReliability := func(want float64) {
		t.Helper()
		if got := server.reliability.at(w.now); got < want-0.02 || got > want+0.02 {
			t.Fatalf("reliability is %v, want about %v", got, want)
		}
	}
	prepareNextAttempt := func() {
		server.limit = initialLimit
		w.advance(8 * w.settings.Tick)
	}
	checkReliability(1)
	w.arrive(0, 1, 1e8, 2e10)
	w.endAttempt(w.inFlight[0], ConnectFailed)
	checkReliability(failureFactor)
	prepareNextAttempt()
	before := server.reliability.at(w.now)
	w.endAttempt(w.inFlight[0], Rejected)
	checkReliability(before)
	prepareNextAttempt()
	before = server.reliability.at(w.now)
	w.endAttempt(w.inFlight[0], Succeeded)
	checkReliability(before + successBonus)
	w.advance(decayTime)
	checkReliability(1 - (1-before-successBonus)*0.37)
	// An idle connection that was closed fails at once. A later failure is the server's.
	for _, took := range []int64{0, 1e9} {
		prepareNextAttempt()
		w.arrive(0, 1, 1e8, 2e10)
		attempt := w.inFlight[len(w.inFlight)-1]
		w.now += took
		w.d.Advance(w.now)
		before = server.reliability.at(w.now)
		w.endAttempt(attempt, StaleConnection)
		checkReliability(before * map[int64]float64{0: 1, 1e9: failureFactor}[took])
	}
}

// TestServerCounts checks that draining servers and outliers count as excluded, and that outliers no longer
// do when there are no other servers.
func TestServerCounts(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(6, false)
	check := func(want int) {
		t.Helper()
		if listed, excluded := w.d.ServerCounts(); listed != 6 || excluded != want {
			t.Errorf("got %d listed servers, want 6; got %d excluded, want %d", listed, excluded, want)
		}
	}
	check(0)
	w.endpoints[0].State = Draining
	w.updateEndpoints(true)
	check(1)
	for i, want := range []int{2, 3, 4, 5, 1} {
		server := w.endpoints[1+i].Server
		server.reliability = reliability{minReliability / 2, w.now}
		check(want)
	}
	w.advance(10 * decayTime)
	check(1)
}

// TestOutlierScore checks that a server that many nodes report as unreliable is excluded while others
// remain, except for a second after a success at this node, since the reports are older than that. Without
// reports it is used again.
func TestOutlierScore(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	for _, m := range w.endpoints {
		m.Zone, m.MachineType = 0, 0
	}
	w.updateEndpoints(true)
	reported := w.endpoints[0].Server
	countAttempts := func(span int64) (count int) {
		for end := w.now + span; w.now < end; w.advance(1e7) {
			w.arrive(0, 1, 1e6, 5e9)
			for _, attempt := range w.inFlight {
				if attempt.Server == reported {
					count++
				}
			}
			w.completeAll()
		}
		return count
	}
	if countAttempts(2e9) == 0 {
		t.Fatal("server without reports was not used")
	}
	reported.OutlierScore = 1
	countAttempts(11e8) // a success counts for a second
	for n := 0; n < 100 && w.now-reported.idleUntil+settings.IdleTimeout <= ownResultLifetime; n++ {
		w.advance(1e8)
	}
	if n := countAttempts(1e9); n > 0 {
		t.Errorf("got %d attempts at a server that many nodes report as unreliable, want 0", n)
	}
	reported.idleUntil = w.now + settings.IdleTimeout
	if countAttempts(5e8) == 0 {
		t.Error("server was not used right after a success at this node")
	}
	reported.OutlierScore = 0
	if countAttempts(1e9) == 0 {
		t.Error("server was not used again after the reports ended")
	}
}

// TestServerClockAhead checks a server whose clock is ahead, which rejects or fails requests although it is
// healthy. The requests go to other servers, and such errors do not exclude it permanently.
func TestServerClockAhead(t *testing.T) {
	w := newHarness(t, 4, clockSettings())
	w.addServers(4, false)
	ahead := w.endpoints[0].Server
	served := 0
	for range 200 {
		request := w.arrive(0, 1, 5e7, 25e8)
		for w.finalAnswers[request] == 0 && !request.Done {
			attempt := request.Attempts[len(request.Attempts)-1]
			if o := Rejected; attempt.Server == ahead {
				if w.IntN(2) == 0 {
					o = Failed
				}
				w.endAttempt(attempt, o)
				continue
			}
			w.d.AttemptStarted(attempt)
			w.endAttempt(attempt, Succeeded)
			served++
		}
		w.advance(1e7)
	}
	if served < 195 {
		t.Errorf("%d of 200 requests served, want at least 195", served)
	}
	w.advance(decayTime)
	if w.d.outlier(ahead) {
		t.Errorf("server is an outlier after %v s, want none; reliability %v",
			decayTime/1e9, ahead.reliability.at(w.now))
	}
	w.checkAllAnswered()
}
