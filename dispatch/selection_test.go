// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"strconv"
	"testing"
)

// TestDrawFollowsWeight checks that draws are in proportion to weights and exclude an outlier.
func TestDrawFollowsWeight(t *testing.T) {
	settings := testSettings()
	settings.Classes = settings.Classes[:1] // no other class requires one of the two machine types
	w := newHarness(t, 1, settings)
	w.addServers(2, false)
	highScored, lowScored := w.endpoints[0].Server, w.endpoints[1].Server
	highScored.scores.count, highScored.scores.sum, lowScored.scores.count, lowScored.scores.sum =
		50, 475, 50, 125
	count := 0
	for range 4000 {
		if w.d.draw(unqueuedRequest(w.settings), 1)[0] == highScored {
			count++
		}
	}
	if count < 3000 || count > 3220 { // 3111 expected from the scores and the machine type's mean
		t.Fatalf("server with 0.78 of the weight got %d of 4000 draws, want 3000 to 3220", count)
	}
	lowScored.reliability = reliability{0.05, w.now}
	for range 100 {
		if w.d.draw(unqueuedRequest(w.settings), 1)[0] == lowScored {
			t.Fatal("draw selected an outlier although another server remains")
		}
	}
}

// TestCongestedZoneIsAvoided guards against a zone that is overloaded by its own traffic while servers of
// other zones are idle.
func TestCongestedZoneIsAvoided(t *testing.T) {
	settings, otherZoneDraws := testSettings(), 0
	settings.CrossZoneCost = 0.1
	w := newHarness(t, 1, settings)
	w.addServers(8, false)
	for _, m := range w.endpoints {
		for range 20 {
			if m.Zone != 0 {
				w.d.recordPromptStart(m.Server)
			} else {
				w.d.recordLateStart(&Attempt{Server: m.Server, sentAt: w.now}, 0)
			}
		}
		m.Server.limit = initialLimit
	}
	for range 200 {
		otherZoneDraws += w.d.draw(unqueuedRequest(settings), 1)[0].zone
	}
	if otherZoneDraws < 80 {
		t.Fatalf("%d of 200 draws selected the zone with capacity, want at least 80", otherZoneDraws)
	}
}

// TestIdleConnectionsAreReused checks that a node with little traffic keeps to servers that were prompt, and
// leaves those that were late.
func TestIdleConnectionsAreReused(t *testing.T) {
	settings, used := testSettings(), map[*Server]bool{}
	settings.IdleTimeout = 5e9
	w := newHarness(t, 1, settings)
	w.addServers(8, false)
	for range 40 {
		used[w.arrive(0, 1, 1e8, 5e9).Attempts[0].Server] = true
		w.completeAll()
		w.advance(1e9)
	}
	if len(used) > 2 {
		t.Fatalf("%d of 8 servers used, want at most 2", len(used))
	}
	for server := range used {
		server.limit = 0.5
	}
	reused := 0
	for range 40 {
		if used[w.d.draw(unqueuedRequest(settings), 1)[0]] {
			reused++
		}
	}
	if reused > 20 {
		t.Fatalf("%d of 40 draws selected servers that were late, want at most 20", reused)
	}
}

// TestLiveCapacityLowersWeight checks that a server whose capacity in the endpoint list has fallen with its
// load is drawn correspondingly less often.
func TestLiveCapacityLowersWeight(t *testing.T) {
	units := func(i int) float64 { return []float64{0.5, 4}[i%2] }
	low, high := 0, 0
	for server, n := range countServersUsed(t, func(int) uint64 { return 0 }, units) {
		for i := range 20 {
			if server.Hash == HashName("e"+strconv.Itoa(i)) && i%2 == 0 {
				low += n
			} else if server.Hash == HashName("e"+strconv.Itoa(i)) {
				high += n
			}
		}
	}
	if high < 3*low {
		t.Errorf("%d requests sent to loaded servers, %d to the others, want at least 3 times as many",
			low, high)
	}
}

// TestRequiredMachineTypeIsSpared checks that if a class requires one machine type, other classes leave
// capacity there.
func TestRequiredMachineTypeIsSpared(t *testing.T) {
	countRequiredType := func(classes []*Class) (n int) {
		settings := testSettings()
		settings.Classes = classes
		w := newHarness(t, 8, settings)
		w.addServers(12, false)
		for range 600 {
			w.arrive(0, 1, 1e8, 9e9)
			if w.inFlight[0].Server.machineType == 1 {
				n++
			}
			w.completeAll()
		}
		return n
	}
	all := testSettings().Classes
	withRequired, withoutRequired := countRequiredType(all), countRequiredType(all[:3])
	if withRequired > withoutRequired*3/4 {
		t.Errorf(
			"%d of 600 requests sent to a required machine type, want at most 3/4 of the %d if none requires it",
			withRequired, withoutRequired)
	}
}

// TestZoneCrossingCost checks that zones are equal if crossing them costs less than a late answer, and that
// the node's own zone comes first if crossing is expensive.
func TestZoneCrossingCost(t *testing.T) {
	countCrossings := func(price float64) (n int) {
		settings := testSettings()
		settings.CrossZoneCost = price
		w := newHarness(t, 8, settings)
		w.addServers(8, false)
		for range 200 {
			w.arrive(0, 1, 1e8, 9e9)
			if w.inFlight[0].Server.zone != 0 {
				n++
			}
			w.completeAll()
		}
		return n
	}
	if cheap, expensive := countCrossings(0.01), countCrossings(0.1); cheap < 60 || expensive > 10 {
		t.Errorf(
			"%d of 200 requests cross zones at low cost, want at least 60; %d at high cost, want at most 10",
			cheap, expensive)
	}
}

// TestDistantServersComeLast checks that servers outside this node's subset are used only if those in it
// cannot serve a request, nearer ones first. Requests with preferred servers ignore the distance.
func TestDistantServersComeLast(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(9, false)
	for i, m := range w.endpoints {
		m.Server.Distance = i / 3
	}
	attemptsByDistance := func(key uint64) (counts [3]int) {
		for range 60 {
			request := w.keyedRequest(key, 1e7, 5e9)
			w.admit(request)
			for _, attempt := range w.inFlight {
				counts[attempt.Server.Distance]++
			}
			w.completeAll()
			w.advance(1e8)
		}
		return counts
	}
	if u := attemptsByDistance(0); u[0] != 60 {
		t.Errorf("attempts by distance: %v, want all 60 at distance 0", u)
	}
	for _, m := range w.endpoints[:3] {
		m.State = Draining
	}
	w.updateEndpoints(true)
	if u := attemptsByDistance(0); u[1] != 60 {
		t.Errorf("attempts by distance after distance 0 drained: %v, want all 60 at distance 1", u)
	}
	for i, m := range w.endpoints {
		m.State, m.Server.Distance = Up, 0
		if i > 0 {
			m.Server.Distance = 2
		}
	}
	w.updateEndpoints(true)
	if counts := attemptsByDistance(7); counts[2] == 0 {
		t.Errorf("attempts by distance with an affinity key: %v, want some at distance 2", counts)
	}
	// The few nodes that may send to a server in slow start are not those whose subset contains it.
	w.endpoints[3].StartedAt = w.now - 1
	w.updateEndpoints(true)
	w.advance(2 * settings.OverloadWindow)
	if counts := attemptsByDistance(0); counts[2] == 0 {
		t.Errorf("attempts by distance with a distant server in slow start: %v, want some at distance 2",
			counts)
	}
}
