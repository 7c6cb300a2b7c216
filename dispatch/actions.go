// SPDX-License-Identifier: Apache-2.0

package dispatch

// Actions is how a Dispatcher acts on the world. Its methods are called from within the Dispatcher's own, in
// the same goroutine, and must return at once. Tag fields of the arguments are the caller's; the package never
// reads them.
type Actions interface {
	// StartAttempt sends a request to a server. AttemptEnded has to be called once for it.
	StartAttempt(attempt *Attempt)
	// CancelAttempt withdraws an attempt; its outcome is reported as usual.
	CancelAttempt(attempt *Attempt)
	// Shed answers that the request was not served and may be sent again, after retryAfter ns if that is not 0.
	Shed(request *Request, retryAfter int64)
	// Compensate answers a request that was not served but may have had an effect, which has to be undone.
	Compensate(request *Request)
	// Schedule has a function called after some ns, unless cancel is called before.
	Schedule(after int64, call func()) (cancel func())
	// PollEndpoints starts polling the endpoint list.
	PollEndpoints(on bool)
	// ProbeCapacity asks a server for its free slots and memory; CapacityReported has to be called once for it.
	ProbeCapacity(server *Server)
	// NotifyPeers tells all other nodes of slots that this one reserved at a server.
	NotifyPeers(server *Server, slots float64)
}
