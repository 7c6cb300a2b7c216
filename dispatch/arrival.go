// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRuntimes is the number of running times of a class that are filled in from hints, so that the first
	// measured one does not determine the estimate alone.
	minRuntimes = 3
	// overQuotaFactor is the multiple of its expected arrivals that a tenant may send. The expectation
	// follows from its quota and the other tenants' arrivals.
	overQuotaFactor = 1.3
	// overQuotaDeviations is the number of standard deviations that a tenant may send above that multiple.
	overQuotaDeviations = 2
	// deadlineSamples is the number of latest requests of which at least one is assumed to be a client's
	// first attempt.
	deadlineSamples = 16
	// responseDivisor is the reciprocal of the part of a class's deadline that is reserved for returning
	// the response to the client.
	responseDivisor = 64
)

// Arrive accepts a request from a client. If this process is overloaded, the request is shed at once;
// otherwise it is queued and ProcessQueue assigns it.
func (d *Dispatcher) Arrive(request *Request) {
	if d.overloaded(request) {
		d.giveUp(request, Overloaded)
		return
	}
	unreadExcess := max(request.MaxUnreadDuration-ignoredDelay, 0)
	request.arrivedAt = d.now - unreadExcess
	request.Deadline -= unreadExcess
	request.Deadline = d.adjustedDeadline(request)
	request.overQuota = len(d.settings.Tenants) > 0 && d.overQuota(request)
	d.setSize(request)
	request.priorityWeight = d.priorityWeight(request)
	d.classValues[request.Class.Index].decay(d.now).total += request.priorityWeight
	d.keys.record(request)
	d.SetDeadline(request, request.Deadline)
	d.queue.add(request)
}

// setSize sets the values that depend on the request's expected work: its latency objective, its size, and
// the threshold of a large request.
func (d *Dispatcher) setSize(request *Request) {
	class := request.Class
	runtimes := &d.runtimes[class.Index]
	for request.ExpectedWork > 0 && runtimes.count < minRuntimes {
		runtimes.add(1)
	}
	work := cmp.Or(request.ExpectedWork, d.expectedRuntime(request, medianQuantile))
	objective := class.LatencyObjective + int64(class.ObjectivePerWork*float64(work))
	request.objectiveAt = min(d.now+objective, request.Deadline)
	request.size = max(request.Slots, 1) * float64(work)
	d.sizes.add(request.size / second)
	d.largeSize = d.sizes.quantile(highQuantile, 0) * second
	// A report with a longer lifetime would still be valid after many short requests have started and ended.
	d.reportLifetime = min(maxReportLifetime, int64(d.largeSize))
}

// priorityWeight is the weight of a request by its class, size and tenant. A request over its tenant's quota
// is weighted by OverQuotaWeight. If servers report their load, it is weighted by 0 instead with the
// probability of a late start: nodes that do not queue requests themselves would fill the servers with those
// over quota.
func (d *Dispatcher) priorityWeight(request *Request) float64 {
	weight := request.Class.Weight
	if d.settings.WeightByWork {
		weight *= request.size
	}
	if !request.overQuota {
		return weight
	}
	if d.settings.LoadReports && d.random.Float64() > d.promptShare(ownZone) {
		return 0
	}
	return weight * d.settings.OverQuotaWeight
}

// adjustedDeadline is the request's deadline by this node's clock. If clients' clocks may be off, the
// deadline is shifted by the smallest amount by which the deadlines of the latest requests were short of
// their classes' maximum. Without the shift, all requests would be shed at once or answered too late when
// the clocks differ.
func (d *Dispatcher) adjustedDeadline(request *Request) int64 {
	margin, maxDeadline := d.settings.DeadlineMargin, request.Class.MaxDeadline
	if margin == 0 || maxDeadline == 0 {
		return request.Deadline
	}
	latest := d.deadlineOffsets[max(len(d.deadlineOffsets)-deadlineSamples+1, 0):]
	d.deadlineOffsets = append(latest, maxDeadline-request.Deadline+d.now)
	offset := min(max(slices.Min(d.deadlineOffsets), -margin), margin)
	return request.Deadline + min(offset, max(offset-maxDeadline/responseDivisor, 0))
}

// SetDeadline sets the clock time by which a request must be answered, if that is earlier than the current
// deadline. A timer answers the request at that time in any case.
func (d *Dispatcher) SetDeadline(request *Request, at int64) {
	request.Deadline = min(request.Deadline, at)
	remaining := request.Deadline - d.now - d.headroom()
	request.cancelDeadline = d.actions.Schedule(remaining, func() { d.giveUp(request, DeadlineReached) })
}

// overQuota reports whether a request is over its tenant's quota. The decision is random, with a probability
// in proportion to the tenant's excess over the arrivals that its quota allows relative to the other
// tenants' arrivals.
func (d *Dispatcher) overQuota(request *Request) bool {
	others, quotas := 0.0, 0.0
	for i, tenant := range d.settings.Tenants {
		if i != request.Tenant {
			others += d.tenantArrivals[i].decay(d.now).total
			quotas += tenant.Quota
		}
	}
	own := d.tenantArrivals[request.Tenant].decay(d.now)
	own.total++
	expected := (others + 1) * d.settings.Tenants[request.Tenant].Quota / quotas
	return d.random.Float64()*own.total > overQuotaFactor*expected+overQuotaDeviations*math.Sqrt(expected)
}
