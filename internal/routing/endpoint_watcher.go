// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernrail/internal/protocol"
)

// minPollInterval is the minimum time from the start of a poll that failed or brought no update to the
// next poll. It is well below the 200 ms after which a watch has ended.
const minPollInterval = 50 * time.Millisecond

var (
	// errNoPollQuota means that a poll was not sent because the node's poll quota was used up.
	errNoPollQuota = errors.New("poll quota of this node is used up")
	// errListIncomplete means that discovery sent changes in response to a poll for the complete list.
	errListIncomplete = errors.New("discovery sent changes; requested the complete endpoint list")
)

// versionRegressionError means that discovery sent an endpoint list with a lower version than that of
// the node's current list.
type versionRegressionError struct {
	have, got int64
}

func (e *versionRegressionError) Error() string {
	return fmt.Sprintf("endpoint list version went back from %d to %d", e.have, e.got)
}

// watchResult is the result of one poll of discovery.
type watchResult struct {
	list     *protocol.EndpointList // nil if err is set
	err      error
	duration time.Duration
}

// watchState determines the next poll of discovery.
type watchState struct {
	pollNow      bool  // send the next poll immediately; otherwise the module decides when
	needComplete bool  // request the complete list
	version      int64 // of the module's current list
}

// SetEndpointSource replaces the source of the endpoint list. If several sources are set in a row, the
// last one is used.
func (r *Router) SetEndpointSource(source EndpointSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.nextEndpointSource:
	default:
	}
	r.nextEndpointSource <- source
}

// PollEndpoints implements dispatch.Actions: it starts or stops polling of the endpoint list. A later
// call overrides an earlier one that has not taken effect.
func (r *Router) PollEndpoints(on bool) {
	select {
	case <-r.pollRequested:
	default:
	}
	r.pollRequested <- on
}

// FirstPollSucceeded returns a channel that is closed after the first successful poll of discovery.
func (r *Router) FirstPollSucceeded() <-chan struct{} { return r.firstUpdate }

// WatchEndpoints polls discovery for the endpoint list whenever the module requests it, until the
// context ends. After a failed poll it waits until the module requests the next one. It also runs the
// measurement of the scheduling delay.
func (r *Router) WatchEndpoints(ctx context.Context) {
	go r.delay.run(ctx, r.log)
	// The first poll requests only the changes to the configured list, which costs little. If all
	// nodes of a fleet that starts together fetched complete lists, discovery would be too slow for
	// any of them.
	state := watchState{needComplete: !r.initialEndpoints.Complete, version: r.initialEndpoints.Version}
	var results chan watchResult // of the poll in flight; nil: none is in flight
	cancel := func() {}
	for {
		if state.pollNow && results == nil {
			results = make(chan watchResult, 1)
			var pollContext context.Context
			pollContext, cancel = context.WithCancel(ctx)
			go r.poll(pollContext, r.endpointSource, state, results)
		}
		select {
		case <-ctx.Done():
			cancel()
			return
		case state.pollNow = <-r.pollRequested:
		case r.endpointSource = <-r.nextEndpointSource:
			// A poll in flight at the old source would bring no further updates. Versions of different
			// sources can't be compared, so the complete list is fetched.
			cancel()
			results = nil
			state = watchState{pollNow: true, needComplete: true}
		case result := <-results:
			cancel()
			results = nil
			state = r.handlePollResult(result, state)
		}
	}
}

// poll polls discovery once and sends its result to results. The channel must have a free buffer slot,
// so that poll also returns if the result is no longer received.
func (r *Router) poll(ctx context.Context, source EndpointSource, state watchState,
	results chan<- watchResult) {
	if !r.takePollQuota() {
		results <- watchResult{err: errNoPollQuota}
		return
	}
	r.log.Debug().Int64("since", state.version).Bool("whole", state.needComplete).Msg("polling discovery")
	start := time.Now()
	var result watchResult
	panicked := r.recoverPanic(func() {
		result.list, result.err = source.Poll(ctx, state.version, state.needComplete)
	})
	if panicked != nil {
		result.err = panicked
	}
	result.duration = time.Since(start)
	// Without this pause, a source that responds immediately with an error or without an update would
	// be polled in a tight loop.
	if result.err != nil || !state.isUpdate(result.list) {
		select {
		case <-time.After(minPollInterval - time.Since(start)):
		case <-ctx.Done():
		}
	}
	results <- result
}

