// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

const (
	// failureFactor multiplies reliability at a time-out, a failed connection or an error.
	failureFactor = 0.3
	// successBonus is added to reliability by a success.
	successBonus = 0.15
	// minReliability is the reliability under which a server is an outlier.
	minReliability = 0.1
	// fullRecovery is the number of time constants after which reliability counts as 1 again.
	fullRecovery = 7
	// ownResultLifetime (ns) is how long a success of this node counts for more than what other nodes say of
	// the server.
	ownResultLifetime = 1e9
)

// reliability is a factor on a server's weight, from 0 to 1. It falls by failures, rises by successes and
// returns to 1 with time.
type reliability struct {
	value     float64
	updatedAt int64 // clock time, ns
}

// at is the reliability at a clock time.
func (r *reliability) at(now int64) float64 {
	// Nearly all servers are at 1, and the exponential is the most expensive step of a draw.
	if r.value == 1 || float64(now-r.updatedAt) > fullRecovery*decayTime {
		return 1
	}
	return 1 - (1-r.value)*math.Exp(-float64(now-r.updatedAt)/decayTime)
}

// recordSuccess raises the reliability.
func (r *reliability) recordSuccess(now int64) {
	*r = reliability{min(r.at(now)+successBonus, 1), now}
}

// recordFailure lowers the reliability by a whole failure, or by the share of it that the server is to blame
// for.
func (r *reliability) recordFailure(share float64, now int64) {
	*r = reliability{r.at(now) * (1 - (1-failureFactor)*share), now}
}

// effectiveReliability is the server's reliability, or less where many nodes together say so and this one had
// no success there of late. Without them each of many nodes would have to find out at its own requests' cost; a
// fresh success is newer than what they say.
func (d *Dispatcher) effectiveReliability(server *Server) float64 {
	own := server.reliability.at(d.now)
	if server.OutlierScore > 0 && d.now-server.idleUntil+d.settings.IdleTimeout > ownResultLifetime {
		return min(own, 1-server.OutlierScore)
	}
	return own
}

// outlier says whether a server is left out while others remain.
func (d *Dispatcher) outlier(server *Server) bool {
	return d.effectiveReliability(server) < minReliability
}

// recordFailure counts an attempt as lost in its server's reliability and scores, once, by the server's share
// of the blame.
func (d *Dispatcher) recordFailure(attempt *Attempt, share float64) {
	if attempt.failureRecorded {
		return
	}
	attempt.failureRecorded = true
	attempt.Server.reliability.recordFailure(share, d.now)
	d.recordRank(attempt.Request, recentResult{server: attempt.Server, lost: true})
}

// retrySuccessRate is the chance that a request which failed succeeds at another server, as those of its key
// and class did. Where it is low the fault lies with the request, or with what is behind all servers.
func (d *Dispatcher) retrySuccessRate(request *Request) float64 {
	ofClass := d.retrySuccess[request.Class.Index].decay(d.now)
	ofKey := request.keyState.retrySuccess.decay(d.now)
	return (ofKey.hits + (ofClass.hits+1)/(ofClass.total+1)) / (ofKey.total + 1)
}
