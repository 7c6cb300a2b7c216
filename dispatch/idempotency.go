// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// firstPossibleRun returns the first attempt, other than the given one, that may have run or may still run. It
// returns nil if there is none.
func (r *Request) firstPossibleRun(except *Attempt) *Attempt {
	i := slices.IndexFunc(r.Attempts, func(attempt *Attempt) bool {
		return attempt != except && !attempt.provedNotRun
	})
	if i < 0 {
		return nil
	}
	return r.Attempts[i]
}

// mayBeSentAgain reports whether a client may send the request again without the risk of a second effect,
// whichever server receives it.
func (r *Request) mayBeSentAgain() bool {
	if r.firstPossibleRun(nil) == nil {
		return true
	}
	class := r.Class
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentInGroup && class.DedupScope == DedupAll
}

// mayRepeat reports whether a request may be sent now to a suitable server, by a new attempt (nil) or by one
// that has not been sent yet. If another attempt may have run, it must not be sent when that could have a
// second effect: a non-idempotent request never, and a request whose group of servers remembers the idempotency
// key only while the group still remembers it when the request arrives.
func (d *Dispatcher) mayRepeat(request *Request, unsent *Attempt) bool {
	first := request.firstPossibleRun(unsent)
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

// dedupGroup identifies the groups of servers that remember the idempotency keys of the requests sent to a server.
// The endpoint list may move the server to other groups, which do not know these keys.
type dedupGroup struct{ zone, cell int }

func (s *Server) dedupGroup() dedupGroup { return dedupGroup{zone: s.zone, cell: s.cell} }

// inDedupGroup reports whether a server is in the group that remembers the idempotency key of a request, if an
// attempt other than the given unsent one may have run.
func (r *Request) inDedupGroup(server *Server, unsent *Attempt) bool {
	first := r.firstPossibleRun(unsent)
	if first == nil || r.Class.Idempotency != IdempotentInGroup {
		return true
	}
	switch r.Class.DedupScope {
	case DedupZone:
		return server.zone == first.group.zone
	case DedupCell:
		return server.cell == first.group.cell
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
	if len(request.Attempts) > 0 && (!d.mayRepeat(request, nil) || !request.inDedupGroup(server, nil)) {
		return false
	}
	return d.settings.withinQuotas(request, server) && d.withinSlowStartBudget(request, server)
}
