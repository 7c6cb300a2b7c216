// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"encoding/json"
	"net"
	"time"

	"fernrail/internal/invariants"
)

// endpointChange is the change of one server's state that makes one version of the list.
type endpointChange struct {
	at    time.Time // when the agent learned of it
	id    string
	state string
}

// newFakeAgent returns an agent with an empty endpoint list.
func newFakeAgent(sim *simulation) *fakeAgent {
	return &fakeAgent{
		sim:           sim,
		changed:       make(chan struct{}),
		openPolls:     map[net.Conn]time.Time{},
		assumedEvents: map[int64][]int{},
	}
}

// fakeAgent is a discovery agent that nodes poll for the endpoint list. All fields except baseVersion are
// guarded by sim.mu.
//
// By the specified rules, the node counts as notified of a change some time after the agent has it, even if
// no poll has delivered it. Such assumed events are recorded in advance. They are retracted if the change is
// sent earlier, or if the agent cannot be polled.
type fakeAgent struct {
	sim           *simulation
	baseVersion   int64 // offset of its versions on the wire
	version       int64
	changes       []endpointChange // of versions 1, 2 and so on
	sentVersion   int64            // last version written to the current process
	assumedEvents map[int64][]int  // indexes in sim.events of assumed notifications, by version
	outageEnded   chan struct{}
	pollFate      pollFate         // of the current outage
	missedChanges []endpointChange // that were made during the current outage
	assumedAt     time.Time        // from when changes missed by lost polls count as notified
	changed       chan struct{}
	openPolls     map[net.Conn]time.Time // waiting polls, with the end of their wait
	nextFault     string                 // fault of the next response; empty for none
	// lastFaultWasBusy is set if the last response had the fault "busy". Two in a row, each after a long
	// wait, would simulate an overloaded discovery.
	lastFaultWasBusy bool
}

// drainStates maps the states of the endpoint list to the names that the checker uses.
var drainStates = map[string]string{"Ready": "up", "Terminating": "draining", "Gone": "gone"}

// notified returns the event that a node was notified of a server's state.
func notified(id, state string) invariants.Event {
	return invariants.Event{Kind: invariants.EndpointNotified, Server: id, Result: drainStates[state]}
}

// assumeNotified records that the node counts as notified of one version, at the earliest time or later. The
// caller holds sim.mu.
func (a *fakeAgent) assumeNotified(v int64, earliest time.Time) {
	if a != a.sim.currentAgent {
		return
	}
	n := a.changes[v-1]
	at := n.at
	for _, bound := range []time.Time{earliest, a.sim.currentSince, a.assumedAt} {
		if bound.After(at) {
			at = bound
		}
	}
	a.assumedEvents[v] = append(a.assumedEvents[v], len(a.sim.events))
	a.sim.record(at, notified(n.id, n.state))
}

// assumeAllNotified calls assumeNotified for all versions that were not sent to the current process. The
// caller holds sim.mu.
func (a *fakeAgent) assumeAllNotified() {
	for v := a.sentVersion + 1; v <= a.version && a.outageEnded == nil; v++ {
		if a.assumedEvents[v] == nil {
			a.assumeNotified(v, time.Now())
		}
	}
}

// retractAssumed retracts the assumed notifications because the agent can no longer be polled. Its changes
// count as notified after it can be polled again. The caller holds sim.mu.
func (a *fakeAgent) retractAssumed() {
	for _, events := range a.assumedEvents {
		for _, i := range events {
			a.sim.events[i].Kind = ""
		}
	}
	clear(a.assumedEvents)
}

