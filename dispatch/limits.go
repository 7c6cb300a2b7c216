// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// initialLimit is the number of slots that may be in flight at a server of which nothing is known.
	initialLimit = 4.0
	// limitGrowth is the number of slots that a limit grows by at a prompt start; in proportion less for a
	// limit under one.
	limitGrowth = 0.25
	// limitReduction is the share of a limit that is left when an attempt had to wait.
	limitReduction = 0.5
)

// concurrencyLimit bounds the slots in flight at a server, or those of the requests of one affinity key.
type concurrencyLimit struct {
	slotsInFlight float64
	limit         float64
	lastEndedAt   int64 // when the latest attempt ended
	reducedAt     int64 // when the limit was last reduced
}

// exceeded says whether so many slots more are over the limit. A limit under one is a pause after each attempt,
// in proportion to a running time (ns): of many nodes each has less than one attempt at a small server.
func (l *concurrencyLimit) exceeded(slots float64, now, runtime int64) bool {
	if l.slotsInFlight > 0 {
		return l.slotsInFlight+slots > l.limit
	}
	return l.slotsInFlight == 0 && float64(now-l.lastEndedAt) < (1/min(l.limit, 1)-1)*float64(runtime)
}

// grow raises the limit after a prompt start if the limit was nearly reached.
func (l *concurrencyLimit) grow(slotsInFlight float64) {
	if slotsInFlight+1 >= l.limit {
		l.limit += limitGrowth * min(l.limit, 1)
	}
}

// reduceLimit reduces a limit after an attempt that had to wait with so many slots in flight, to this node's
// share of one slot at the least. A hold-up makes all attempts late, so the limit falls once for all that were
// sent before it fell.
func (d *Dispatcher) reduceLimit(limit *concurrencyLimit, sentAt int64, slotsInFlight float64) {
	if sentAt < limit.reducedAt {
		return
	}
	least := 1 / float64(max(d.settings.Nodes, 1))
	limit.limit = max(limitReduction*min(limit.limit, slotsInFlight), least)
	limit.reducedAt = d.now
}

// recordLateStart reduces a server's limit after an attempt that was rejected or had to wait.
func (d *Dispatcher) recordLateStart(attempt *Attempt, slotsInFlight float64) {
	server := attempt.Server
	d.promptStarts[d.zoneOf(server)].decay(d.now).record(false)
	d.reduceLimit(&server.concurrencyLimit, attempt.sentAt, slotsInFlight)
	d.recordLowLimit(server)
}

// recordPromptStart raises a server's limit after an attempt that started at once, and gives back what
// rejections took: a server that rejects though it is not full would stand empty otherwise, and a full one
// doesn't start anything at once.
func (d *Dispatcher) recordPromptStart(server *Server) {
	d.promptStarts[d.zoneOf(server)].decay(d.now).record(true)
	server.limit = max(server.limit, server.limitBeforeRejections)
	server.limitBeforeRejections = 0
	server.lateStarts = 0
	server.grow(server.slotsInFlight)
	d.growLowLimits()
}

// growLowLimits raises all limits under the initial one a little. A server with one long request has no starts
// that raise its own, and one under a low limit gets few.
func (d *Dispatcher) growLowLimits() {
	servers := float64(len(d.servers.all))
	d.lowLimit.visitAll(func(server *Server) (keep bool) {
		grown := server.limit + limitGrowth/2*min(server.limit, 1)/servers
		server.limit = max(server.limit, min(grown, initialLimit))
		return server.limit < initialLimit
	})
}

// recordLowLimit notes a server whose limit is under the initial one.
func (d *Dispatcher) recordLowLimit(server *Server) {
	if server.listed && server.limit < initialLimit {
		d.lowLimit.add(server)
	}
}
