// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// delayedByHedge is the number of requests that one more attempt makes late where there is no capacity.
	delayedByHedge = 3.0
	// unreliable is the reliability under which a server is not waited for where the request may be retried
	// elsewhere.
	unreliable = 0.5
)

// hedgeOrRetry sends the request of a late attempt to a second server, or where that is not allowed cancels the
// attempt to send it again.
func (d *Dispatcher) hedgeOrRetry(attempt *Attempt) {
	if d.settings.AllowHedging {
		d.hedge(attempt.Request)
	} else if d.shouldCancel(attempt) {
		d.cancelAttempt(attempt)
	}
}

// shouldCancel says whether a late attempt is better sent again. What is canceled may run all the same, for
// nobody: so only one that stalls, one at an unreliable server, or one that is late where the endpoint list
// tells which servers have capacity.
func (d *Dispatcher) shouldCancel(attempt *Attempt) bool {
	request := attempt.Request
	if len(request.Attempts) >= d.settings.MaxAttempts || !d.mayRepeat(request) {
		return false
	}
	late := d.settings.LiveCapacity && d.now-attempt.sentAt >= d.slack(request, attempt.sentAt)/slackParts
	return attempt.startedAt > 0 || late || d.effectiveReliability(attempt.Server) < unreliable
}

// hedge sends a request to a second server if the gain outweighs the capacity that other requests may wait for,
// here or at other nodes.
func (d *Dispatcher) hedge(request *Request) {
	if !d.mayHedge() {
		return
	}
	for _, server := range d.draw(request, 1) {
		prompt := d.promptShare(d.zoneOf(server))
		gain := 1 - request.Class.LateShare + d.settings.MissedObjectiveCost
		idle := len(d.queue.requests) == 0 && prompt*gain >= (1-prompt)*delayedByHedge
		if idle && len(request.Attempts) < d.settings.MaxAttempts && request.activeAttempts <= 1 {
			d.startAttempt(request, server)
		}
	}
}
