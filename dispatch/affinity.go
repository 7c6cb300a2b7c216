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
	// maxKeyedRequests is the number of counted requests above which the counts of all keys are halved.
	maxKeyedRequests = 256
	// spareServerShare is the share of late starts up to which a key has one additional preferred server.
	spareServerShare = 0.25
	// crowdedFactor is the multiple of the mean load above which a preferred server is replaced by the next
	// one.
	crowdedFactor = 1.2
	// otherZonePenalty and crowdedPenalty are added to sample keys. Both exceed any value derived from a
	// hash.
	otherZonePenalty = 1e9
	crowdedPenalty   = 2e9
)

// keyState is the state shared by all requests of one affinity key. Requests without a key share a state by
// tenant.
type keyState struct {
	concurrencyLimit
	requests     int           // recent requests; halved from time to time
	retrySuccess decayingRatio // retries at another server after a failure, and the successful ones
	failedServer *Server       // server of the latest adverse outcome; nil after a success
}

// keyTable holds the states of recently used keys.
type keyTable struct {
	states   map[uint64]*keyState
	requests int // sum of the requests counted in the states
}

// record counts a request in the state of its key.
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

// halve halves all counts. It deletes the keys whose count is then 0 and that have no slots in flight.
func (t *keyTable) halve() {
	t.requests /= 2
	maps.DeleteFunc(t.states, func(_ uint64, state *keyState) bool {
		state.requests /= 2
		return state.requests < 1 && state.slotsInFlight == 0
	})
}

// considerPreferred considers the preferred servers of the request's affinity key in a draw.
func (d *Dispatcher) considerPreferred(s *candidateSearch) {
	// If each zone had its own preferred servers, each zone would fetch the data separately.
	s.anyZone = s.anyZone || d.settings.CrossZoneCost < d.settings.FetchCost
	for _, server := range d.preferredServers(s) {
		d.consider(s, server)
	}
}

// preferredCount is the number of preferred servers of a key: one, plus the number that corresponds to the
// key's part of this node's requests, plus a spare one while most starts are prompt. Under congestion there
// is no spare server, since the store that all servers fetch from is short of capacity as well.
func (d *Dispatcher) preferredCount(state *keyState) int {
	spare := int(d.promptShare(ownZone) + spareServerShare)
	needed := (len(d.servers.all)*max(state.requests-1, 0) + d.keys.requests/2) / d.keys.requests
	return 1 + spare + needed
}

// preferredServers returns the few servers among which the requests of an affinity key are drawn. If each
// request went to any server, the data that servers fetch would overload the store that all of them fetch
// from.
func (d *Dispatcher) preferredServers(s *candidateSearch) []*Server {
	count := d.preferredCount(s.request.keyState)
	withStandby := count + 1 // one more, to replace a crowded server
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

// affinityOrder is a number for a key and a server that is the same at all nodes. The servers with the
// lowest numbers are preferred, and larger servers are more likely to have low ones. A server in slow start
// has the number 0 and comes first: only few nodes at a time may send to it, and by the hash hardly any of
// them would.
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

// putCrowdedLast moves the servers whose load in the endpoint list is above crowdedFactor times the mean
// behind the others.
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

// adjustKeyLimit adjusts the limit of slots in flight of an affinity key, or of a tenant whose requests have
// no key, after an attempt. Requests that wait for one lock behind all servers would otherwise occupy slots
// at every server, and requests that do not need the lock would starve.
func (d *Dispatcher) adjustKeyLimit(attempt *Attempt, outcome Outcome, retrySuccess float64) {
	request := attempt.Request
	hasKey := request.AffinityKey != 0
	if !hasKey && len(d.settings.Tenants) <= 1 {
		return
	}
	runtime := d.now - max(attempt.sentAt, attempt.startedAt)
	overdue := float64(runtime) > overdueFactor*float64(d.expectedRuntime(request, medianQuantile))
	retryUnlikely := retrySuccess < likelyRetrySuccess
	// Requests of one key are alike. Requests of a tenant vary, so long running times alone do not count
	// against it.
	adverse := overdue && retryUnlikely
	if hasKey {
		adverse = overdue || outcome == Failed && retryUnlikely
	}
	if adverse {
		d.recordAdverseOutcome(attempt)
	} else if outcome == Succeeded {
		request.keyState.recordSuccess(request.Slots)
	}
}

// recordSuccess raises the limit of a key after a successful attempt that occupied the given number of
// slots.
func (s *keyState) recordSuccess(slots float64) {
	s.failedServer = nil
	s.grow(s.slotsInFlight + slots)
}

// recordAdverseOutcome reduces the limit of a key when two different servers in a row had an adverse
// outcome. One server alone may itself be at fault.
func (d *Dispatcher) recordAdverseOutcome(attempt *Attempt) {
	state := attempt.Request.keyState
	if state.failedServer == nil || state.failedServer == attempt.Server {
		state.failedServer = attempt.Server
		return
	}
	d.reduceLimit(&state.concurrencyLimit, attempt.sentAt, state.slotsInFlight+attempt.Request.Slots)
}
