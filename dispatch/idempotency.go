// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// firstPossibleRun is the first attempt that may have run or still may; nil if there is none.
func (r *Request) firstPossibleRun() *Attempt {
	i := slices.IndexFunc(r.Attempts, func(attempt *Attempt) bool { return !attempt.provedNotRun })
	if i < 0 {
		return nil
	}
	return r.Attempts[i]
}

// mayBeSentAgain says whether a client that sends the request again can't cause a second effect, whichever
// server gets it.
func (r *Request) mayBeSentAgain() bool {
	if r.firstPossibleRun() == nil {
		return true
	}
	class := r.Class
	return class.Idempotency == Idempotent || class.Idempotency == IdempotentInGroup && class.DedupScope == DedupAll
}

// mayRepeat says whether a request may be sent once more, if to the right server. One that may have run is not,
// where that could have a second effect: its group of servers remembers the idempotency key for a while, or
// nobody does.
func (d *Dispatcher) mayRepeat(request *Request) bool {
	first := request.firstPossibleRun()
	if first == nil {
		return true
	}
	switch request.Class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentInGroup:
		return d.now-first.sentAt < request.Class.DedupWindow-d.settings.Tick
	default:
		return true
	}
}

// inDedupGroup says whether a server remembers the idempotency key of a request that may have run elsewhere.
func (r *Request) inDedupGroup(server *Server) bool {
	first := r.firstPossibleRun()
	if first == nil || r.Class.Idempotency != IdempotentInGroup {
		return true
	}
	switch r.Class.DedupScope {
	case DedupZone:
		return server.zone == first.Server.zone
	case DedupCell:
		return server.cell == first.Server.cell
	default:
		return true
	}
}

// allowed says whether the rules let a request be sent to a server now.
func (d *Dispatcher) allowed(request *Request, server *Server) bool {
	if server.State != Up || !server.listed {
		return false
	}
	if request.Class.MachineType >= 0 && request.Class.MachineType != server.machineType {
		return false
	}
	for _, attempt := range request.Attempts {
		if attempt.canceled && attempt.Server == server {
			return false
		}
		if attempt.InFlight && (attempt.Server == server || !d.settings.AllowHedging) {
			return false
		}
	}
	if len(request.Attempts) > 0 && (!d.mayRepeat(request) || !request.inDedupGroup(server)) {
		return false
	}
	return d.settings.withinQuotas(request, server) && d.withinSlowStartBudget(request, server)
}
