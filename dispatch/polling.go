// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// pollParts is the number of parts into which the time to the next poll is divided. The backoff uses one
	// or two of them.
	pollParts = 3
	// maxPollFailures is the number of consecutive failed polls up to which the backoff grows.
	maxPollFailures = 2
	// minJitter is the smallest factor on the backoff. The largest factor is minJitter + 1.
	minJitter = 0.5
)

// pollSchedule is the state of polling the endpoint list.
type pollSchedule struct {
	failures int   // consecutive failed polls, at most maxPollFailures
	lastCost int64 // work of the discovery service for the last failed poll, ns
	deadline int64 // clock time by which the next poll must be sent
}

// recordSuccess resets the number and the cost of consecutive failed polls after a successful poll.
func (p *pollSchedule) recordSuccess() { p.failures, p.lastCost = 0, 0 }

// StartPolling schedules the first poll. A node that already has an endpoint list waits for a random time:
// nodes that start together would otherwise poll together, and an overloaded discovery service answers none
// of them.
func (d *Dispatcher) StartPolling() {
	maxGap := float64(d.settings.maxPollGap())
	d.schedulePoll(maxGap*d.random.Float64()*float64(min(len(d.servers.all), 1)), maxGap)
}

// PollFailed schedules the next poll after one failed that took the given time (ns) and cost the discovery
// service the given work (ns). The backoff is jittered and grows with the smaller cost of the last two
// failures. It is bounded: changes count as notified some time after the failed poll if the discovery
// service could be reached during that poll.
func (d *Dispatcher) PollFailed(took, cost int64) {
	maxGap := float64(d.settings.maxPollGap())
	part := max(maxGap/pollParts, float64(min(cost, d.polls.lastCost)))
	remaining := float64(max(d.settings.MaxPollInterval-took, 0))
	part = min(part, remaining/pollParts)
	d.polls.failures = min(d.polls.failures+1, maxPollFailures)
	d.polls.lastCost = cost
	jitter := minJitter + d.random.Float64()
	d.schedulePoll(part*float64(d.polls.failures)*jitter, pollParts*part)
}

// PollSucceeded schedules the next poll after one that returned changes, if nodes share a budget of polls.
func (d *Dispatcher) PollSucceeded() {
	d.schedulePoll(0, float64(d.settings.maxPollGap()))
}

// schedulePoll schedules a poll after a delay (ns). The poll is sent within another time (ns), even if the
// quota does not allow it.
func (d *Dispatcher) schedulePoll(after, within float64) {
	d.polls.deadline = d.now + int64(within)
	d.actions.Schedule(int64(after), d.PollEndpoints)
}

// PollEndpoints polls the endpoint list as soon as this node's quota allows it or the poll is overdue.
func (d *Dispatcher) PollEndpoints() {
	if d.settings.Quotas == nil || d.PollOverdue() || d.settings.Quotas.Allow(BudgetPolls, nil, nil, 1) {
		d.actions.PollEndpoints(true)
	} else {
		d.actions.Schedule(d.settings.Tick, d.PollEndpoints)
	}
}

// PollOverdue reports whether a poll is sent regardless of the quota. Without it, this node would continue
// to send requests to draining servers.
func (d *Dispatcher) PollOverdue() bool { return d.now >= d.polls.deadline }
