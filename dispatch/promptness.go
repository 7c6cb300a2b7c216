// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// startTimeoutFactor is the factor on the sum of a tick and the minimum start delay that gives the
	// minimum start time-out.
	startTimeoutFactor = 4
	// slackDivisor is the reciprocal of the part of its slack that an attempt may wait for its start.
	slackDivisor = 4
)

// zoneRelation is the location of a server relative to this node's zone.
type zoneRelation int

const (
	ownZone zoneRelation = iota
	otherZone
	zoneRelations // the number of relations
)

// zoneOf returns whether a server is in this node's zone or in another one.
func (d *Dispatcher) zoneOf(server *Server) zoneRelation {
	if server.zone == d.settings.Zone {
		return ownZone
	}
	return otherZone
}

// promptShare is the share of attempts that started promptly in this node's zone or in the others; 1 if
// there is no history.
func (d *Dispatcher) promptShare(zone zoneRelation) float64 {
	starts := d.promptStarts[zone].decay(d.now)
	return (starts.hits + 1) / (starts.total + 1)
}

// minStartTimeout is the shortest time (ns) for which the report of a start is awaited. It is based on the
// minimum delay: with typical delays, it would grow under each congestion, and no limit would ever be
// reduced.
func (d *Dispatcher) minStartTimeout() int64 {
	return startTimeoutFactor * (d.settings.Tick + d.minStartDelay)
}

// startTimeout is how long (ns) an attempt may wait at its server before its start counts as late: a quarter
// of its slack if servers report their load, and the minimum otherwise.
func (d *Dispatcher) startTimeout(attempt *Attempt) int64 {
	if !d.settings.LoadReports {
		return d.minStartTimeout()
	}
	return max(d.minStartTimeout(), d.slack(attempt.Request, attempt.sentAt)/slackDivisor)
}

// slack is how long (ns) after a clock time a request may start and still meet its latency objective. If its
// work is not known, a long request also has a later objective, so the median running time is used.
func (d *Dispatcher) slack(request *Request, from int64) int64 {
	quantile := medianQuantile
	if request.ExpectedWork > 0 {
		quantile = highQuantile
	}
	return request.objectiveAt - d.expectedRuntime(request, quantile) - from
}
