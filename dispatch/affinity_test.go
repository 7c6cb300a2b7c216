// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"strconv"
	"testing"
)

// countServersUsed counts the requests that each server receives from six nodes with different seeds. key
// gives the affinity key of each request (0: none); units, if not nil, gives the servers' capacities.
func countServersUsed(t *testing.T, key func(i int) uint64, units func(i int) float64) map[*Server]int {
	t.Helper()
	settings := testSettings()
	settings.LiveCapacity = units != nil
	used := map[*Server]int{}
	var endpoints []*Endpoint
	for i := range 20 {
		m := &Endpoint{Server: &Server{Hash: HashName("e" + strconv.Itoa(i))}, Capacity: 1}
		if units != nil {
			m.Capacity = units(i)
		}
		endpoints = append(endpoints, m)
	}
	for node := range 6 {
		w := newHarness(t, uint64(node), settings)
		for _, m := range endpoints {
			w.endpoints = append(w.endpoints,
				&Endpoint{Server: &Server{Hash: m.Server.Hash}, Capacity: m.Capacity})
		}
		w.updateEndpoints(true)
		for i := range 100 {
			request := w.keyedRequest(key(i), 1e8, 9e9)
			w.admit(request)
			for j, m := range w.endpoints {
				if len(w.inFlight) > 0 && m.Server == w.inFlight[0].Server {
					used[endpoints[j].Server]++
				}
			}
			w.completeAll()
		}
	}
	return used
}

// TestAffinityKeysShareServers checks that the requests of one affinity key among many go to the same few
// servers at all nodes, that a key that all requests use is spread over more servers, and that requests
// without a key use all servers.
func TestAffinityKeysShareServers(t *testing.T) {
	maxRequests := func(used map[*Server]int) (n int) {
		for _, count := range used {
			n = max(n, count)
		}
		return n
	}
	rare := func(i int) uint64 { return uint64(7 + i%2*(i+100)) } // half have one key, the others many
	tenth := func(i int) uint64 { return []uint64{7, uint64(1000 + i)}[min(i%10, 1)] }
	if one := maxRequests(countServersUsed(t, tenth, nil)); one < 46 {
		t.Errorf(
			"a tenth of the requests have one key: one server got at most %d of 600 requests, want at least 46",
			one)
	}
	if all := maxRequests(countServersUsed(t, func(int) uint64 { return 7 }, nil)); all > 150 {
		t.Errorf("all requests have one key: one server got %d of 600 requests, want at most 150",
			all)
	}
	if used := countServersUsed(t, func(int) uint64 { return 0 }, nil); len(used) < 20 ||
		maxRequests(used) > 90 {
		t.Errorf(
			"no keys: %d of 20 servers used, want 20; the most used got %d of 600 requests, want at most 90",
			len(used), maxRequests(used))
	}
	if used := countServersUsed(t, rare, nil); len(used) < 15 {
		t.Errorf("half of the requests have rare keys: %d of 20 servers used, want at least 15", len(used))
	}
}

// TestCrowdedPreferredServerIsReplaced checks that a key with preferred servers that are loaded above the
// mean, according to the endpoint list, gets one additional server and not a third one.
func TestCrowdedPreferredServerIsReplaced(t *testing.T) {
	settings := testSettings()
	settings.LiveCapacity = true
	w := newHarness(t, 7, settings)
	w.addServers(12, false)
	for i, m := range w.endpoints {
		m.Server.Hash, m.Capacity = HashName("e"+strconv.Itoa(i)), 4
	}
	w.updateEndpoints(true)
	serversOfKey := func() map[*Server]int {
		n := map[*Server]int{}
		for i := range 120 { // forty keys
			request := w.keyedRequest(uint64(2+i%40), 1e8, 9e9)
			w.admit(request)
			if i%40 == 1 {
				n[w.inFlight[0].Server]++
			}
			w.completeAll()
		}
		return n
	}
	preferred := serversOfKey()
	for range 4 {
		maps.Copy(preferred, serversOfKey())
	}
	for _, m := range w.endpoints {
		if _, found := preferred[m.Server]; found {
			m.Capacity = 1
		}
	}
	w.updateEndpoints(true)
	afterwards := serversOfKey()
	for range 4 {
		maps.Copy(afterwards, serversOfKey())
	}
	added := 0
	for server := range afterwards {
		if _, found := preferred[server]; !found {
			added++
		}
	}
	if len(preferred) != 2 || len(afterwards) > 3 || added != 1 {
		t.Errorf("got %d preferred servers, want 2; under load %d, want at most 3; of these %d new, want 1",
			len(preferred), len(afterwards), added)
	}
}

// TestPreferredServersAcrossZones checks that nodes of two zones use the same preferred servers of a key if
// a fetch costs more than crossing zones, and that otherwise each zone has its own.
func TestPreferredServersAcrossZones(t *testing.T) {
	for _, fetch := range []float64{0, 0.05} {
		used := map[uint64]int{}
		for node := range 20 {
			settings := testSettings()
			settings.CrossZoneCost, settings.FetchCost, settings.Zone = 0.03, fetch, node%2
			w := newHarness(t, uint64(node), settings)
			w.addServers(8, false)
			for i, m := range w.endpoints {
				m.Server.Hash = HashName("e" + strconv.Itoa(i))
			}
			for i := range 200 { // seven keys, of which one is checked
				request := w.keyedRequest(uint64(2+i%7), 1e8, 9e9)
				w.admit(request)
				if i%7 == 1 {
					used[w.inFlight[0].Server.Hash]++
				}
				w.completeAll()
			}
		}
		if shared := len(used) <= 3; shared != (fetch > 0) {
			t.Errorf(
				"fetch cost %v: a key has %d preferred servers, want at most 3 only if a fetch has a cost",
				fetch, len(used))
		}
	}
}

// TestSlowStartServersArePreferred guards against idle servers after a replacement. Only a few nodes at a
// time may send to a server in slow start. Such a node must prefer it for every key, or hardly any request
// would reach it.
func TestSlowStartServersArePreferred(t *testing.T) {
	keysServed := 0
	for key := range uint64(20) {
		w := newHarness(t, key, testSettings())
		w.addServers(20, false)
		for i, m := range w.endpoints {
			m.Server.Hash = HashName(strconv.Itoa(i))
		}
		w.advance(3e9)
		w.d.keys.requests = 200 // counted for other keys
		slowStarting := w.endpoints[7]
		slowStarting.StartedAt = w.now - w.settings.SlowStart/2
		w.updateEndpoints(true)
		for range 20 {
			request := w.keyedRequest(key+1, 1e7, 9e9)
			w.admit(request)
			w.completeAll()
			w.advance(1e8)
			if request.Attempts[0].Server == slowStarting.Server {
				keysServed++
				break
			}
		}
	}
	if keysServed < 15 {
		t.Errorf("%d of 20 keys used the server in slow start, want at least 15", keysServed)
	}
}

// TestOnePreferredServerUnderCongestion checks that a key has a second preferred server only while starts
// are prompt. Under congestion the second server would fetch data as well, and so increase the congestion.
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
		// The counts may be halved to 0 while a request waits; the key still has preferred servers.
		request.keyState.requests, w.d.keys.requests = 0, 5
		if preferred := w.d.preferredServers(search); len(preferred) != want {
			t.Errorf("counts halved to 0: got %d preferred servers, want %d", len(preferred), want)
		}
	}
}
