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
	case <-n.turn:
	default:
	}
	n.turn <- to
}

// told is what a call for the list brought.
type told struct {
	list *protocol.EndpointList
	err  error
	held bool  // it was not made, for want of a share
	took int64 // ns
}

// WatchEndpoints keeps the list up to date while the module wants that. A call that fails ends the watch; the module says
// when to ask again.
func (n *Router) WatchEndpoints(ctx context.Context) {
	// Danger: a fleet that starts together asks for so many whole lists that none is told of anything. What this node was
	// handed at the start is a list like any other, and changes to it cost little.
	go n.lag.run(ctx, n.log)
	on, whole, version := false, !n.known.Complete, n.known.Version
	var answer chan told // of the call that is out
	leave := func() {}
	for {
		if on && answer == nil {
			answer = make(chan told, 1)
			var call context.Context
			call, leave = context.WithCancel(ctx)
			go n.ask(call, n.lister, version, whole, answer)
		}
		select {
		case <-ctx.Done():
			leave()
			return
		case on = <-n.watch:
		// Danger: the call that waits at the old place hears nothing more, and versions of one place say nothing
		// about the other's list, which is asked for whole.
		case n.lister = <-n.turn:
			leave()
			answer, on, whole, version = nil, true, true, 0
		case a := <-answer:
			leave()
			answer = nil
			on, whole, version = n.hear(a, version, whole)
		}
	}
}

// spacing is the least time between two calls that bring nothing, well within the 200 ms after which a watch has ended.
const spacing = 50 * time.Millisecond

func (n *Router) ask(ctx context.Context, l EndpointSource, since int64, whole bool, answer chan<- told) {
	var a told
	start := time.Now()
	if a.held = !n.may(); a.held {
		answer <- a
		return
	}
	n.log.Debug().Int64("since", since).Bool("whole", whole).Msg("list asked for")
	if fault := n.guard(func() { a.list, a.err = l.Poll(ctx, since, whole) }); fault != nil {
		a.err = fault
	}
	a.took = int64(time.Since(start))
	// Danger: a place that answers a watch at once, with a fault, nothing or nothing newer, takes the core.
	if a.err != nil || len(a.list.Endpoints) == 0 || a.list.Version <= since && !whole {
		select {
		case <-time.After(spacing - time.Since(start)):
		case <-ctx.Done():
		}
	}
	answer <- a
}

// hear takes what a call brought, and says whether to ask on, and for what.
func (n *Router) hear(a told, had int64, wanted bool) (on, whole bool, version int64) {
	switch {
	case a.err != nil || a.held:
	case wanted && !a.list.Complete:
		a.err = errors.New("asked for the whole list, got changes")
	// Danger: a place that lost its memory tells of executors as they were. It is asked for the whole, which counts.
	case !wanted && a.list.Version < had:
		a.err, wanted = fmt.Errorf("went back from version %d to %d", had, a.list.Version), true
	}
	switch {
	case a.err != nil:
		n.log.Warn().Err(a.err).Int64("took_us", a.took/1e3).Msg("discovery: list kept as it is")
		spent := int64(0)
		if errors.Is(a.err, protocol.ErrNoNews) {
			spent = a.took
		}
		// Danger: a step that failed sets no alarm, and nothing is asked for ever after.
		return n.event(func() { n.module.PollFailed(a.took, spent) }) != nil, wanted, had
	// Danger: a share that ran out between the decision and the call. The module decides anew.
	case a.held:
		n.event(n.module.PollEndpoints)
		return false, wanted, had
	}
	began := time.Now()
	n.event(func() { n.listed(a.list) })
	if a.list.Complete || len(a.list.Endpoints) > 0 {
		n.log.Info().Int64("version", a.list.Version).Bool("whole", a.list.Complete).Int("entries", len(a.list.Endpoints)).
			Int64("applied_us", time.Since(began).Microseconds()).Int64("lag_ms", n.lag.Lag()/1e6).Msg("list")
	}
	if n.news != nil {
		close(n.news)
		n.news = nil
	}
	return n.on(), false, a.list.Version
}

// on says whether the next call is made at once; where nodes hold calls together the module says when.
func (n *Router) on() bool {
	if n.purse != nil {
		n.event(n.module.PollSucceeded)
	}
	return n.purse == nil
}

