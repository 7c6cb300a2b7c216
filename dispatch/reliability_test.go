// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

func TestReliability(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(1, false)
	server := w.endpoints[0].Server
	near := func(want float64) {
		t.Helper()
		if got := server.reliability.at(w.now); got < want-0.02 || got > want+0.02 {
			t.Fatalf("H is %v, want %v", got, want)
		}
	}
	again := func() {
		server.limit = initialLimit
		w.advance(8 * w.settings.Tick)
	}
	near(1)
	w.arrive(0, 1, 1e8, 2e10)
	w.endAttempt(w.open[0], ConnectFailed)
	near(failureFactor)
	again()
	before := server.reliability.at(w.now)
	w.endAttempt(w.open[0], Rejected)
	near(before)
	again()
	before = server.reliability.at(w.now)
	w.endAttempt(w.open[0], Succeeded)
	near(before + successBonus)
	w.advance(decayTime)
	near(1 - (1-before-successBonus)*0.37)
	// A kept connection that was gone shows at once; what breaks later, the server broke.
	for _, took := range []int64{0, 1e9} {
		again()
		w.arrive(0, 1, 1e8, 2e10)
		attempt := w.open[len(w.open)-1]
		w.now += took
		w.d.Advance(w.now)
		before = server.reliability.at(w.now)
		w.endAttempt(attempt, StaleConnection)
		near(before * map[int64]float64{0: 1, 1e9: failureFactor}[took])
	}
}

// TestServerCounts: what drains and the outliers are left out, but outliers count again once none else remains.
func TestServerCounts(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(6, false)
	check := func(want int) {
		t.Helper()
		if known, excluded := w.d.ServerCounts(); known != 6 || excluded != want {
			t.Errorf("%d known, %d excluded, want %d", known, excluded, want)
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

// TestOutlierScore: a server that many say is bad is left out while others remain, but for a second after an
// own job ended well there; when nothing is said any more it is drawn again. What others say is older than what
// this node sees.
func TestOutlierScore(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(4, false)
	for _, m := range w.endpoints {
		m.Zone, m.MachineType = 0, 0
	}
	w.updateEndpoints(true)
	said := w.endpoints[0].Server
	used := func(span int64) (count int) {
		for end := w.now + span; w.now < end; w.advance(1e7) {
			w.arrive(0, 1, 1e6, 5e9)
			for _, attempt := range w.open {
				if attempt.Server == said {
					count++
				}
			}
			w.completeAll()
		}
		return count
	}
	if used(2e9) == 0 {
		t.Fatal("it is not used at all")
	}
	said.OutlierScore = 1
	used(11e8) // what it did well a moment ago counts for a second after the last of it
	for n := 0; n < 100 && w.now-said.idleUntil+settings.IdleTimeout <= ownResultLifetime; n++ {
		w.advance(1e8)
	}
	if n := used(1e9); n > 0 {
		t.Errorf("%d jobs though many say that it is bad", n)
	}
	said.idleUntil = w.now + settings.IdleTimeout
	if used(5e8) == 0 {
		t.Error("an own job that ended well does not count")
	}
	said.OutlierScore = 0
	if used(1e9) == 0 {
		t.Error("it is not used again")
	}
}

// TestServerClockAhead: a server whose own clock runs ahead rejects requests or fails them though it is well;
// they go elsewhere, and one such error takes it out of nobody's draw for good.
func TestServerClockAhead(t *testing.T) {
	w := newHarness(t, 4, clockSettings())
	w.addServers(4, false)
	ahead := w.endpoints[0].Server
	served := 0
	for range 200 {
		request := w.arrive(0, 1, 5e7, 25e8)
		for w.finals[request] == 0 && !request.Done {
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
		t.Errorf("%d of 200 served", served)
	}
	w.advance(decayTime)
	if w.d.outlier(ahead) {
		t.Error("left out for good")
	}
	w.checkAllAnswered()
}
