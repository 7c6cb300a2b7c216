// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// maxKeyedRequests is the number of requests after which the counts by key are halved.
	maxKeyedRequests = 256
	// spareServerShare is the share of late starts up to which a key has one preferred server more.
	spareServerShare = 0.25
	// crowdedFactor is the multiple of the mean load from which a preferred server gives way to the next one.
	crowdedFactor = 1.2
	// otherZonePenalty and crowdedPenalty are added to sample keys. They are more than any hash gives.
	otherZonePenalty = 1e9
	crowdedPenalty   = 2e9
)

// keyState is what the requests of one affinity key have in common. Those without a key go by their tenant.
type keyState struct {
	concurrencyLimit
	requests     int           // counted of late
	retrySuccess decayingRatio // requests that failed and ended elsewhere, and those that succeeded there
	failedServer *Server       // where the last request went badly, if none has gone well since
}

// keyTable holds the states of the keys of late.
type keyTable struct {
	states   map[uint64]*keyState
	requests int // counted in the states
}

// record adds a request to its key's.
func (t *keyTable) record(request *Request) {
	t.requests++
	if t.requests > maxKeyedRequests {
		t.halve()
	}
	key := cmp.Or(request.AffinityKey, ^uint64(request.Tenant))
	state := t.states[key]
	if state == nil {
		state = &keyState{concurrencyLimit: concurrencyLimit{limit: math.Inf(1)}}
		t.states[key] = state
	}
	state.requests++
	request.keyState = state
}

// halve halves all counts and drops the keys that have none left and nothing in flight.
func (t *keyTable) halve() {
	t.requests /= 2
	maps.DeleteFunc(t.states, func(_ uint64, state *keyState) bool {
		state.requests /= 2
		return state.requests < 1 && state.slotsInFlight == 0
	})
}

// considerPreferred considers the preferred servers of a request's affinity key for a draw.
func (d *Dispatcher) considerPreferred(s *candidateSearch) {
	// With preferred servers in each zone, each zone would fetch the data.
	s.anyZone = s.anyZone || d.settings.CrossZoneCost < d.settings.FetchCost
	for _, server := range d.preferredServers(s) {
		d.consider(s, server)
	}
}

// preferredCount is the number of servers for a key: as many as its part of this node's requests needs, and one
// more while most starts are prompt. Under congestion the store that all servers fetch from is short as well.
func (d *Dispatcher) preferredCount(state *keyState) int {
	spare := int(d.promptShare(ownZone) + spareServerShare)
	needed := (len(d.servers.all)*max(state.requests-1, 0) + d.keys.requests/2) / d.keys.requests
	return 1 + spare + needed
}

// preferredServers are the few servers that the requests of an affinity key are drawn among. What a server must
// fetch for each request would overload the store that all fetch from.
func (d *Dispatcher) preferredServers(s *candidateSearch) []*Server {
	count := d.preferredCount(s.request.keyState)
	withStandby := count + 1 // takes the place of a crowded one
	d.preferred = d.preferred[:0]
	for _, server := range d.servers.all {
		server.sampleKey = d.affinityOrder(s, server)
		if len(d.preferred) >= withStandby && server.sampleKey > d.preferred[withStandby-1].sampleKey {
			continue
		}
		if d.outlier(server) || !d.allowed(s.request, server) {
			continue
		}
		if server.sampleKey == 0 { // in slow start
			count++
			withStandby++
		}
		i, _ := slices.BinarySearchFunc(d.preferred, server, bySampleKey)
		d.preferred = slices.Insert(d.preferred, i, server)
	}
	if len(d.preferred) == 0 {
		return d.servers.all
	}
	d.preferred = d.preferred[:min(withStandby, len(d.preferred))]
	d.putCrowdedLast(d.preferred)
	return d.preferred[:min(count, len(d.preferred))]
}

// affinityOrder is a number for a key and a server, the same at all nodes. The servers with the least are
// preferred, by their sizes. Few nodes at a time may send to a server in slow start, and hardly any would by
// the key; so it comes first.
func (d *Dispatcher) affinityOrder(s *candidateSearch, server *Server) float64 {
	if d.settings.warmUpFactor(server, d.now) < 1 {
		return 0
	}
	const fraction = 53 // bits
	hash := rand.NewPCG(s.request.AffinityKey, server.Hash).Uint64()
	uniform := float64(hash>>(64-fraction)+1) / (1 << fraction)
	order := -math.Log(uniform) / server.size
	if s.request.Class.MachineType < 0 && server.typeStats.required {
		order /= requiredTypeFactor
	}
	if !s.anyZone && server.zone != d.settings.Zone {
		order += otherZonePenalty
	}
	return order
}

// putCrowdedLast moves the servers that the endpoint list tells of more than the mean load behind the others.
func (d *Dispatcher) putCrowdedLast(servers []*Server) {
	if d.settings.LiveCapacity {
		crowded := max(crowdedFactor*d.load/float64(len(d.servers.all)), 1)
		for _, server := range servers {
			if server.sampleKey > 0 && server.load() > crowded {
				server.sampleKey += crowdedPenalty
			}
		}
	}
	slices.SortStableFunc(servers, bySampleKey)
}

// adjustKeyLimit moves the limit in flight of an affinity key, or of a tenant whose requests have none, by how
// an attempt went. What waits for one lock behind all servers would hold their slots, and requests that don't
// need it would starve.
func (d *Dispatcher) adjustKeyLimit(attempt *Attempt, outcome Outcome, retrySuccess float64) {
	request := attempt.Request
	hasKey := request.AffinityKey != 0
	if !hasKey && len(d.settings.Tenants) <= 1 {
		return
	}
	runtime := d.now - max(attempt.sentAt, attempt.startedAt)
	overdue := float64(runtime) > overdueFactor*float64(d.expectedRuntime(request, medianQuantile))
	fails := retrySuccess < likelyRetrySuccess
	// Requests of one key are alike. Long running times alone say nothing of a tenant's.
	bad := overdue && fails
	if hasKey {
		bad = overdue || outcome == Failed && fails
	}
	if bad {
		d.recordBadRun(attempt)
	} else if outcome == Succeeded {
		request.keyState.recordGoodRun(request.Slots)
	}
}

// recordGoodRun raises the limit of a key after an attempt with so many slots that went well.
func (s *keyState) recordGoodRun(slots float64) {
	s.failedServer = nil
	s.grow(s.slotsInFlight + slots)
}

// recordBadRun reduces the limit of a key as the second server in a row agrees that it is not the server's
// fault.
func (d *Dispatcher) recordBadRun(attempt *Attempt) {
	state := attempt.Request.keyState
	if state.failedServer == nil || state.failedServer == attempt.Server {
		state.failedServer = attempt.Server
		return
	}
	d.reduceLimit(&state.concurrencyLimit, attempt.sentAt, state.slotsInFlight+attempt.Request.Slots)
}
