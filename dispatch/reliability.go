// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

const (
	// failureFactor is the factor on reliability after a time-out, a failed connection or an error.
	failureFactor = 0.3
	// successBonus is added to reliability after a success.
	successBonus = 0.15
	// minReliability is the reliability below which a server is an outlier.
	minReliability = 0.1
	// fullRecovery is the number of time constants after which reliability counts as 1 again.
	fullRecovery = 7
	// ownResultLifetime (ns) is how long a success at this node takes precedence over the other nodes'
	// reports about the server.
	ownResultLifetime = 1e9
)

// reliability is a factor on a server's weight, from 0 to 1. Failures lower it, successes raise it, and it
// returns to 1 over time.
type reliability struct {
	value     float64
	updatedAt int64 // clock time, ns
}

// at is the reliability at a clock time.
func (r *reliability) at(now int64) float64 {
	// Nearly all servers have reliability 1, and the exponential is the most expensive step of a draw.
	if r.value == 1 || float64(now-r.updatedAt) > fullRecovery*decayTime {
		return 1
	}
	return 1 - (1-r.value)*math.Exp(-float64(now-r.updatedAt)/decayTime)
}

// recordSuccess raises the reliability.
func (r *reliability) recordSuccess(now int64) {
	*r = reliability{min(r.at(now)+successBonus, 1), now}
}

// recordFailure lowers the reliability by the effect of one failure, scaled by the server's part of the
// blame (0 to 1).
func (r *reliability) recordFailure(blame float64, now int64) {
	*r = reliability{r.at(now) * (1 - (1-failureFactor)*blame), now}
}

// effectiveReliability is the server's reliability at this node. It is lower if many nodes together report a
// lower one and this node had no recent success there. Without the reports, each of many nodes would have to
// detect an unreliable server with its own requests. A recent success is newer information than the reports.
func (d *Dispatcher) effectiveReliability(server *Server) float64 {
	own := server.reliability.at(d.now)
	if server.OutlierScore > 0 && d.now-server.idleUntil+d.settings.IdleTimeout > ownResultLifetime {
		return min(own, 1-server.OutlierScore)
	}
	return own
}

// outlier reports whether a server is excluded while other servers remain.
func (d *Dispatcher) outlier(server *Server) bool {
	return d.effectiveReliability(server) < minReliability
}

// recordFailure records an attempt as failed in its server's reliability, by the server's part of the blame,
// and in its rank scores. It does so once per attempt.
func (d *Dispatcher) recordFailure(attempt *Attempt, blame float64) {
	if attempt.failureRecorded {
		return
	}
	attempt.failureRecorded = true
	attempt.Server.reliability.recordFailure(blame, d.now)
	d.recordRank(attempt.Request, recentResult{server: attempt.Server, failed: true})
}

// retrySuccessRate is the probability that a failed request succeeds at another server, estimated from
// earlier retries of its key and class. A low rate means that the fault lies with the request, or with a
// service behind all servers.
func (d *Dispatcher) retrySuccessRate(request *Request) float64 {
	ofClass := d.retrySuccess[request.Class.Index].decay(d.now)
	ofKey := request.keyState.retrySuccess.decay(d.now)
	return (ofKey.hits + (ofClass.hits+1)/(ofClass.total+1)) / (ofKey.total + 1)
}
