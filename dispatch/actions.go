// SPDX-License-Identifier: Apache-2.0

package dispatch

// Actions performs the input and output that a Dispatcher requests. The Dispatcher calls its methods from
// within its own methods, in the same goroutine; they must return without blocking. The Tag fields of the
// arguments belong to the caller; this package never reads them.
type Actions interface {
	// StartAttempt sends a request to a server. The caller must call AttemptEnded exactly once for it.
	StartAttempt(attempt *Attempt)
	// CancelAttempt cancels an attempt. Its outcome is still reported by AttemptEnded.
	CancelAttempt(attempt *Attempt)
	// Shed responds that the request was not served and may be sent again. If retryAfter is not 0, the
	// client should wait for that many ns first.
	Shed(request *Request, retryAfter int64)
	// Compensate responds to a request that was not served but may have had an effect, which has to be
	// undone.
	Compensate(request *Request)
	// Schedule calls a function after a delay in ns, unless cancel is called before.
	Schedule(after int64, call func()) (cancel func())
	// PollEndpoints starts (on) or stops polling the endpoint list.
	PollEndpoints(on bool)
	// ProbeCapacity requests the free slots and memory of a server. The caller must call CapacityReported
	// exactly once for it.
	ProbeCapacity(server *Server)
	// NotifyPeers reports to all other nodes that this node reserved slots at a server.
	NotifyPeers(server *Server, slots float64)
}
