// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"time"

	"fernrail/internal/fleet/budget"
)

const (
	// maxRequestsPerLease bounds how many requests a node that needs more makes within a lease. One that needs no more
	// makes three.
	maxRequestsPerLease = 15
	// requestTimeoutDivisor is the part of a lease after which a request without a response is given up.
	requestTimeoutDivisor = 3
	// retryDivisor is the part of a lease after which a failed request is repeated, at another voter.
	retryDivisor = 10
	// minPauseDivisor is the part of the shortest time between two hurried requests that lies between any two.
	minPauseDivisor = 8
)

// leaseLoop is what the lease loop remembers from one request to the next.
type leaseLoop struct {
	fleet *Fleet
	voter int  // index of the voter to call next
	heard bool // the latest request had a response
}

// renewLeases requests leases until the context ends.
func (f *Fleet) renewLeases(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	loop := &leaseLoop{fleet: f, heard: true}
	hurryInterval := time.Duration(f.cfg.Agreement.Lease / maxRequestsPerLease)
	hurried := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requestSoon:
			if !hurried {
				hurried = true
				timer.Reset(hurryInterval)
			}
			continue
		case <-timer.C:
		}
		hurried = false
		err := loop.request(ctx)
		timer.Reset(max(loop.pause(err), hurryInterval/minPauseDivisor))
	}
}

// request makes one lease request and applies its response.
func (l *leaseLoop) request(ctx context.Context) error {
	f := l.fleet
	request := f.nextRequest()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.cfg.Agreement.Lease/requestTimeoutDivisor))
	defer cancel()
	response, next, err := f.client.requestLease(ctx, l.voter, &request)
	l.voter = next
	if err == nil {
		f.applyResponse(response)
	}
	// A node with another agreement may not use its floors either: by its own configuration they may be larger than
	// what was set aside for each node. A voter that is not reached proves nothing of that kind.
	if rejected := errors.Is(err, errAgreementMismatch); rejected || err == nil {
		f.mu.Lock()
		f.holder.SetRejected(rejected, f.clock())
		f.mu.Unlock()
	}
	l.logChange(err)
	return err
}

// logChange logs the first failure after a response, and the first response after a failure.
func (l *leaseLoop) logChange(err error) {
	heard := err == nil
	if heard == l.heard {
		return
	}
	l.heard = heard
	if heard {
		l.fleet.log.Warn().Msg("lease requests are answered again")
	} else {
		l.fleet.log.Warn().Err(err).Msg("lease request failed; trying other voters")
	}
}

// pause returns the time until the next request, given the result of the latest one.
func (l *leaseLoop) pause(err error) time.Duration {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := time.Duration(f.holder.NextRequestTime() - f.clock())
	if err != nil {
		pause = min(pause, time.Duration(f.cfg.Agreement.Lease/retryDivisor))
	}
	return pause
}

// nextRequest makes the next lease request from what was used and rejected since the last one.
func (f *Fleet) nextRequest() budget.LeaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	peak := func(name string) (float64, bool) { return f.quotas[name].meter.PeakDemand(now) }
	units := func(name string) int64 { return f.holder.Units(name, now) }
	request := f.holder.NextRequest(f.demand.Estimate(peak, units), now)
	request.FirstAttempts = int64(f.firstAttempts.Used("", now))
	return request
}

func (f *Fleet) applyResponse(response *budget.LeaseResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.holder.ClockRate()
	f.demand.ObserveResponse(response)
	f.holder.ApplyResponse(response, f.clock())
	if rate := f.holder.ClockRate(); rate != 0 && before == 0 {
		f.log.Error().
			Float64("rate", rate).
			Float64("margin", f.cfg.Agreement.ClockMargin).
			Msg("clock skew between this node and the leader exceeds the margin; no lease is used")
	}
	for name, total := range response.Totals {
		if q := f.quotas[name]; q != nil {
			q.total = total
		}
	}
}

// hurryRequest has the next request made soon. It may be called under f.mu.
func (f *Fleet) hurryRequest() {
	select {
	case f.requestSoon <- struct{}{}:
	default:
	}
}
