// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"strconv"
	"testing"
)

func TestDrawFollowsWeight(t *testing.T) {
	settings := testSettings()
	settings.Classes = settings.Classes[:1] // no other is bound to one of the two kinds
	w := newHarness(t, 1, settings)
	w.addServers(2, false)
	good, bad := w.endpoints[0].Server, w.endpoints[1].Server
	good.scores.count, good.scores.sum, bad.scores.count, bad.scores.sum = 50, 475, 50, 125
	count := 0
	for range 4000 {
		if w.d.draw(undrawn(w.settings), 1)[0] == good {
			count++
		}
	}
	if count < 3000 || count > 3220 { // 3111 by the scores and what its kind adds
		t.Fatalf("%d of 4000 draws for 0.78 of the weight", count)
	}
	bad.reliability = reliability{0.05, w.now}
	for range 100 {
		if w.d.draw(undrawn(w.settings), 1)[0] == bad {
			t.Fatal("drawn below the least H though another remains")
		}
	}
}

// A zone that cannot carry its own traffic must not drown while others idle.
func TestCongestedZoneIsLeft(t *testing.T) {
	settings, far := testSettings(), 0
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
		far += w.d.draw(undrawn(settings), 1)[0].zone
	}
	if far < 80 {
		t.Fatalf("%d of 200 went to the zone with room", far)
	}
}

// A quiet node must keep to servers that were prompt, and leave one that was late.
func TestIdleConnectionsAreReused(t *testing.T) {
	settings, met := testSettings(), map[*Server]bool{}
	settings.IdleTimeout = 5e9
	w := newHarness(t, 1, settings)
	w.addServers(8, false)
	for range 40 {
		met[w.arrive(0, 1, 1e8, 5e9).Attempts[0].Server] = true
		w.completeAll()
		w.advance(1e9)
	}
	if len(met) > 2 {
		t.Fatalf("%d of 8 servers met", len(met))
	}
	for server := range met {
		server.limit = 0.5
	}
	again := 0
	for range 40 {
		if met[w.d.draw(undrawn(settings), 1)[0]] {
			again++
		}
	}
	if again > 20 {
		t.Fatalf("%d of 40 kept to servers that were late", again)
	}
}

// TestLiveCapacityCounts: a server whose weight on the endpoint list has fallen with its load is drawn that
// much less.
func TestLiveCapacityCounts(t *testing.T) {
	units := func(i int) float64 { return []float64{0.5, 4}[i%2] }
	low, high := 0, 0
	for server, n := range countServersMet(t, func(int) uint64 { return 0 }, units) {
		for i := range 20 {
			if server.Hash == HashName("e"+strconv.Itoa(i)) && i%2 == 0 {
				low += n
			} else if server.Hash == HashName("e"+strconv.Itoa(i)) {
				high += n
			}
		}
	}
	if high < 3*low {
		t.Errorf("%d requests to the loaded, %d to the others", low, high)
	}
}

// TestRequiredMachineTypeIsSpared: where one machine type runs a class alone, classes that run anywhere leave
// it room.
func TestRequiredMachineTypeIsSpared(t *testing.T) {
	needed := func(schemes []*Class) (n int) {
		settings := testSettings()
		settings.Classes = schemes
		w := newHarness(t, 8, settings)
		w.addServers(12, false)
		for range 600 {
			w.arrive(0, 1, 1e8, 9e9)
			if w.open[0].Server.machineType == 1 {
				n++
			}
			w.completeAll()
		}
		return n
	}
	all := testSettings().Classes
	bound, free := needed(all), needed(all[:3])
	if bound > free*3/4 {
		t.Errorf("%d of 600 go to the kind that another class needs, %d where none does", bound, free)
	}
}

// TestZoneCrossingCost: zones count alike where crossing costs less than a late answer; the own zone goes first
// where it is expensive.
func TestZoneCrossingCost(t *testing.T) {
	away := func(price float64) (n int) {
		settings := testSettings()
		settings.CrossZoneCost = price
		w := newHarness(t, 8, settings)
		w.addServers(8, false)
		for range 200 {
			w.arrive(0, 1, 1e8, 9e9)
			if w.open[0].Server.zone != 0 {
				n++
			}
			w.completeAll()
		}
		return n
	}
	if cheap, costly := away(0.01), away(0.1); cheap < 60 || costly > 10 {
		t.Errorf("%d of 200 cross where it is cheap, %d where it is dear", cheap, costly)
	}
}

// TestDistantServersComeLast: servers beyond this node's part get work only when those of its part can't take
// it, nearer ones first; a request that has preferred servers goes by these.
func TestDistantServersComeLast(t *testing.T) {
	settings := testSettings()
	w := newHarness(t, 1, settings)
	w.addServers(9, false)
	for i, m := range w.endpoints {
		m.Server.Distance = i / 3
	}
	used := func(key uint64) (used [3]int) {
		for range 60 {
			request := w.keyed(key, 1e7, 5e9)
			w.admit(request)
			for _, attempt := range w.open {
				used[attempt.Server.Distance]++
			}
			w.completeAll()
			w.advance(1e8)
		}
		return used
	}
	if u := used(0); u[0] != 60 {
		t.Errorf("%v", u)
	}
	for _, m := range w.endpoints[:3] {
		m.State = Draining
	}
	w.updateEndpoints(true)
	if u := used(0); u[1] != 60 {
		t.Errorf("with the near ones drained: %v", u)
	}
	for i, m := range w.endpoints {
		m.State, m.Server.Distance = Up, 0
		if i > 0 {
			m.Server.Distance = 2
		}
	}
	w.updateEndpoints(true)
	if preferred := used(7); preferred[2] == 0 {
		t.Errorf("with preferred servers: %v", preferred)
	}
	// The few nodes that may send to a server in slow start are not those that it is near to.
	w.endpoints[3].StartedAt = w.now - 1
	w.updateEndpoints(true)
	w.advance(2 * settings.OverloadWindow)
	if cold := used(0); cold[2] == 0 {
		t.Errorf("far and cold, and in turn: %v", cold)
	}
}
