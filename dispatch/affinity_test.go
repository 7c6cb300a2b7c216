// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"strconv"
	"testing"
)

// countServersMet counts the servers that requests of one affinity key are sent to, of all that nodes with
// seeds of their own send.
func countServersMet(t *testing.T, key func(i int) uint64, units func(i int) float64) map[*Server]int {
	t.Helper()
	settings := testSettings()
	settings.LiveCapacity = units != nil
	met := map[*Server]int{}
	var fleet []*Endpoint
	for i := range 20 {
		m := &Endpoint{Server: &Server{Hash: HashName("e" + strconv.Itoa(i))}, Capacity: 1}
		if units != nil {
			m.Capacity = units(i)
		}
		fleet = append(fleet, m)
	}
	for node := range 6 {
		w := newHarness(t, uint64(node), settings)
		for _, m := range fleet {
			w.endpoints = append(w.endpoints, &Endpoint{Server: &Server{Hash: m.Server.Hash}, Capacity: m.Capacity})
		}
		w.updateEndpoints(true)
		for i := range 100 {
			request := w.keyed(key(i), 1e8, 9e9)
			w.admit(request)
			for j, m := range w.endpoints {
				if len(w.open) > 0 && m.Server == w.open[0].Server {
					met[fleet[j].Server]++
				}
			}
			w.completeAll()
		}
	}
	return met
}

// TestAffinityKeysShareServers: requests of one affinity key among many meet on few servers, at all nodes
// alike; where all ask for one key it is spread, and without keys all servers are met.
func TestAffinityKeysShareServers(t *testing.T) {
	most := func(met map[*Server]int) (n int) {
		for _, count := range met {
			n = max(n, count)
		}
		return n
	}
	rare := func(i int) uint64 { return uint64(7 + i%2*(i+100)) } // half are of one affinity key, the others about many
	tenth := func(i int) uint64 { return []uint64{7, uint64(1000 + i)}[min(i%10, 1)] }
	if one := most(countServersMet(t, tenth, nil)); one < 46 {
		t.Errorf("a tenth of all requests are of one affinity key, yet the server met most has %d of 600", one)
	}
	if all := most(countServersMet(t, func(int) uint64 { return 7 }, nil)); all > 150 {
		t.Errorf("all requests are of one affinity key, and one server gets %d of 600", all)
	}
	if met := countServersMet(t, func(int) uint64 { return 0 }, nil); len(met) < 20 || most(met) > 90 {
		t.Errorf("without keys %d of 20 are met, one %d times of 600", len(met), most(met))
	}
	if met := countServersMet(t, rare, nil); len(met) < 15 {
		t.Errorf("%d of 20 are met", len(met))
	}
}

// TestCrowdedPreferredServerGivesWay: where the endpoint list tells of load, a key leaves a preferred server
// that holds more than most, for one more server and no third.
func TestCrowdedPreferredServerGivesWay(t *testing.T) {
	settings := testSettings()
	settings.LiveCapacity = true
	w := newHarness(t, 7, settings)
	w.addServers(12, false)
	for i, m := range w.endpoints {
		m.Server.Hash, m.Capacity = HashName("e"+strconv.Itoa(i)), 4
	}
	w.updateEndpoints(true)
	met := func() map[*Server]int {
		n := map[*Server]int{}
		for i := range 120 { // about forty keys
			request := w.keyed(uint64(2+i%40), 1e8, 9e9)
			w.admit(request)
			if i%40 == 1 {
				n[w.open[0].Server]++
			}
			w.completeAll()
		}
		return n
	}
	preferred := met()
	for range 4 {
		maps.Copy(preferred, met())
	}
	for _, m := range w.endpoints {
		if _, is := preferred[m.Server]; is {
			m.Capacity = 1
		}
	}
	w.updateEndpoints(true)
	now := met()
	for range 4 {
		maps.Copy(now, met())
	}
	fresh := 0
	for server := range now {
		if _, is := preferred[server]; !is {
			fresh++
		}
	}
	if len(preferred) != 2 || len(now) > 3 || fresh != 1 {
		t.Errorf("%d preferred servers, then %d, of these %d new", len(preferred), len(now), fresh)
	}
}

// TestPreferredServersAcrossZones: where a fetch is priced above a crossing, nodes of two zones meet on the
// same preferred server of a key; where crossing is dearer each zone has its own.
func TestPreferredServersAcrossZones(t *testing.T) {
	for _, fetch := range []float64{0, 0.05} {
		met := map[uint64]int{}
		for node := range 20 {
			settings := testSettings()
			settings.CrossZoneCost, settings.FetchCost, settings.Zone = 0.03, fetch, node%2
			w := newHarness(t, uint64(node), settings)
			w.addServers(8, false)
			for i, m := range w.endpoints {
				m.Server.Hash = HashName("e" + strconv.Itoa(i))
			}
			for i := range 200 { // about seven keys, the middle one of three
				request := w.keyed(uint64(2+i%7), 1e8, 9e9)
				w.admit(request)
				if i%7 == 1 {
					met[w.open[0].Server.Hash]++
				}
				w.completeAll()
			}
		}
		if one := len(met) <= 3; one != (fetch > 0) {
			t.Errorf("a fetch at %v, and a key has %d preferred servers", fetch, len(met))
		}
	}
}

// TestSlowStartServersArePreferred: a few nodes at a time may send to a server in slow start; whoever may does,
// whatever the request is about, or by key none of them ever would and what was swapped stands empty.
func TestSlowStartServersArePreferred(t *testing.T) {
	met := 0
	for key := range uint64(20) {
		w := newHarness(t, key, testSettings())
		w.addServers(20, false)
		for i, m := range w.endpoints {
			m.Server.Hash = HashName(strconv.Itoa(i))
		}
		w.advance(3e9)
		w.d.keys.requests = 200 // others are of other keys
		cold := w.endpoints[7]
		cold.StartedAt = w.now - w.settings.SlowStart/2
		w.updateEndpoints(true)
		for range 20 {
			request := w.keyed(key+1, 1e7, 9e9)
			w.admit(request)
			w.completeAll()
			w.advance(1e8)
			if request.Attempts[0].Server == cold.Server {
				met++
				break
			}
		}
	}
	if met < 15 {
		t.Errorf("%d of 20 keys meet the server in slow start", met)
	}
}

// TestOnePreferredServerUnderCongestion: while starts are prompt a key has a second preferred server for when
// the first is full; under congestion the second would fetch as well, and so feed it.
func TestOnePreferredServerUnderCongestion(t *testing.T) {
	for prompt, want := range map[float64]int{9: 2, 0: 1} {
		w := newHarness(t, 2, testSettings())
		w.addServers(20, false)
		for i, m := range w.endpoints {
			m.Server.Hash = HashName(strconv.Itoa(i))
		}
		w.d.keys.requests = 100
		request := &Request{Class: w.settings.Classes[0], AffinityKey: 7, keyState: &keyState{requests: 1}}
		w.d.promptStarts[ownZone] = decayingRatio{9, prompt, w.now}
		search := &candidateSearch{request: request, anyZone: true}
		if preferred := w.d.preferredServers(search); len(preferred) != want {
			t.Errorf("%v of 9 starts prompt: %d preferred servers, want %d", prompt, len(preferred), want)
		}
		// The counts may be halved away while a request waits; it has a preferred server all the same.
		request.keyState.requests, w.d.keys.requests = 0, 5
		if preferred := w.d.preferredServers(search); len(preferred) != want {
			t.Errorf("no count left: %d preferred servers", len(preferred))
		}
	}
}
