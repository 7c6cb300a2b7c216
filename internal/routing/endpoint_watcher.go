// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernrail/internal/protocol"
)

func (r *Router) PollEndpoints(on bool) {
	select {
	case <-r.pollRequested:
	default:
	}
	r.pollRequested <- on
}

// SetEndpointSource has the list asked for elsewhere from now on. Of several new places the last one counts.
func (r *Router) SetEndpointSource(to EndpointSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.nextEndpointSource:
	default:
	}
	r.nextEndpointSource <- to
}

// watchResult is what a call for the list brought.
type watchResult struct {
	list     *protocol.EndpointList
	err      error
	noQuota  bool  // it was not made, for want of a share
	duration int64 // ns
}

// WatchEndpoints keeps the list up to date while the module wants that. A call that fails ends the watch; the module says
// when to ask again.
func (r *Router) WatchEndpoints(ctx context.Context) {
	// Danger: a fleet that starts together asks for so many whole lists that none is told of anything. What this node was
	// handed at the start is a list like any other, and changes to it cost little.
	go r.delay.run(ctx, r.log)
	on, whole, version := false, !r.initialEndpoints.Complete, r.initialEndpoints.Version
	var answer chan watchResult // of the call that is out
	leave := func() {}
	for {
		if on && answer == nil {
			answer = make(chan watchResult, 1)
			var call context.Context
			call, leave = context.WithCancel(ctx)
			go r.poll(call, r.endpointSource, version, whole, answer)
		}
		select {
		case <-ctx.Done():
			leave()
			return
		case on = <-r.pollRequested:
		// Danger: the call that waits at the old place hears nothing more, and versions of one place say nothing
		// about the other's list, which is asked for whole.
		case r.endpointSource = <-r.nextEndpointSource:
			leave()
			answer, on, whole, version = nil, true, true, 0
		case a := <-answer:
			leave()
			answer = nil
			on, whole, version = r.handlePollResult(a, version, whole)
		}
	}
}

// minPollInterval is the least time between two calls that bring nothing, well within the 200 ms after which a watch has ended.
const minPollInterval = 50 * time.Millisecond

func (r *Router) poll(ctx context.Context, l EndpointSource, since int64, whole bool, answer chan<- watchResult) {
	var a watchResult
	start := time.Now()
	if a.noQuota = !r.mayPoll(); a.noQuota {
		answer <- a
		return
	}
	r.log.Debug().Int64("since", since).Bool("whole", whole).Msg("polling discovery")
	if fault := r.recoverPanic(func() { a.list, a.err = l.Poll(ctx, since, whole) }); fault != nil {
		a.err = fault
	}
	a.duration = int64(time.Since(start))
	// Danger: a place that answers a watch at once, with a fault, nothing or nothing newer, takes the core.
	if a.err != nil || len(a.list.Endpoints) == 0 || a.list.Version <= since && !whole {
		select {
		case <-time.After(minPollInterval - time.Since(start)):
		case <-ctx.Done():
		}
	}
	answer <- a
}

// handlePollResult takes what a call brought, and says whether to ask on, and for what.
func (r *Router) handlePollResult(a watchResult, had int64, wanted bool) (on, whole bool, version int64) {
	switch {
	case a.err != nil || a.noQuota:
	case wanted && !a.list.Complete:
		a.err = errors.New("asked for the whole list, got changes")
	// Danger: a place that lost its memory tells of executors as they were. It is asked for the whole, which counts.
	case !wanted && a.list.Version < had:
		a.err, wanted = fmt.Errorf("went back from version %d to %d", had, a.list.Version), true
	}
	switch {
	case a.err != nil:
		r.log.Warn().Err(a.err).Int64("took_us", a.duration/1e3).Msg("discovery poll failed; keeping the current endpoint list")
		spent := int64(0)
		if errors.Is(a.err, protocol.ErrNoNews) {
			spent = a.duration
		}
		// Danger: a step that failed sets no alarm, and nothing is asked for ever after.
		return r.tryEvent(func() { r.module.PollFailed(a.duration, spent) }) != nil, wanted, had
	// Danger: a share that ran out between the decision and the call. The module decides anew.
	case a.noQuota:
		r.event(r.module.PollEndpoints)
		return false, wanted, had
	}
	began := time.Now()
	r.event(func() { r.applyEndpoints(a.list) })
	if a.list.Complete || len(a.list.Endpoints) > 0 {
		r.log.Info().Int64("version", a.list.Version).Bool("whole", a.list.Complete).Int("entries", len(a.list.Endpoints)).
			Int64("applied_us", time.Since(began).Microseconds()).Int64("lag_ms", r.delay.Delay()/1e6).Msg("list")
	}
	if r.unansweredUpdate != nil {
		close(r.unansweredUpdate)
		r.unansweredUpdate = nil
	}
	return r.pollAgain(), false, a.list.Version
}

// pollAgain says whether the next call is made at once; where nodes hold calls together the module says when.
func (r *Router) pollAgain() bool {
	if r.quotaSource != nil {
		r.event(r.module.PollSucceeded)
	}
	return r.quotaSource == nil
}

// mayPoll says whether a call may go out at this moment.
func (r *Router) mayPoll() bool {
	if r.quotaSource == nil {
		return true
	}
	overdue := false
	r.event(func() { overdue = r.module.PollOverdue() })
	return r.quotaSource.AllowPoll(overdue)
}

// FirstUpdate is closed when discovery has first answered.
func (r *Router) FirstUpdate() <-chan struct{} { return r.firstUpdate }
