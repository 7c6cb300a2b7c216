// SPDX-License-Identifier: Apache-2.0

package dispatch

// What a node does when it is short of processor time itself, for whatever reason: too many requests, a slow
// host, a hold-up.
//
// Each step of a request, and each update of the endpoint list, waits until the process comes to it. Without a
// bound on that delay everything that was admitted is answered too late, and requests go to servers that have
// left; and the busier the node, the more of its work is in vain (dials that time out, retries, hedges). So
// what lay unread for too long is shed at once, which costs little, until the node has caught up.

const (
	// requestSteps is the number of times that a request waits for the processor from its arrival to its
	// answer: to be read, for the dispatcher, to connect, to be written, for the first and the last line of its
	// answer, for the dispatcher, to be answered.
	requestSteps = 8
	// updateSteps is the same for an update of the endpoint list: to be read, to be decoded, to be handed on,
	// to be applied.
	updateSteps = 4
	// uncountedDelay (ns) is the part of a delay that is not taken off a request's time; deadlines told to
	// servers allow for it.
	uncountedDelay = 50e6
	// minDelayTicks is the number of ticks that a process may always be behind, as it is whenever two requests
	// meet.
	minDelayTicks = 10
)

// SetSchedulingDelay tells how long work of this process waits until it runs, ns. It is measured outside and
// holds until the next call.
func (d *Dispatcher) SetSchedulingDelay(delay int64) { d.schedulingDelay = delay }

// maxUnreadTime is the longest time unread (ns) after which a request with so much time to its deadline can
// still be served, and updates of the endpoint list are known in time. Either may wait for half of its time in
// all its steps.
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

// endpointsMayBeStale says whether this process is so far behind that updates of the endpoint list may lie
// unread for longer than the drain grace allows. Nothing is sent then: the server may have left.
func (d *Dispatcher) endpointsMayBeStale() bool {
	longest := max(d.settings.DrainGrace/updateSteps, minDelayTicks*d.settings.Tick)
	return d.settings.DrainGrace > 0 && d.schedulingDelay > longest
}

// mayHedge says whether this process can afford hedges. One that is late itself takes all servers for late.
func (d *Dispatcher) mayHedge() bool { return d.schedulingDelay <= minDelayTicks*d.settings.Tick }

// headroom is how long (ns) before a deadline an answer has to be decided on: it waits to be decided, and to be
// written.
func (d *Dispatcher) headroom() int64 { return 2 * (d.settings.Tick + d.schedulingDelay) }
