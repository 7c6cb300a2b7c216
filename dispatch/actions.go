// SPDX-License-Identifier: Apache-2.0

package dispatch

// Actions is how the module acts on the world. Tag fields are the door's own names; the module never reads them.
type Actions interface {
	StartAttempt(p *Attempt)
	CancelAttempt(p *Attempt)
	Shed(t *Request, returnIn int64)
	Compensate(t *Request)
	Schedule(after int64, then func()) (forget func())
	PollEndpoints(on bool)
	ProbeCapacity(e *Server)
	NotifyPeers(e *Server, slots float64) // all other nodes of slots taken
}
