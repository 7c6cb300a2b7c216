// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernrail/internal/protocol"
)

// minPollInterval is the least time between two polls that bring nothing. It is well within the 200
// ms after which a watch has ended.
const minPollInterval = 50 * time.Millisecond

var (
	// errNoPollQuota says that a poll was not sent, since the node's quota of polls was used up.
	errNoPollQuota = errors.New("no quota for a poll of discovery")
	// errListIncomplete says that the complete endpoint list was asked for and changes came.
	errListIncomplete = errors.New("asked for the complete endpoint list, got changes")
)

// versionRegressionError says that discovery sent an older endpoint list than the one that this
// node has.
type versionRegressionError struct {
	have, got int64
}

func (e *versionRegressionError) Error() string {
	return fmt.Sprintf("the endpoint list went back from version %d to %d", e.have, e.got)
}

// watchResult is what a poll of discovery brought.
type watchResult struct {
	list     *protocol.EndpointList // nil with an error
	err      error
	duration time.Duration
}

// watchState is what the watch of the endpoint list does next.
type watchState struct {
	pollNow      bool  // the next poll is sent at once; otherwise the module says when
	needComplete bool  // it asks for the complete list
	version      int64 // of the list that the module has
}

// SetEndpointSource has the endpoint list fetched from another source from now on. Of several
// sources set in a row the last counts.
func (r *Router) SetEndpointSource(source EndpointSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.nextEndpointSource:
	default:
	}
	r.nextEndpointSource <- source
}

// PollEndpoints implements dispatch.Actions: the module wants the endpoint list polled, or no
// longer. The latest word counts.
func (r *Router) PollEndpoints(on bool) {
	select {
	case <-r.pollRequested:
	default:
	}
	r.pollRequested <- on
}

// FirstUpdate is closed when discovery has answered a poll for the first time.
func (r *Router) FirstUpdate() <-chan struct{} { return r.firstUpdate }

// WatchEndpoints keeps the endpoint list up to date while the module wants that, until the context
// ends. A poll that fails ends the watch, and the module says when to poll again. The scheduling
// delay is measured for as long.
func (r *Router) WatchEndpoints(ctx context.Context) {
	go r.delay.run(ctx, r.log)
	// The configured list is one like any other, and changes to it cost little. If all nodes of a
	// fleet that starts together fetched complete lists instead, discovery would be too slow for
	// any of them.
	state := watchState{needComplete: !r.initialEndpoints.Complete, version: r.initialEndpoints.Version}
	var results chan watchResult // of the poll that is out; nil: none is
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
			// A poll that waits at the old source would bring nothing more. Versions of one source
			// say nothing about the list of another, so the complete one is fetched.
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

// poll polls discovery once. Its result is sent to a channel with room for it, so that poll ends
// also when nobody waits for it.
func (r *Router) poll(ctx context.Context, source EndpointSource, state watchState, results chan<- watchResult) {
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
	// A source that answers each poll at once, with an error or nothing new, would otherwise be
	// polled without a pause.
	if result.err != nil || !state.isUpdate(result.list) {
		select {
		case <-time.After(minPollInterval - time.Since(start)):
		case <-ctx.Done():
		}
	}
	results <- result
}

// isUpdate says whether a list tells anything beyond what the module has.
func (s watchState) isUpdate(list *protocol.EndpointList) bool {
	return len(list.Endpoints) > 0 && (s.needComplete || list.Version > s.version)
}

// check says why a list cannot be applied; nil: it can.
func (s watchState) check(list *protocol.EndpointList) error {
	if s.needComplete && !list.Complete {
		return errListIncomplete
	}
	// A source that lost its state lists servers as they once were. A complete list that was asked
	// for counts all the same.
	if !s.needComplete && list.Version < s.version {
		return &versionRegressionError{have: s.version, got: list.Version}
	}
	return nil
}

// handlePollResult applies what a poll brought and says how the watch goes on.
func (r *Router) handlePollResult(result watchResult, state watchState) watchState {
	if errors.Is(result.err, errNoPollQuota) {
		// The quota ran out between the decision and the poll, so the module decides anew.
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

// pollFailed tells the module of a poll that brought no usable list. The current list stays.
func (r *Router) pollFailed(err error, duration time.Duration, state watchState) watchState {
	r.log.Warn().
		Err(err).
		Int64("took_us", duration.Microseconds()).
		Msg("discovery poll failed; keeping the current endpoint list")
	var regression *versionRegressionError
	if errors.As(err, &regression) {
		state.needComplete = true
	}
	discoveryTime := time.Duration(0) // for which discovery worked on the poll
	if errors.Is(err, protocol.ErrNoNews) {
		discoveryTime = duration
	}
	err = r.tryEvent(func() { r.module.PollFailed(int64(duration), int64(discoveryTime)) })
	// If the module panicked it has set no timer for the next poll, and without a poll now there
	// would never be one.
	state.pollNow = err != nil
	return state
}

// applyPolledList hands a list to the module. The line "list" is read by fleetsim count: its text
// and keys are fixed.
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

// pollSucceeded says whether the next poll is sent at once. Where nodes share a budget of polls the
// module says when.
func (r *Router) pollSucceeded() bool {
	if r.quotaSource == nil {
		return true
	}
	r.event(r.module.PollSucceeded)
	return false
}

// takePollQuota says whether the node's quota allows a poll now, and takes it.
func (r *Router) takePollQuota() bool {
	if r.quotaSource == nil {
		return true
	}
	overdue := false
	r.event(func() { overdue = r.module.PollOverdue() })
	return r.quotaSource.AllowPoll(overdue)
}