// may says whether a call may go out at this moment.
func (n *Router) may() bool {
	if n.purse == nil {
		return true
	}
	overdue := false
	n.event(func() { overdue = n.module.PollOverdue() })
	return n.purse.AllowPoll(overdue)
}

// listed hands the list to the module and keeps the addresses.
func (n *Router) listed(l *protocol.EndpointList) {
	var members []dispatch.Endpoint
	for _, e := range l.Endpoints {
		m := n.members[e.ID]
		if m == nil {
			m = &member{executor: &dispatch.Server{Tag: e.ID, Hash: dispatch.HashName(e.ID), Distance: n.beyond, OutlierScore: n.doubted[e.ID]}}
			n.members[e.ID] = m
			n.other()
		}
		if e.Address != "" {
			m.address = e.Address
		}
		if m.entry = e; !n.listedOnce[e.ID] {
			n.listedOnce[e.ID], n.ever = true, append(n.ever, e.ID)
		}
		members = append(members, n.present(m))
	}
	n.module.UpdateEndpoints(l.Complete, members)
	// Danger: a map of thousands that is walked at each change of one of them.
	if !l.Complete {
		for _, e := range l.Endpoints {
			n.forget(e.ID)
		}
		return
	}
	for id := range n.members {
		n.forget(id)
	}
}

// forget drops a server that is gone.
func (n *Router) forget(id string) {
	if m := n.members[id]; m != nil && m.executor.State == dispatch.Removed {
		delete(n.members, id)
		n.other()
	}
}

func (n *Router) other() {
	select {
	case n.relisted <- struct{}{}:
	default:
	}
}

// EndpointsChanged comes when other executors are listed than were when it came last.
func (n *Router) EndpointsChanged() <-chan struct{} { return n.relisted }

// Endpoints are the executors that are listed, as discovery told them last.
func (n *Router) Endpoints() (entries []protocol.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(n.members)) {
		entries = append(entries, n.members[id].entry)
	}
	return entries
}

// SetDistances has the module use executors by how far they are from this node; those listed later come after the near ones until they are
// placed. Danger: a new executor that all nodes use at once.
func (n *Router) SetDistances(far map[string]int) {
	n.event(func() {
		n.beyond = 1
		for id, m := range n.members {
			if at, is := far[id]; is {
				m.executor.Distance = at
			}
		}
	})
}

// OnOutcome has each job's end told: whether its executor failed it. It is called before the node serves.
func (n *Router) OnOutcome(tell func(executor string, failed bool)) { n.witness = tell }

// SetOutlierScores has the module know how bad many nodes say that executors are; nothing is said of the rest.
func (n *Router) SetOutlierScores(bad map[string]float64) {
	n.event(func() {
		n.doubted = bad
		for id, m := range n.members {
			m.executor.OutlierScore = bad[id]
		}
	})
}

// present is an executor as the module is told of it: a banned one drains, whatever discovery says.
func (n *Router) present(m *member) dispatch.Endpoint {
	e := &m.entry
	state := e.State
	if state == dispatch.Up && n.banned[e.ID] {
		state = dispatch.Draining
	}
	return dispatch.Endpoint{Server: m.executor, State: state, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, StartedAt: e.Started, Capacity: e.Capacity}
}

// SetExcluded has these executors drain, and no others but those that discovery says do.
func (n *Router) SetExcluded(ids []string) {
	n.event(func() {
		was := n.banned
		n.banned = map[string]bool{}
		var changed []dispatch.Endpoint
		for _, id := range ids {
			n.banned[id] = true
		}
		for _, id := range slices.Sorted(maps.Keys(n.members)) {
			if m := n.members[id]; was[id] != n.banned[id] {
				changed = append(changed, n.present(m))
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
	return n.members[id] != nil
}

// WasListed says whether an executor is in the list or ever was.
func (n *Router) WasListed(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listedOnce[id]
}

// EverListed gives the executors that were ever listed, but for the first so many.
func (n *Router) EverListed(but int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.ever[but:])
}

// FirstUpdate is closed when discovery has first answered.
func (n *Router) FirstUpdate() <-chan struct{} { return n.heard }
