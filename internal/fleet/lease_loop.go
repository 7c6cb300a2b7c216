// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"time"

	"fernrail/internal/fleet/budget"
)

// maxRequestsPerLease is how many requests a node that needs more makes in a lease at most; one that needs no more makes three.
const maxRequestsPerLease = 15

// renewLeases asks for leases until the end.
func (f *Fleet) renewLeases(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	kicked, at, heard, hurry := false, 0, true, time.Duration(f.cfg.Agreement.Lease/maxRequestsPerLease)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requestSoon:
			if !kicked {
				kicked = true
				timer.Reset(hurry)
			}
			continue
		case <-timer.C:
		}
		kicked = false
		ask := f.nextRequest()
		call, cancel := context.WithTimeout(ctx, time.Duration(f.cfg.Agreement.Lease/3))
		answer, to, err := f.client.requestLease(call, at, &ask)
		cancel()
		at = to
		if err == nil {
			f.applyResponse(answer)
		}
		// Danger: floors by a file of its own, beyond what was carved out for each; a seat that is not reached proves nothing.
		if refused := errors.Is(err, errAgreementMismatch); refused || err == nil {
			f.mu.Lock()
			f.holder.SetRejected(refused, f.clock())
			f.mu.Unlock()
		}
		if ok := err == nil; ok != heard {
			heard = ok
			f.log.Warn().AnErr("last", err).Bool("heard", ok).Msg("leases")
		}
		f.mu.Lock()
		next := time.Duration(f.holder.NextRequestTime() - f.clock())
		f.mu.Unlock()
		if err != nil {
			next = min(next, time.Duration(f.cfg.Agreement.Lease/10)) // another seat
		}
		timer.Reset(max(next, hurry/8))
	}
}

// nextRequest makes the next request from what was used and refused since the last one.
func (f *Fleet) nextRequest() budget.LeaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	want := f.demand.Estimate(func(name string) (float64, bool) { return f.quotas[name].meter.PeakDemand(now) },
		func(name string) int64 { return f.holder.Units(name, now) })
	a := f.holder.NextRequest(want, now)
	a.FirstAttempts = int64(f.firstAttempts.Used("", now))
	return a
}

func (f *Fleet) applyResponse(a *budget.LeaseResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.holder.ClockRate()
	f.demand.ObserveResponse(a)
	f.holder.ApplyResponse(a, f.clock())
	if rate := f.holder.ClockRate(); rate != 0 && was == 0 {
		f.log.Error().Float64("rate", rate).Float64("margin", f.cfg.Agreement.ClockMargin).Msg("this machine's clock, or the granter's, is beyond the margin: no lease is used")
	}
	for name, whole := range a.Totals {
		if s := f.quotas[name]; s != nil {
			s.total = whole
		}
	}
}

// hurryRequest has the next request made soon. Under mu.
func (f *Fleet) hurryRequest() {
	select {
	case f.requestSoon <- struct{}{}:
	default:
	}
}
