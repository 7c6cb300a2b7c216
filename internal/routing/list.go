// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

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
		return r.event(func() { r.module.PollFailed(a.duration, spent) }) != nil, wanted, had
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

// applyEndpoints hands the list to the module and keeps the addresses.
func (r *Router) applyEndpoints(l *protocol.EndpointList) {
	var members []dispatch.Endpoint
	for _, e := range l.Endpoints {
		m := r.endpoints[e.ID]
		if m == nil {
			m = &endpoint{server: &dispatch.Server{Tag: e.ID, Hash: dispatch.HashName(e.ID), Distance: r.unplacedDistance, OutlierScore: r.outlierScores[e.ID]}}
			r.endpoints[e.ID] = m
			r.notifyEndpointsChanged()
		}
		if e.Address != "" {
			m.address = e.Address
		}
		if m.listed = e; !r.listedIDs[e.ID] {
			r.listedIDs[e.ID], r.listedOrder = true, append(r.listedOrder, e.ID)
		}
		members = append(members, r.moduleEndpoint(m))
	}
	r.module.UpdateEndpoints(l.Complete, members)
	// Danger: a map of thousands that is walked at each change of one of them.
	if !l.Complete {
		for _, e := range l.Endpoints {
			r.dropIfRemoved(e.ID)
		}
		return
	}
	for id := range r.endpoints {
		r.dropIfRemoved(id)
	}
}

// dropIfRemoved drops a server that is gone.
func (r *Router) dropIfRemoved(id string) {
	if m := r.endpoints[id]; m != nil && m.server.State == dispatch.Removed {
		delete(r.endpoints, id)
		r.notifyEndpointsChanged()
	}
}

func (r *Router) notifyEndpointsChanged() {
	select {
	case r.endpointsChanged <- struct{}{}:
	default:
	}
}

// EndpointsChanged comes when other executors are listed than were when it came last.
func (r *Router) EndpointsChanged() <-chan struct{} { return r.endpointsChanged }

// Endpoints are the executors that are listed, as discovery told them last.
func (r *Router) Endpoints() (entries []protocol.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		entries = append(entries, r.endpoints[id].listed)
	}
	return entries
}

// SetDistances has the module use executors by how far they are from this node; those listed later come after the near ones until they are
// placed. Danger: a new executor that all nodes use at once.
func (r *Router) SetDistances(far map[string]int) {
	r.event(func() {
		r.unplacedDistance = 1
		for id, m := range r.endpoints {
			if at, is := far[id]; is {
				m.server.Distance = at
			}
		}
	})
}

// OnOutcome has each job's end told: whether its executor failed it. It is called before the node serves.
func (r *Router) OnOutcome(tell func(executor string, failed bool)) { r.onOutcome = tell }

// SetOutlierScores has the module know how bad many nodes say that executors are; nothing is said of the rest.
func (r *Router) SetOutlierScores(bad map[string]float64) {
	r.event(func() {
		r.outlierScores = bad
		for id, m := range r.endpoints {
			m.server.OutlierScore = bad[id]
		}
	})
}

// moduleEndpoint is an executor as the module is told of it: a banned one drains, whatever discovery says.
func (r *Router) moduleEndpoint(m *endpoint) dispatch.Endpoint {
	e := &m.listed
	state := e.State
	if state == dispatch.Up && r.excluded[e.ID] {
		state = dispatch.Draining
	}
	return dispatch.Endpoint{Server: m.server, State: state, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, StartedAt: e.Started, Capacity: e.Capacity}
}

// SetExcluded has these executors drain, and no others but those that discovery says do.
func (r *Router) SetExcluded(ids []string) {
	r.event(func() {
		was := r.excluded
		r.excluded = map[string]bool{}
		var changed []dispatch.Endpoint
		for _, id := range ids {
			r.excluded[id] = true
		}
		for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
			if m := r.endpoints[id]; was[id] != r.excluded[id] {
				changed = append(changed, r.moduleEndpoint(m))
			}
		}
		if len(changed) > 0 {
			r.module.UpdateEndpoints(false, changed)
		}
	})
}

// IsListed says whether an executor is in the list now.
func (r *Router) IsListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[id] != nil
}

// WasListed says whether an executor is in the list or ever was.
func (r *Router) WasListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedIDs[id]
}

// EverListed gives the executors that were ever listed, but for the first so many.
func (r *Router) EverListed(but int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.listedOrder[but:])
}

// FirstUpdate is closed when discovery has first answered.
func (r *Router) FirstUpdate() <-chan struct{} { return r.firstUpdate }
