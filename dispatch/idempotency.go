// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// firstPossibleRun returns the first attempt that may have run or may still run; nil if there is none.
func (r *Request) firstPossibleRun() *Attempt {
	i := slices.IndexFunc(r.Attempts, func(attempt *Attempt) bool { return !attempt.provedNotRun })
	if i < 0 {
		return nil
	}
	return r.Attempts[i]
}

// mayBeSentAgain reports whether a client may send the request again without the risk of a second effect,
// whichever server receives it.
func (r *Request) mayBeSentAgain() bool {
	if r.firstPossibleRun() == nil {
		return true
	}
	class := r.Class
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentInGroup && class.DedupScope == DedupAll
}

// mayRepeat reports whether a request may be sent once more to a suitable server. If it may have run before,
// it must not be sent again when that could have a second effect: a non-idempotent request never, and a
// request whose group of servers remembers the idempotency key only while the group still remembers it.
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

// inDedupGroup reports whether a server is in the group that remembers the idempotency key of a request that
// may have run before.
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

// allowed reports whether the rules permit sending a request to a server now.
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
