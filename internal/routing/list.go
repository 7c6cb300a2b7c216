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
func (n *Router) SetEndpointSource(to EndpointSource) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.nextEndpointSource:
	default:
	}
	n.nextEndpointSource <- to
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
func (n *Router) WatchEndpoints(ctx context.Context) {
	// Danger: a fleet that starts together asks for so many whole lists that none is told of anything. What this node was
	// handed at the start is a list like any other, and changes to it cost little.
	go n.delay.run(ctx, n.log)
	on, whole, version := false, !n.initialEndpoints.Complete, n.initialEndpoints.Version
	var answer chan watchResult // of the call that is out
	leave := func() {}
	for {
		if on && answer == nil {
			answer = make(chan watchResult, 1)
			var call context.Context
			call, leave = context.WithCancel(ctx)
			go n.poll(call, n.endpointSource, version, whole, answer)
		}
		select {
		case <-ctx.Done():
			leave()
			return
		case on = <-n.pollRequested:
		// Danger: the call that waits at the old place hears nothing more, and versions of one place say nothing
		// about the other's list, which is asked for whole.
		case n.endpointSource = <-n.nextEndpointSource:
			leave()
			answer, on, whole, version = nil, true, true, 0
		case a := <-answer:
			leave()
			answer = nil
			on, whole, version = n.handlePollResult(a, version, whole)
		}
	}
}

// minPollInterval is the least time between two calls that bring nothing, well within the 200 ms after which a watch has ended.
const minPollInterval = 50 * time.Millisecond

func (n *Router) poll(ctx context.Context, l EndpointSource, since int64, whole bool, answer chan<- watchResult) {
	var a watchResult
	start := time.Now()
	if a.noQuota = !n.mayPoll(); a.noQuota {
		answer <- a
		return
	}
	n.log.Debug().Int64("since", since).Bool("whole", whole).Msg("list asked for")
	if fault := n.recoverPanic(func() { a.list, a.err = l.Poll(ctx, since, whole) }); fault != nil {
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
func (n *Router) handlePollResult(a watchResult, had int64, wanted bool) (on, whole bool, version int64) {
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
		n.log.Warn().Err(a.err).Int64("took_us", a.duration/1e3).Msg("discovery: list kept as it is")
		spent := int64(0)
		if errors.Is(a.err, protocol.ErrNoNews) {
			spent = a.duration
		}
		// Danger: a step that failed sets no alarm, and nothing is asked for ever after.
		return n.event(func() { n.module.PollFailed(a.duration, spent) }) != nil, wanted, had
	// Danger: a share that ran out between the decision and the call. The module decides anew.
	case a.noQuota:
		n.event(n.module.PollEndpoints)
		return false, wanted, had
	}
	began := time.Now()
	n.event(func() { n.applyEndpoints(a.list) })
	if a.list.Complete || len(a.list.Endpoints) > 0 {
		n.log.Info().Int64("version", a.list.Version).Bool("whole", a.list.Complete).Int("entries", len(a.list.Endpoints)).
			Int64("applied_us", time.Since(began).Microseconds()).Int64("lag_ms", n.delay.Delay()/1e6).Msg("list")
	}
	if n.unansweredUpdate != nil {
		close(n.unansweredUpdate)
		n.unansweredUpdate = nil
	}
	return n.pollAgain(), false, a.list.Version
}

// pollAgain says whether the next call is made at once; where nodes hold calls together the module says when.
func (n *Router) pollAgain() bool {
	if n.quotaSource != nil {
		n.event(n.module.PollSucceeded)
	}
	return n.quotaSource == nil
}

// mayPoll says whether a call may go out at this moment.
func (n *Router) mayPoll() bool {
	if n.quotaSource == nil {
		return true
	}
	overdue := false
	n.event(func() { overdue = n.module.PollOverdue() })
	return n.quotaSource.AllowPoll(overdue)
}

// applyEndpoints hands the list to the module and keeps the addresses.
func (n *Router) applyEndpoints(l *protocol.EndpointList) {
	var members []dispatch.Endpoint
	for _, e := range l.Endpoints {
		m := n.endpoints[e.ID]
		if m == nil {
			m = &endpoint{server: &dispatch.Server{Tag: e.ID, Hash: dispatch.HashName(e.ID), Distance: n.unplacedDistance, OutlierScore: n.outlierScores[e.ID]}}
			n.endpoints[e.ID] = m
			n.notifyEndpointsChanged()
		}
		if e.Address != "" {
			m.address = e.Address
		}
		if m.listed = e; !n.listedIDs[e.ID] {
			n.listedIDs[e.ID], n.listedOrder = true, append(n.listedOrder, e.ID)
		}
		members = append(members, n.moduleEndpoint(m))
	}
	n.module.UpdateEndpoints(l.Complete, members)
	// Danger: a map of thousands that is walked at each change of one of them.
	if !l.Complete {
		for _, e := range l.Endpoints {
			n.dropIfRemoved(e.ID)
		}
		return
	}
	for id := range n.endpoints {
		n.dropIfRemoved(id)
	}
}

// dropIfRemoved drops a server that is gone.
func (n *Router) dropIfRemoved(id string) {
	if m := n.endpoints[id]; m != nil && m.server.State == dispatch.Removed {
		delete(n.endpoints, id)
		n.notifyEndpointsChanged()
	}
}

func (n *Router) notifyEndpointsChanged() {
	select {
	case n.endpointsChanged <- struct{}{}:
	default:
	}
}

// EndpointsChanged comes when other executors are listed than were when it came last.
func (n *Router) EndpointsChanged() <-chan struct{} { return n.endpointsChanged }

// Endpoints are the executors that are listed, as discovery told them last.
func (n *Router) Endpoints() (entries []protocol.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(n.endpoints)) {
		entries = append(entries, n.endpoints[id].listed)
	}
	return entries
}

