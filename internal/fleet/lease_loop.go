// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"time"

	"fernrail/internal/fleet/budget"
)

const (
	// maxRequestsPerLease is the maximum number of requests that a node sends within a lease duration if it
	// needs more units. Other nodes send three.
	maxRequestsPerLease = 15
	// requestTimeoutDivisor divides the lease duration to get the timeout of a request.
	requestTimeoutDivisor = 3
	// retryDivisor divides the lease duration to get the delay before a failed request is retried at another
	// voter.
	retryDivisor = 10
	// minPauseDivisor divides the interval of early requests to get the minimum pause between any two
	// requests.
	minPauseDivisor = 8
)

// leaseLoop is the state of the lease loop between requests.
type leaseLoop struct {
	fleet     *Fleet
	voter     int  // index of the voter to call next
	succeeded bool // whether the latest request succeeded
}

// renewLeases requests leases until the context ends.
func (f *Fleet) renewLeases(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	loop := &leaseLoop{fleet: f, succeeded: true}
	earlyInterval := time.Duration(f.cfg.Agreement.Lease / maxRequestsPerLease)
	earlyScheduled := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requestSoon:
			if !earlyScheduled {
				earlyScheduled = true
				timer.Reset(earlyInterval)
			}
			continue
		case <-timer.C:
		}
		earlyScheduled = false
		err := loop.request(ctx)
		timer.Reset(max(loop.pause(err), earlyInterval/minPauseDivisor))
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
	// A node with a different agreement may not use its floors either: its own configuration may give it
	// larger floors than were set aside for each node. An unreachable voter is no evidence of a different
	// agreement.
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
	succeeded := err == nil
	if succeeded == l.succeeded {
		return
	}
	l.succeeded = succeeded
	if succeeded {
		l.fleet.log.Warn().Msg("lease requests succeed again")
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

// nextRequest builds the next lease request from the usage and the rejections since the last one.
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

// requestEarly makes the lease loop send the next request early. It may be called while f.mu is held.
func (f *Fleet) requestEarly() {
	select {
	case f.requestSoon <- struct{}{}:
	default:
	}
}
