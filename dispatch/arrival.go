// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRuntimes is the number of running times of a class that are made up from hints, so that the first one
	// doesn't count for all.
	minRuntimes = 3
	// overQuotaFactor is the multiple of what is due to a tenant by the others' arrivals that it may send,
	overQuotaFactor = 1.3
	// and overQuotaDeviations the number of standard deviations that it may send besides.
	overQuotaDeviations = 2
	// deadlineSamples is the number of latest requests of which one at least counts as a client's first
	// attempt.
	deadlineSamples = 16
	// responseFraction is one over the part of a class's deadline that the way back to the client takes.
	responseFraction = 64
)

// Arrive takes a request from a client. It is shed at once if this process is overloaded, and else queued;
// ProcessQueue assigns it.
func (d *Dispatcher) Arrive(request *Request) {
	if d.overloaded(request) {
		d.giveUp(request, Overloaded)
		return
	}
	unread := max(request.UnreadTime-uncountedDelay, 0)
	request.arrivedAt = d.now - unread
	request.Deadline -= unread
	request.Deadline = d.adjustedDeadline(request)
	request.overQuota = len(d.settings.Tenants) > 0 && d.overQuota(request)
	d.setSize(request)
	request.priorityWeight = d.priorityWeight(request)
	d.classValues[request.Class.Index].decay(d.now).total += request.priorityWeight
	d.keys.record(request)
	d.SetDeadline(request, request.Deadline)
	d.queue.add(request)
}

// setSize sets what follows from the request's expected work: its latency objective, its size, and what counts
// as a large one.
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
	// Many requests of milliseconds begin and end while a longer-lived report would still count.
	d.reportLifetime = min(maxReportLifetime, int64(d.largeSize))
}

// priorityWeight is the weight of a request by its class, size and tenant. One beyond its tenant's quota counts
// for less, and where servers report load for nothing by the chance that starts are late: nodes without a queue
// of their own would fill the servers with it.
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

// adjustedDeadline is the request's deadline by this node's clock. Where clients' clocks may differ it is moved
// by what the deadlines of the latest requests were at least short of their classes': all would be shed at once
// otherwise, or answered too late.
func (d *Dispatcher) adjustedDeadline(request *Request) int64 {
	margin, whole := d.settings.DeadlineMargin, request.Class.MaxDeadline
	if margin == 0 || whole == 0 {
		return request.Deadline
	}
	latest := d.deadlineOffsets[max(len(d.deadlineOffsets)-deadlineSamples+1, 0):]
	d.deadlineOffsets = append(latest, whole-request.Deadline+d.now)
	offset := min(max(slices.Min(d.deadlineOffsets), -margin), margin)
	return request.Deadline + min(offset, max(offset-whole/responseFraction, 0))
}

// SetDeadline sets the clock time by which a request has to be answered, if that is earlier than the one
// before. Its timer answers the request whatever else happens.
func (d *Dispatcher) SetDeadline(request *Request, at int64) {
	request.Deadline = min(request.Deadline, at)
	left := request.Deadline - d.now - d.headroom()
	request.cancelDeadline = d.actions.Schedule(left, func() { d.giveUp(request, DeadlineReached) })
}

// overQuota says whether a request lies beyond its tenant's quota, by chance in proportion to the tenant's
// excess over what is due to it by the other tenants' arrivals.
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
	due := (others + 1) * d.settings.Tenants[request.Tenant].Quota / quotas
	return d.random.Float64()*own.total > overQuotaFactor*due+overQuotaDeviations*math.Sqrt(due)
}
