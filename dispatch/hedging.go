// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// delayedPerHedge is the number of requests that one additional attempt makes late if there is no spare
	// capacity.
	delayedPerHedge = 3.0
	// minWaitReliability is the reliability below which an attempt is not waited for if its request may be
	// retried at another server.
	minWaitReliability = 0.5
)

// hedgeOrRetry sends the request of a late attempt to a second server. If hedging is not allowed, it may
// cancel the attempt instead, so that the request is sent again.
func (d *Dispatcher) hedgeOrRetry(attempt *Attempt) {
	if attempt.Request.clientUnverified {
		return
	}
	if d.settings.AllowHedging {
		d.hedge(attempt.Request)
	} else if d.shouldCancel(attempt) {
		d.cancelAttempt(attempt)
	}
}

// shouldCancel reports whether a late attempt should be canceled and sent again. A canceled attempt may
// still run, with its result unused. So an attempt is canceled only if it stalls, if its server is
// unreliable, or if it is late while the endpoint list reports which servers have capacity.
func (d *Dispatcher) shouldCancel(attempt *Attempt) bool {
	request := attempt.Request
	if len(request.Attempts) >= d.settings.MaxAttempts || !d.mayRepeat(request, nil) {
		return false
	}
	late := d.settings.LiveCapacity && d.now-attempt.sentAt >= d.slack(request, attempt.sentAt)/slackDivisor
	return attempt.startedAt > 0 || late || d.effectiveReliability(attempt.Server) < minWaitReliability
}

// hedge sends a request to a second server if the gain outweighs the delay of other requests, at this node
// or others, that need the same capacity.
func (d *Dispatcher) hedge(request *Request) {
	if !d.mayHedge() {
		return
	}
	for _, server := range d.draw(request, 1) {
		prompt := d.promptShare(d.zoneOf(server))
		gain := 1 - request.Class.LateShare + d.settings.MissedObjectiveCost
		idle := len(d.queue.requests) == 0 && prompt*gain >= (1-prompt)*delayedPerHedge
		if idle && len(request.Attempts) < d.settings.MaxAttempts && request.activeAttempts <= 1 {
			d.startAttempt(request, server)
		}
	}
}
