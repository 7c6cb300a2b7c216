// SPDX-License-Identifier: Apache-2.0

package dispatch

// What a node does when it is short of processor time itself, for whatever reason: too many requests, a slow host, a hold-up.
//
// Danger: each step of a request, and each update of the server list, waits until the process comes to it. Without a bound on that
// wait everything that was taken is answered too late, and updates come so late that work goes to servers that have left; and the
// busier the node, the more it does in vain (dials that time out, retries, hedges). So the wait itself is bounded: what lay unread for
// longer than a node can bear is shed at once, which costs little, until the node has caught up.

const (
	// requestSteps is how often a request waits for the processor from its arrival to its answer: to be read, for the dispatcher, to
	// connect, to be written, for the first and the last line of its answer, for the dispatcher, to be answered.
	requestSteps = 8
	// updateSteps is the same for an update of the server list: to be read, to be decoded, to be handed on, to be applied.
	updateSteps = 4
	// uncountedDelay (ns) is how much of a wait is not taken off a request's time: a third of the 0.15 s by which a span told to a server may be
	// over what the client has left. Danger: a lag of microseconds takes the last hope from requests that have just enough time.
	uncountedDelay = 50e6
	// minDelayTicks is in ticks. A process with a small share of a core is behind by some whenever two requests meet.
	minDelayTicks = 10
)

// SetSchedulingDelay tells how long work of this process waits until it runs, in ns. It is measured outside and holds until it is told again.
func (d *Dispatcher) SetSchedulingDelay(lag int64) { d.schedulingDelay = lag }

// maxUnreadTime is the longest wait at which a request with that time to its deadline can still be served, and updates of the server list
// are known in time: either may take half of its time to wait in all its turns.
func (d *Dispatcher) maxUnreadTime(left int64) int64 {
	longest := left / (2 * requestSteps)
	if d.settings.DrainGrace > 0 {
		longest = min(longest, d.settings.DrainGrace/(2*updateSteps))
	}
	return max(longest, minDelayTicks*d.settings.Tick)
}

// overloaded says whether a request that has just been read has to be shed.
func (d *Dispatcher) overloaded(request *Request) bool {
	return request.UnreadTime > d.maxUnreadTime(request.Deadline-d.now)
}

// endpointsMayBeStale says whether this process is so far behind that updates of the server list may wait unread for longer than drains allow.
// Danger: a process that stood still sends what it had decided before, and reads only then that the server has left.
func (d *Dispatcher) endpointsMayBeStale() bool {
	return d.settings.DrainGrace > 0 && d.schedulingDelay > max(d.settings.DrainGrace/updateSteps, minDelayTicks*d.settings.Tick)
}

// mayHedge says whether this process can afford second attempts. Danger: late by itself, it takes all servers for late.
func (d *Dispatcher) mayHedge() bool { return d.schedulingDelay <= minDelayTicks*d.settings.Tick }

// headroom is how long before a deadline an answer has to be decided on: it waits to be decided, and to be written.
func (d *Dispatcher) headroom() int64 { return 2 * (d.settings.Tick + d.schedulingDelay) }
