// SPDX-License-Identifier: Apache-2.0

package dispatch

// What a node does when its own process is short of processor time, because of too many requests, a slow
// host or a stall.
//
// Each step of a request and each update of the endpoint list waits until the process gets to it. Without a
// bound on that delay, every admitted request is answered too late, and requests go to servers that have
// left. The busier the node, the more of its work is wasted on dials that time out, retries and hedges. So
// requests that lay unread for too long are shed at once, which costs little, until the node has caught up.

const (
	// requestSteps is the number of times that a request waits for the processor between its arrival and its
	// answer: to be read, for the dispatcher, to connect, to be written, for the first and the last line of
	// the server's response, for the dispatcher, to be answered.
	requestSteps = 8
	// updateSteps is the same number for an update of the endpoint list: to be read, to be decoded, to be
	// passed on, to be applied.
	updateSteps = 4
	// ignoredDelay (ns) is the part of a delay that is not subtracted from a request's remaining time; the
	// deadlines that are sent to servers allow for it.
	ignoredDelay = 50e6
	// minDelayTicks is the delay, in ticks, that is always tolerated: it occurs whenever two requests arrive
	// at the same time.
	minDelayTicks = 10
)

// SetSchedulingDelay sets how long runnable work of this process waits for the processor, in ns. The caller
// measures it; the value is used until the next call.
func (d *Dispatcher) SetSchedulingDelay(delay int64) { d.schedulingDelay = delay }

// maxUnreadTime is the longest time (ns) for which a request with the given remaining time may be unread if
// it is still to be served before its deadline, and if updates of the endpoint list are to be applied within
// the drain grace. All steps of either together may wait for half of its time.
func (d *Dispatcher) maxUnreadTime(remaining int64) int64 {
	longest := remaining / (2 * requestSteps)
	if d.settings.DrainGrace > 0 {
		longest = min(longest, d.settings.DrainGrace/(2*updateSteps))
	}
	return max(longest, minDelayTicks*d.settings.Tick)
}

// overloaded reports whether a request that has just been read has to be shed.
func (d *Dispatcher) overloaded(request *Request) bool {
	return request.MaxUnreadDuration > d.maxUnreadTime(request.Deadline-d.now)
}

// endpointsMayBeStale reports whether this process is so late that updates of the endpoint list may lie
// unread for longer than the drain grace. In that state nothing is sent, because the server may have left.
func (d *Dispatcher) endpointsMayBeStale() bool {
	longest := max(d.settings.DrainGrace/updateSteps, minDelayTicks*d.settings.Tick)
	return d.settings.DrainGrace > 0 && d.schedulingDelay > longest
}

// mayHedge reports whether this process may hedge. To a process that is late itself, all servers appear
// late.
func (d *Dispatcher) mayHedge() bool { return d.schedulingDelay <= minDelayTicks*d.settings.Tick }

// headroom is the time (ns) before a deadline by which the answer has to be decided. Both the decision and
// writing the answer may wait for the processor.
func (d *Dispatcher) headroom() int64 { return 2 * (d.settings.Tick + d.schedulingDelay) }
