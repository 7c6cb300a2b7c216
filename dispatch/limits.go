// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// initialLimit is the limit of slots in flight at a server without history.
	initialLimit = 4.0
	// limitGrowth is the number of slots by which a prompt start raises a limit. A limit below one grows by
	// proportionally less.
	limitGrowth = 0.25
	// limitReduction is the factor by which a limit is reduced after an attempt had to wait.
	limitReduction = 0.5
)

// concurrencyLimit bounds the slots in flight at a server, or those of the requests of one affinity key.
type concurrencyLimit struct {
	slotsInFlight float64
	limit         float64
	lastEndedAt   int64 // when the latest attempt ended
	reducedAt     int64 // when the limit was last reduced
}

// exceeded reports whether the given number of additional slots would exceed the limit. A limit below one
// means a pause after each attempt, in proportion to a running time (ns): with many nodes, each one may send
// less than one attempt at a time to a small server.
func (l *concurrencyLimit) exceeded(slots float64, now, runtime int64) bool {
	if l.slotsInFlight > 0 {
		return l.slotsInFlight+slots > l.limit
	}
	return l.slotsInFlight == 0 && float64(now-l.lastEndedAt) < (1/min(l.limit, 1)-1)*float64(runtime)
}

// grow raises the limit after a prompt start if the slots in flight were within one of the limit.
func (l *concurrencyLimit) grow(slotsInFlight float64) {
	if slotsInFlight+1 >= l.limit {
		l.limit += limitGrowth * min(l.limit, 1)
	}
}

// reduceLimit reduces a limit after an attempt had to wait with the given number of slots in flight, but not
// below this node's equal part of one slot. A stall makes all attempts late, so the limit is reduced only
// once for all attempts that were sent before the reduction.
func (d *Dispatcher) reduceLimit(limit *concurrencyLimit, sentAt int64, slotsInFlight float64) {
	if sentAt < limit.reducedAt {
		return
	}
	minLimit := 1 / float64(max(d.settings.Nodes, 1))
	limit.limit = max(limitReduction*min(limit.limit, slotsInFlight), minLimit)
	limit.reducedAt = d.now
}

// recordLateStart reduces a server's limit after it rejected an attempt or made it wait.
func (d *Dispatcher) recordLateStart(attempt *Attempt, slotsInFlight float64) {
	server := attempt.Server
	d.promptStarts[d.zoneOf(server)].decay(d.now).record(false)
	d.reduceLimit(&server.concurrencyLimit, attempt.sentAt, slotsInFlight)
	d.recordLowLimit(server)
}

// recordPromptStart raises a server's limit after an attempt that started promptly, and restores the limit
// that rejections have reduced. A server that rejects requests although it has capacity would otherwise stay
// idle, and a server without capacity starts nothing promptly.
func (d *Dispatcher) recordPromptStart(server *Server) {
	d.promptStarts[d.zoneOf(server)].decay(d.now).record(true)
	server.limit = max(server.limit, server.limitBeforeRejections)
	server.limitBeforeRejections = 0
	server.lateStarts = 0
	server.grow(server.slotsInFlight)
	d.growLowLimits()
}

// growLowLimits raises all limits below the initial one by a small amount. A server that runs one long
// request has no starts that would raise its limit, and a server with a low limit has few.
func (d *Dispatcher) growLowLimits() {
	servers := float64(len(d.servers.all))
	d.lowLimit.visitAll(func(server *Server) (keep bool) {
		grown := server.limit + limitGrowth/2*min(server.limit, 1)/servers
		server.limit = max(server.limit, min(grown, initialLimit))
		return server.limit < initialLimit
	})
}

// recordLowLimit records a server whose limit is below the initial one.
func (d *Dispatcher) recordLowLimit(server *Server) {
	if server.listed && server.limit < initialLimit {
		d.lowLimit.add(server)
	}
}
