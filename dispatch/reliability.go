// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// reliability is H, drifted back towards 1 up to now.
func (d *Dispatcher) reliability(server *Server) float64 {
	// Danger: nearly all executors are well; working out a drift for each at every draw is the dearest step.
	if server.reliability == 1 || float64(d.now-server.reliabilityAt) > 7*decayTime {
		return 1
	}
	return 1 - (1-server.reliability)*math.Exp(-float64(d.now-server.reliabilityAt)/decayTime)
}

// effectiveReliability is H, or less where many other nodes say so and no job of this one ended well there of late.
// Danger: old news that beats a fresh outcome; or each of many nodes finds out for itself, at its txns' cost.
func (d *Dispatcher) effectiveReliability(server *Server) float64 {
	if server.OutlierScore > 0 && d.now-server.idleUntil+d.settings.IdleTimeout > ownResultLifetime {
		return min(d.reliability(server), 1-server.OutlierScore)
	}
	return d.reliability(server)
}

// outlier says whether the executor is left out while others remain.
func (d *Dispatcher) outlier(server *Server) bool {
	return d.effectiveReliability(server) < minReliability
}

// recordFailure counts a posting as lost, once; in part where the executor is at fault by that part.
func (d *Dispatcher) recordFailure(attempt *Attempt, part float64) {
	if server := attempt.Server; !attempt.failureRecorded {
		attempt.failureRecorded, server.reliability, server.reliabilityAt = true, d.reliability(server)*(1-(1-failureFactor)*part), d.now
		d.recordRank(attempt, 0, true)
	}
}

// retrySuccessRate is the chance that a txn which erred is served elsewhere, as others of its thing and scheme were.
func (d *Dispatcher) retrySuccessRate(request *Request) float64 {
	s, k := d.retrySuccess[request.Class.Index].decay(d.now), request.keyState.retrySuccess.decay(d.now)
	return (k.hits + (s.hits+1)/(s.total+1)) / (k.total + 1)
}