// isUpdate reports whether a list contains an update for the module: it has at least one entry, and it has a
// higher version than the module's list unless the complete list was requested.
func (s watchState) isUpdate(list *protocol.EndpointList) bool {
	return len(list.Endpoints) > 0 && (s.needComplete || list.Version > s.version)
}

// check returns an error if a list must not be applied.
func (s watchState) check(list *protocol.EndpointList) error {
	if s.needComplete && !list.Complete {
		return errListIncomplete
	}
	// A source that lost its state sends an outdated list. A complete list is accepted with any
	// version if it was requested.
	if !s.needComplete && list.Version < s.version {
		return &versionRegressionError{have: s.version, got: list.Version}
	}
	return nil
}

// handlePollResult applies the result of a poll and returns the next state of the watch.
func (r *Router) handlePollResult(result watchResult, state watchState) watchState {
	if errors.Is(result.err, errNoPollQuota) {
		// The quota was used up between the module's decision and the poll, so the module decides again.
		r.event(r.module.PollEndpoints)
		state.pollNow = false
		return state
	}
	err := result.err
	if err == nil {
		err = state.check(result.list)
	}
	if err != nil {
		return r.pollFailed(err, result.duration, state)
	}
	r.applyPolledList(result.list)
	return watchState{pollNow: r.pollSucceeded(), version: result.list.Version}
}

// pollFailed reports to the module a poll that returned no usable list, and returns the next state of
// the watch. The current list stays in use.
func (r *Router) pollFailed(err error, duration time.Duration, state watchState) watchState {
	r.log.Warn().
		Err(err).
		Int64("took_us", duration.Microseconds()).
		Msg("discovery poll failed; keeping the current endpoint list")
	var regression *versionRegressionError
	if errors.As(err, &regression) {
		state.needComplete = true
	}
	discoveryTime := time.Duration(0) // how long discovery worked on the poll
	if errors.Is(err, protocol.ErrNoEndpointList) {
		discoveryTime = duration
	}
	err = r.tryEvent(func() { r.module.PollFailed(int64(duration), int64(discoveryTime)) })
	// A module that panicked has set no timer for the next poll. The next poll is sent immediately,
	// because polling would otherwise stop forever.
	state.pollNow = err != nil
	return state
}

// applyPolledList passes a list to the module. The log line "list" is read by "fleetsim count"; its
// message and keys must not change.
func (r *Router) applyPolledList(list *protocol.EndpointList) {
	start := time.Now()
	r.event(func() { r.applyEndpoints(list) })
	if list.Complete || len(list.Endpoints) > 0 {
		r.log.Info().
			Int64("version", list.Version).
			Bool("whole", list.Complete).
			Int("entries", len(list.Endpoints)).
			Int64("applied_us", time.Since(start).Microseconds()).
			Int64("lag_ms", r.delay.Delay()/1e6).
			Msg("list")
	}
	r.firstUpdateOnce.Do(func() { close(r.firstUpdate) })
}

// pollSucceeded reports whether the next poll is sent immediately. If the nodes share a budget of polls,
// it reports the success to the module, which decides when to poll next.
func (r *Router) pollSucceeded() bool {
	if r.quotaSource == nil {
		return true
	}
	r.event(r.module.PollSucceeded)
	return false
}

// takePollQuota takes one poll from the node's quota. It reports whether the poll may be sent now.
func (r *Router) takePollQuota() bool {
	if r.quotaSource == nil {
		return true
	}
	overdue := false
	r.event(func() { overdue = r.module.PollOverdue() })
	return r.quotaSource.AllowPoll(overdue)
}
