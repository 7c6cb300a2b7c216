// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

func (d *Dispatcher) Arrive(request *Request) {
	if d.overloaded(request) {
		d.giveUp(request, Overloaded)
		return
	}
	waited := max(request.UnreadTime-uncountedDelay, 0)
	request.Deadline -= waited
	request.Deadline, request.arrivedAt, request.overQuota = d.adjustedDeadline(request), d.now-waited, len(d.settings.Tenants) > 0 && d.overQuota(request)
	// Danger: the first job that runs far longer than its hint would speak for all to come.
	for r := &d.runtimes[request.Class.Index]; request.ExpectedWork > 0 && r.count < 3; {
		r.add(1)
	}
	work := cmp.Or(request.ExpectedWork, d.expectedRuntime(request, 0.5))
	request.objectiveAt = min(d.now+request.Class.LatencyObjective+int64(request.Class.ObjectivePerWork*float64(work)), request.Deadline)
	request.size = max(request.Slots, 1) * float64(work)
	d.sizes.add(request.size / 1e9)
	// Danger: of jobs of milliseconds many begin and end while a word of room is still taken for news.
	d.largeSize = d.sizes.quantile(highQuantile, 0) * 1e9
	d.reportLifetime = min(maxReportLifetime, int64(d.largeSize))
	if request.priorityWeight = request.Class.Weight; d.settings.WeightByWork {
		request.priorityWeight *= request.size
	}
	if request.overQuota {
		request.priorityWeight *= d.settings.OverQuotaWeight
		// Danger: many quiet nodes hold no queue to sort; what is worth little then jams the machines for all.
		if d.settings.LoadReports && d.random.Float64() > d.promptShare(ownZone) {
			request.priorityWeight = 0
		}
	}
	d.classValues[request.Class.Index].decay(d.now).total += request.priorityWeight
	d.recordKey(request)
	d.SetDeadline(request, request.Deadline)
	d.queue.add(request)
}

// adjustedDeadline is when the txn's client gives up, the one notion of time left: as told, or where clocks differ, later
// or earlier by what the latest first tries lacked. Danger: all is declined at once, or answered too late.
func (d *Dispatcher) adjustedDeadline(request *Request) int64 {
	if d.settings.DeadlineMargin == 0 || request.Class.MaxDeadline == 0 {
		return request.Deadline
	}
	d.deadlineOffsets = append(d.deadlineOffsets[max(len(d.deadlineOffsets)-deadlineSamples+1, 0):], request.Class.MaxDeadline-request.Deadline+d.now)
	off := min(max(slices.Min(d.deadlineOffsets), -d.settings.DeadlineMargin), d.settings.DeadlineMargin)
	return request.Deadline + min(off, max(off-request.Class.MaxDeadline/responseFraction, 0))
}

// SetDeadline sets when the txn has to be answered at the latest; a node that is told to end brings it forward.
// Danger: a txn that is forgotten. This alarm answers it whatever else happens.
func (d *Dispatcher) SetDeadline(request *Request, at int64) {
	request.Deadline = min(request.Deadline, at)
	request.cancelDeadline = d.actions.Schedule(request.Deadline-d.now-d.headroom(), func() { d.giveUp(request, DeadlineReached) })
}

// overQuota tells by chance whether a txn lies beyond its tenant's share, by the other tenants' arrivals.
func (d *Dispatcher) overQuota(request *Request) bool {
	var others, shares float64
	for i, tenant := range d.settings.Tenants {
		if i != request.Tenant {
			others, shares = others+d.tenantArrivals[i].decay(d.now).total, shares+tenant.Quota
		}
	}
	own := d.tenantArrivals[request.Tenant].decay(d.now)
	own.total++
	due := (others + 1) * d.settings.Tenants[request.Tenant].Quota / shares
	return d.random.Float64()*own.total > overQuotaFactor*due+2*math.Sqrt(due) // twice the spread of chance
}
