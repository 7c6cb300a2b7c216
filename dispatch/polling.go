// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// pollParts is the number of parts that the time for the next poll is cut into: the backoff takes one or
	// two of them.
	pollParts = 3
	// maxPollFailures is the number of failed polls in a row up to which the backoff grows.
	maxPollFailures = 2
	// minJitter is the least factor on the backoff; the largest is by one more.
	minJitter = 0.5
)

// pollSchedule is the state of polling the endpoint list.
type pollSchedule struct {
	failures int   // in a row, up to maxPollFailures
	lastCost int64 // work that the last failed poll cost the discovery service, ns
	deadline int64 // clock time by which the next poll goes out at the latest
}

// recordSuccess ends a row of failures.
func (p *pollSchedule) recordSuccess() { p.failures, p.lastCost = 0, 0 }

// StartPolling schedules the first poll. A node that has an endpoint list waits for a random time: nodes that
// start together would poll together, and a service that falls behind serves none of them.
func (d *Dispatcher) StartPolling() {
	silence := float64(d.settings.maxPollSilence())
	d.schedulePoll(silence*d.random.Float64()*float64(min(len(d.servers.all), 1)), silence)
}

// PollFailed schedules the next poll after one that failed. It took so long (ns) and cost the discovery service
// so much work (ns); the backoff is jittered and grows with what two failures in a row cost. It is bounded,
// since a discovery service that could be reached as the poll was out has changes that count as notified some
// time after.
func (d *Dispatcher) PollFailed(took, cost int64) {
	silence := float64(d.settings.maxPollSilence())
	part := max(silence/pollParts, float64(min(cost, d.polls.lastCost)))
	left := float64(max(d.settings.MaxPollInterval-took, 0))
	part = min(part, left/pollParts)
	d.polls.failures = min(d.polls.failures+1, maxPollFailures)
	d.polls.lastCost = cost
	jitter := minJitter + d.random.Float64()
	d.schedulePoll(part*float64(d.polls.failures)*jitter, pollParts*part)
}

// PollSucceeded schedules the next poll after one that brought changes, where nodes share a budget of polls.
func (d *Dispatcher) PollSucceeded() {
	d.schedulePoll(0, float64(d.settings.maxPollSilence()))
}

// schedulePoll schedules a poll after some ns. It goes out within another number of ns, whatever its quota.
func (d *Dispatcher) schedulePoll(after, within float64) {
	d.polls.deadline = d.now + int64(within)
	d.actions.Schedule(int64(after), d.PollEndpoints)
}

// PollEndpoints polls the endpoint list, as soon as this node's quota allows it.
func (d *Dispatcher) PollEndpoints() {
	if d.settings.Quotas == nil || d.PollOverdue() || d.settings.Quotas.Allow(BudgetPolls, nil, nil, 1) {
		d.actions.PollEndpoints(true)
	} else {
		d.actions.Schedule(d.settings.Tick, d.PollEndpoints)
	}
}

// PollOverdue says that a poll goes out whatever the quotas say: without one this node would go on sending to
// servers that drain.
func (d *Dispatcher) PollOverdue() bool { return d.now >= d.polls.deadline }
