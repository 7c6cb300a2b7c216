// SPDX-License-Identifier: Apache-2.0

package dispatch

// concurrencyLimit bounds the slots in flight at an executor, or of the txns about one thing.
type concurrencyLimit struct {
	slotsInFlight float64 // slots of open postings
	limit         float64
	lastEndedAt   int64 // when the latest posting ended
	reducedAt     int64 // when the limit was last cut
}

// exceeded says whether so many slots more are over what an executor or a thing is thought to bear.
func (g *concurrencyLimit) exceeded(slots float64, now, run int64) bool {
	// Danger: one posting from each of many nodes fills a small machine. A limit under one is a pause.
	return g.slotsInFlight > 0 && g.slotsInFlight+slots > g.limit ||
		g.slotsInFlight == 0 && float64(now-g.lastEndedAt) < (1/min(g.limit, 1)-1)*float64(run)
}

// reduceLimit cuts a limit for a posting that found too much there; one slot stays for all nodes.
// Danger: one pause makes all that is there late; cut for each, hardly a limit would be left.
func (d *Dispatcher) reduceLimit(g *concurrencyLimit, sent int64, busy float64) {
	if sent >= g.reducedAt {
		g.limit, g.reducedAt = max(limitReduction*min(g.limit, busy), 1/float64(max(d.settings.Nodes, 1))), d.now
	}
}

// adjustLimit moves an executor's in-flight limit by how prompt a start was.
func (d *Dispatcher) adjustLimit(attempt *Attempt, busy float64, prompt bool) {
	server := attempt.Server
	if d.startPromptness[server.zone == d.settings.Zone].decay(d.now).record(prompt); !prompt {
		d.reduceLimit(&server.concurrencyLimit, attempt.sentAt, busy)
		d.recordLowLimit(server)
		return
	}
	// Danger: executors that turn part away though not full stand empty. A full one would not start at once.
	server.limit, server.limitBeforeRejections, server.lateStarts = max(server.limit, server.limitBeforeRejections), 0, 0
	if busy+1 >= server.limit {
		server.limit += limitGrowth * min(server.limit, 1)
	}
	// Danger: limits that only an executor's own starts raise keep machines empty that had one long job.
	for i := 0; i < len(d.lowLimit.all); i++ {
		x := d.lowLimit.all[i]
		if x.limit = max(x.limit, min(x.limit+limitGrowth/2*min(x.limit, 1)/float64(len(d.servers.all)), initialLimit)); x.limit >= initialLimit {
			d.lowLimit.remove(x)
			i--
		}
	}
}

// recordLowLimit notes a server whose limit is under the one that all start with.
func (d *Dispatcher) recordLowLimit(server *Server) {
	if server.listed && server.limit < initialLimit {
		d.lowLimit.add(server)
	}
}

// reduceKeyLimit moves a thing's limit in flight. Danger: what waits for a lock holds slots everywhere; others starve.
func (d *Dispatcher) reduceKeyLimit(h *keyState, attempt *Attempt, bad bool) {
	if !bad {
		if h.failedServer = nil; h.slotsInFlight+attempt.Request.Slots+1 >= h.limit {
			h.limit += limitGrowth * min(h.limit, 1)
		}
	} else if h.failedServer == nil || h.failedServer == attempt.Server {
		h.failedServer = attempt.Server
	} else { // two executors agree, so it is not theirs
		d.reduceLimit(&h.concurrencyLimit, attempt.sentAt, h.slotsInFlight+attempt.Request.Slots)
	}
}