// SetDistances has the module use executors by how far they are from this node; those listed later come after the near ones until they are
// placed. Danger: a new executor that all nodes use at once.
func (n *Router) SetDistances(far map[string]int) {
	n.event(func() {
		n.unplacedDistance = 1
		for id, m := range n.endpoints {
			if at, is := far[id]; is {
				m.server.Distance = at
			}
		}
	})
}

// OnOutcome has each job's end told: whether its executor failed it. It is called before the node serves.
func (n *Router) OnOutcome(tell func(executor string, failed bool)) { n.onOutcome = tell }

// SetOutlierScores has the module know how bad many nodes say that executors are; nothing is said of the rest.
func (n *Router) SetOutlierScores(bad map[string]float64) {
	n.event(func() {
		n.outlierScores = bad
		for id, m := range n.endpoints {
			m.server.OutlierScore = bad[id]
		}
	})
}

// moduleEndpoint is an executor as the module is told of it: a banned one drains, whatever discovery says.
func (n *Router) moduleEndpoint(m *endpoint) dispatch.Endpoint {
	e := &m.listed
	state := e.State
	if state == dispatch.Up && n.excluded[e.ID] {
		state = dispatch.Draining
	}
	return dispatch.Endpoint{Server: m.server, State: state, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, StartedAt: e.Started, Capacity: e.Capacity}
}

// SetExcluded has these executors drain, and no others but those that discovery says do.
func (n *Router) SetExcluded(ids []string) {
	n.event(func() {
		was := n.excluded
		n.excluded = map[string]bool{}
		var changed []dispatch.Endpoint
		for _, id := range ids {
			n.excluded[id] = true
		}
		for _, id := range slices.Sorted(maps.Keys(n.endpoints)) {
			if m := n.endpoints[id]; was[id] != n.excluded[id] {
				changed = append(changed, n.moduleEndpoint(m))
			}
		}
		if len(changed) > 0 {
			n.module.UpdateEndpoints(false, changed)
		}
	})
}

// IsListed says whether an executor is in the list now.
func (n *Router) IsListed(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[id] != nil
}

// WasListed says whether an executor is in the list or ever was.
func (n *Router) WasListed(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listedIDs[id]
}

// EverListed gives the executors that were ever listed, but for the first so many.
func (n *Router) EverListed(but int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.listedOrder[but:])
}

// FirstUpdate is closed when discovery has first answered.
func (n *Router) FirstUpdate() <-chan struct{} { return n.firstUpdate }
