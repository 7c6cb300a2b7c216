// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// startTimeoutFactor is the multiple of a tick and the least start delay that a start is waited for at the least.
	startTimeoutFactor = 4
	// slackParts is one over the part of its slack that an attempt may wait for its start.
	slackParts = 4
)

// zoneRelation says where a server is, seen from this node.
type zoneRelation int

const (
	ownZone zoneRelation = iota
	otherZone
	zoneRelations // their number
)

// zoneOf says whether a server is in this node's zone.
func (d *Dispatcher) zoneOf(server *Server) zoneRelation {
	if server.zone == d.settings.Zone {
		return ownZone
	}
	return otherZone
}

// promptShare is the share of attempts that started promptly in this zone or the others; one while nothing is
// known.
func (d *Dispatcher) promptShare(zone zoneRelation) float64 {
	starts := d.promptStarts[zone].decay(d.now)
	return (starts.hits + 1) / (starts.total + 1)
}

// minStartTimeout is how long (ns) the report of a start is waited for at the least. It is taken from the least
// delay: one taken from usual delays would grow with every congestion, and no limit would ever fall.
func (d *Dispatcher) minStartTimeout() int64 {
	return startTimeoutFactor * (d.settings.Tick + d.minStartDelay)
}

// startTimeout is how long (ns) an attempt may wait at its server before the start counts as late: a quarter of
// its slack.
func (d *Dispatcher) startTimeout(attempt *Attempt) int64 {
	if !d.settings.LoadReports {
		return d.minStartTimeout()
	}
	return max(d.minStartTimeout(), d.slack(attempt.Request, attempt.sentAt)/slackParts)
}

// slack is the time (ns) from a clock time on that a request may wait for its start and still meet its latency
// objective. Where its work is not known, a long request has a late objective too, so the median running time
// is taken for it.
func (d *Dispatcher) slack(request *Request, from int64) int64 {
	quantile := medianQuantile
	if request.ExpectedWork > 0 {
		quantile = highQuantile
	}
	return request.objectiveAt - d.expectedRuntime(request, quantile) - from
}
