// SPDX-License-Identifier: Apache-2.0

package dispatch

// maxPollSilence is how long no call for the list may be out. Danger: longer, and what counts as told is unknown.
func (d *Dispatcher) maxPollSilence() float64 {
	return float64(d.settings.UnpolledEventAge + d.settings.DrainGrace/2)
}

// StartPolling asks for news of the list for the first time; where there is a list to go by, at a time by chance.
// Danger: nodes that start or fail together ask together; a service that falls behind serves none of them.
func (d *Dispatcher) StartPolling() {
	d.schedulePoll(d.maxPollSilence()*d.random.Float64()*float64(min(len(d.servers.servers), 1)), d.maxPollSilence())
}

// PollFailed takes a failed call for the list; the next waits, for the same danger, by what two of them cost.
// Danger: an agent that could be asked again as the call was out has news that counts some time after that.
func (d *Dispatcher) PollFailed(took, spent int64) {
	part := min(max(d.maxPollSilence()/3, float64(min(spent, d.lastPollCost))), float64(max(d.settings.MaxPollInterval-took, 0))/3)
	d.failedPolls, d.lastPollCost = min(d.failedPolls+1, 2), spent
	d.schedulePoll(part*float64(d.failedPolls)*(0.5+d.random.Float64()), 3*part)
}

// PollSucceeded ends a call that brought something, where nodes hold calls together; the next goes in its turn.
func (d *Dispatcher) PollSucceeded() { d.schedulePoll(0, d.maxPollSilence()) }

func (d *Dispatcher) schedulePoll(after, by float64) {
	d.pollDeadline = d.now + int64(by)
	d.actions.Schedule(int64(after), d.PollEndpoints)
}

// PollEndpoints has the list asked for, or waits for this node's share.
func (d *Dispatcher) PollEndpoints() {
	if d.settings.Quotas == nil || d.PollOverdue() || d.settings.Quotas.Allow(BudgetPolls, nil, nil, 1) {
		d.actions.PollEndpoints(true)
	} else {
		d.actions.Schedule(d.settings.Tick, d.PollEndpoints)
	}
}

// PollOverdue says that a call goes out whatever shares say. Danger: work for what drained, as no news is heard.
func (d *Dispatcher) PollOverdue() bool { return d.now >= d.pollDeadline }
