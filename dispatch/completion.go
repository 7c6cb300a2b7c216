// SPDX-License-Identifier: Apache-2.0

package dispatch

// ClientClosed ends a txn whose client has closed, or shut its sending side and may still read: it gets the final answer that the rules allow.
func (d *Dispatcher) ClientClosed(request *Request) { d.giveUp(request, ClientGone) }

// Finish ends a txn that is answered, or whose client has gone.
func (d *Dispatcher) Finish(request *Request) {
	if request.Done = true; request.cancelDeadline != nil {
		request.cancelDeadline()
	}
	for _, attempt := range request.Attempts {
		d.cancelAttempt(attempt)
	}
}

func (d *Dispatcher) cancelAttempt(attempt *Attempt) {
	if attempt.InFlight && !attempt.canceled && d.settings.AllowCancel {
		attempt.canceled, attempt.Request.activeAttempts = true, attempt.Request.activeAttempts-1
		d.actions.CancelAttempt(attempt)
	}
}

// giveUp gives the final answer that the rules allow.
func (d *Dispatcher) giveUp(request *Request, why Reason) {
	if request.Done {
		return
	}
	request.Reason = why
	d.Finish(request)
	// Danger: a decline tells the client that trying again is harmless; where it might not be, reverse.
	class := request.Class
	if request.firstPossibleRun() == nil || class.Idempotency == Idempotent || class.Idempotency == IdempotentInGroup && class.DedupScope == DedupAll {
		d.actions.Shed(request, d.settings.MaxRetryAfter)
	} else {
		d.actions.Compensate(request)
	}
}
