// SPDX-License-Identifier: Apache-2.0

package dispatch

// hedge sends a late posting's txn to a second executor, or takes it back to go again where that is forbidden.
func (d *Dispatcher) hedge(attempt *Attempt) {
	request, left := attempt.Request, d.settings.MaxAttempts-len(attempt.Request.Attempts)
	if !d.settings.AllowHedging {
		// Danger: what is taken back may run all the same, for nobody. Who stands still runs none of it; a list
		// that tells of load promises room elsewhere.
		late := d.settings.LiveCapacity && d.now-attempt.sentAt >= d.slack(request, attempt.sentAt)/4
		if left > 0 && !d.mayNotRepeat(request) && (attempt.startedAt > 0 || late || d.effectiveReliability(attempt.Server) < minChance) {
			d.cancelAttempt(attempt)
		}
		return
	}
	if !d.mayHedge() {
		return
	}
	// Danger: copies in a full fleet take the room of txns that wait for it, here or at many other nodes.
	for _, server := range d.draw(request, 1) {
		hit, gain := d.promptShare(server.zone == d.settings.Zone), 1-request.Class.LateShare+d.settings.MissedObjectiveCost
		if len(d.queue.requests) == 0 && left > 0 && request.activeAttempts <= 1 && hit*gain >= (1-hit)*delayedByHedge {
			d.startAttempt(request, server)
		}
	}
}
