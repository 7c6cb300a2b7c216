// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// firstPossibleRun is the first posting that may have run or still may.
func (t *Request) firstPossibleRun() *Attempt {
	if i := slices.IndexFunc(t.Attempts, func(attempt *Attempt) bool { return !attempt.provedNotRun }); i >= 0 {
		return t.Attempts[i]
	}
	return nil
}

// mayNotRepeat says whether a txn that may have run must not go again at all.
func (d *Dispatcher) mayNotRepeat(request *Request) bool {
	return request.Class.Idempotency == NonIdempotent ||
		request.Class.Idempotency == IdempotentInGroup && d.now-request.firstPossibleRun().sentAt >= request.Class.DedupWindow-d.settings.Tick
}

// allowed says whether the rules let the txn go to the executor now.
func (d *Dispatcher) allowed(request *Request, server *Server) bool {
	// Danger: a drained or gone executor that still gets work; the list's word counts at once.
	if server.State != Up || !server.listed || request.Class.MachineType >= 0 && request.Class.MachineType != server.machineType {
		return false
	}
	for _, attempt := range request.Attempts {
		if attempt.canceled && attempt.Server == server || attempt.InFlight && (attempt.Server == server || !d.settings.AllowHedging) {
			return false
		}
	}
	if a := request.firstPossibleRun(); a != nil {
		// Danger: an effect twice. Only the group that holds the mark drops the repeat, and not for ever.
		class, f := request.Class, a.Server
		if d.mayNotRepeat(request) || class.Idempotency == IdempotentInGroup &&
			(class.DedupScope == DedupZone && server.zone != f.zone || class.DedupScope == DedupCell && server.cell != f.cell) {
			return false
		}
	}
	// Danger: what all nodes hold together, used beyond this one's share of it.
	return d.settings.withinQuotas(request, server) && d.withinSlowStartBudget(request, server)
}
