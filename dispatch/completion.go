// SPDX-License-Identifier: Apache-2.0

package dispatch

// ClientClosed ends a request whose client has closed the connection, or has shut down its sending side and
// may still read the final answer.
func (d *Dispatcher) ClientClosed(request *Request) { d.giveUp(request, ClientDisconnected) }

// ClientUnverified stops further attempts of a request whose client may have closed without notice. An attempt in
// flight may still serve the request, which otherwise ends with it.
func (d *Dispatcher) ClientUnverified(request *Request) {
	request.clientUnverified = true
	if request.activeAttempts == 0 {
		d.giveUp(request, ClientNotVerified)
	}
}

// Finish ends a request that has its final answer, or whose client has disconnected.
func (d *Dispatcher) Finish(request *Request) {
	request.Done = true
	if request.cancelDeadline != nil {
		request.cancelDeadline()
	}
	for _, attempt := range request.Attempts {
		d.cancelAttempt(attempt)
	}
}

// cancelAttempt cancels an attempt that is in flight, if canceling is allowed.
func (d *Dispatcher) cancelAttempt(attempt *Attempt) {
	if attempt.InFlight && !attempt.canceled && d.settings.AllowCancel {
		attempt.canceled = true
		attempt.Request.activeAttempts--
		d.actions.CancelAttempt(attempt)
	}
}

// giveUp ends a request without serving it.
func (d *Dispatcher) giveUp(request *Request, reason Reason) {
	if request.Done {
		return
	}
	request.Reason = reason
	d.Finish(request)
	if request.mayBeSentAgain() {
		d.actions.Shed(request, d.settings.MaxRetryAfter)
	} else {
		d.actions.Compensate(request)
	}
}
