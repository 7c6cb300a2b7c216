// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// keyState is what some txns are about.
type keyState struct {
	concurrencyLimit
	requests     int           // of the txns counted
	retrySuccess decayingRatio // its txns that erred and went elsewhere, and those of them served there
	failedServer *Server       // where the last one ended badly, with none that ended well since
}

// recordKey adds a txn to those about one thing; without a key that is its tenant.
func (d *Dispatcher) recordKey(request *Request) {
	if d.keyedRequests++; d.keyedRequests > maxKeyedRequests {
		d.keyedRequests /= 2
		maps.DeleteFunc(d.keyStates, func(_ uint64, h *keyState) bool { h.requests /= 2; return h.requests < 1 && h.slotsInFlight == 0 })
	}
	key := cmp.Or(request.AffinityKey, ^uint64(request.Tenant))
	if request.keyState = d.keyStates[key]; request.keyState == nil {
		request.keyState = &keyState{concurrencyLimit: concurrencyLimit{limit: math.Inf(1)}}
		d.keyStates[key] = request.keyState
	}
	request.keyState.requests++
}

// preferredServers are the few that txns about one thing are drawn among: by a chance that all nodes share, and by size.
// Danger: what an executor must fetch for each txn jams the store for all, and the jam feeds itself.
func (d *Dispatcher) preferredServers(request *Request, roam bool) []*Server {
	count := 1 + int(d.promptShare(ownZone)+spareServerShare) + (len(d.servers.all)*max(request.keyState.requests-1, 0)+d.keyedRequests/2)/d.keyedRequests
	// Danger: what waits at a crowded home is late; what goes on and on is fetched everywhere. One stands by.
	few := count
	d.preferred, count = d.preferred[:0], count+1
	for _, server := range d.servers.all {
		luck := float64(rand.NewPCG(request.AffinityKey, server.Hash).Uint64()>>11+1) / (1 << 53)
		if server.sampleKey = -math.Log(luck) / server.size; request.Class.MachineType < 0 && server.typeStats.required {
			server.sampleKey /= requiredTypeFactor
		}
		// Danger: a few nodes at a time may send to a cold one; by key none of them ever would.
		if d.settings.warmUpFactor(server, d.now) < 1 {
			server.sampleKey = 0
		} else if !roam && server.zone != d.settings.Zone {
			server.sampleKey += 1e9
		}
		if len(d.preferred) >= count && server.sampleKey > d.preferred[count-1].sampleKey || d.outlier(server) || !d.allowed(request, server) {
			continue
		}
		if server.sampleKey == 0 {
			count, few = count+1, few+1
		}
		i, _ := slices.BinarySearchFunc(d.preferred, server, bySampleKey)
		d.preferred = slices.Insert(d.preferred, i, server)
	}
	if len(d.preferred) == 0 {
		return d.servers.all
	}
	d.preferred = d.preferred[:min(count, len(d.preferred))]
	for _, server := range d.preferred {
		if d.settings.LiveCapacity && server.sampleKey > 0 && server.size/server.spareFactor-1 > max(crowdedFactor*d.load/float64(len(d.servers.all)), 1) {
			server.sampleKey += 2e9
		}
	}
	slices.SortStableFunc(d.preferred, bySampleKey)
	return d.preferred[:min(few, len(d.preferred))]
}

// adjustKeyLimit moves the limit in flight of an affinity key, or of a tenant whose requests have none, by how an attempt went. What waits
// for one lock behind all servers would hold their slots, and requests that don't need it would starve.
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

// recordBadRun reduces the limit of a key as the second server in a row agrees that it is not the server's fault.
func (d *Dispatcher) recordBadRun(attempt *Attempt) {
	state := attempt.Request.keyState
	if state.failedServer == nil || state.failedServer == attempt.Server {
		state.failedServer = attempt.Server
		return
	}
	d.reduceLimit(&state.concurrencyLimit, attempt.sentAt, state.slotsInFlight+attempt.Request.Slots)
}