// recordSent records the notifications of a response that is sent to the node now, and retracts the later
// assumed ones. The caller holds sim.mu.
func (a *fakeAgent) recordSent(since int64, full bool) {
	latest := map[string]string{}
	for v, n := range a.changes {
		if full || int64(v) >= since {
			latest[n.id] = n.state
		}
	}
	now := time.Now()
	for v, events := range a.assumedEvents {
		for _, i := range events {
			if a.sim.events[i].At > int64(now.Sub(a.sim.started)) {
				a.sim.events[i].Kind = ""
			}
		}
		delete(a.assumedEvents, v)
	}
	for _, id := range serverIDs {
		if state := latest[id]; state != "" && a == a.sim.currentAgent {
			a.sim.record(now, notified(id, state))
		}
	}
	a.sentVersion, a.assumedAt = a.version, time.Time{}
}

// addChange adds a change to the agent's list, immediately or after the current outage. The caller holds
// sim.mu.
func (a *fakeAgent) addChange(id, state string) {
	if a.outageEnded != nil {
		a.missedChanges = append(a.missedChanges, endpointChange{id: id, state: state})
		return
	}
	a.version++
	a.changes = append(a.changes, endpointChange{time.Now(), id, state})
	a.assumeNotified(a.version, time.Now())
	a.wakePolls()
}

// wakePolls makes waiting polls check for a response again. The caller holds sim.mu.
func (a *fakeAgent) wakePolls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// pollFate selects what happens to polls that wait while an agent is down.
type pollFate int

const (
	pollsAnsweredLater pollFate = iota // after the outage
	pollsLost
)

// startOutage makes the agent answer no polls until endOutage. The caller holds sim.mu.
func (a *fakeAgent) startOutage(fate pollFate) {
	if a.outageEnded != nil {
		return
	}
	a.retractAssumed()
	a.outageEnded = make(chan struct{})
	a.pollFate = fate
	if fate == pollsLost {
		a.loseOpenPolls()
	}
}

// loseOpenPolls makes the agent never answer the polls that are waiting now. The caller holds sim.mu.
func (a *fakeAgent) loseOpenPolls() {
	for c, over := range a.openPolls {
		notifiedBy := time.Now().Add(silentPollGrace)
		if waitEnd := over.Add(pollWaitGrace); waitEnd.After(notifiedBy) {
			notifiedBy = waitEnd
		}
		if notifiedBy.After(a.assumedAt) {
			a.assumedAt = notifiedBy
		}
		delete(a.openPolls, c)
	}
	a.wakePolls()
}

// endOutage ends an outage and adds the changes that were made during it. The caller holds sim.mu.
func (a *fakeAgent) endOutage() {
	if a.outageEnded == nil {
		return
	}
	if a.pollFate == pollsLost {
		a.loseOpenPolls()
	}
	close(a.outageEnded)
	a.outageEnded = nil
	a.assumeAllNotified()
	for _, n := range a.missedChanges {
		a.addChange(n.id, n.state)
	}
	a.missedChanges = nil
	a.wakePolls()
}

// becomeCurrent makes this agent the node's current one. Its changes count as notified from the given time
// on. The caller holds sim.mu.
func (a *fakeAgent) becomeCurrent(since time.Time) {
	a.sim.currentAgent.retractAssumed()
	if a != a.sim.currentAgent {
		a.sentVersion = 0
		clear(a.assumedEvents)
	}
	a.sim.currentAgent, a.sim.currentSince = a, since
	a.assumeAllNotified()
}

// list returns the full endpoint list, or the changes since a version, as discovery sends it. The caller
// holds sim.mu.
func (a *fakeAgent) list(since int64, full bool) string {
	l := struct {
		Version int64            `json:"version"`
		Full    bool             `json:"full"`
		Servers []map[string]any `json:"servers"`
	}{a.baseVersion + a.version, full, []map[string]any{}}
	latest := map[string]string{}
	for _, n := range a.changes[min(max(since, 0), a.version):] {
		latest[n.id] = n.state
	}
	for _, id := range serverIDs {
		if state, changed := latest[id]; changed && (!full || state != "Gone") {
			l.Servers = append(l.Servers, map[string]any{
				"id": id, "addr": id + ":1", "zone": "home", "kind": "toy", "state": state,
			})
		}
	}
	text, _ := json.MarshalIndent(l, "", "  ")
	return string(text)
}
