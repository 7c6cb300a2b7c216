// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"encoding/json"
	"net"
	"time"

	"fernrail/internal/invariants"
)

// endpointChange is one version of the list.
type endpointChange struct {
	at    time.Time // when the agent had it
	id    string
	state string
}

// newFakeAgent returns an agent that knows of no servers.
func newFakeAgent(world *simulation) *fakeAgent {
	return &fakeAgent{
		world:         world,
		changed:       make(chan struct{}),
		openPolls:     map[net.Conn]time.Time{},
		assumedEvents: map[int64][]int{},
	}
}

// fakeAgent is a discovery agent that nodes poll for the endpoint list. All but its base version is guarded by
// world.mu.
//
// A change that the agent has, and that no poll has brought to the node, counts as notified after some time by the
// rules of the pages. Such events are recorded ahead and retracted where the change is sent before, or cannot be
// asked for.
type fakeAgent struct {
	world         *simulation
	baseVersion   int64 // what its versions are counted from
	version       int64
	changes       []endpointChange // by version, from 1 on
	sentVersion   int64            // the last version that was written to the present process
	assumedEvents map[int64][]int  // events that count as notified and were not sent yet, by version
	downUntil     chan struct{}
	pollFate      pollFate // while it is down
	missedChanges []endpointChange
	assumedAt     time.Time // by then what calls that are never answered miss counts as notified
	changed       chan struct{}
	openPolls     map[net.Conn]time.Time // out, by when their wait is over
	nextFault     string                 // the next answer, in place of one that makes sense
	// lastWasBusy says that the last response was a refusal; two in a row, after a long wait each, would be an
	// overloaded discovery.
	lastWasBusy bool
}

// drainStates are the names that the checker has for the states of the list.
var drainStates = map[string]string{"Ready": "up", "Terminating": "draining", "Gone": "gone"}

// notified is the event that a node was notified of a server's state.
func notified(id, state string) invariants.Event {
	return invariants.Event{Kind: invariants.EndpointNotified, Server: id, Result: drainStates[state]}
}

// assumeNotified has the node count as notified of one version, no earlier than a moment. Under mu.
func (a *fakeAgent) assumeNotified(v int64, least time.Time) {
	if a != a.world.currentAgent {
		return
	}
	n := a.changes[v-1]
	at := n.at
	for _, bound := range []time.Time{least, a.world.currentSince, a.assumedAt} {
		if bound.After(at) {
			at = bound
		}
	}
	a.assumedEvents[v] = append(a.assumedEvents[v], len(a.world.events))
	a.world.record(at, notified(n.id, n.state))
}

// assumeAllNotified tells of all that the present process has not heard.
func (a *fakeAgent) assumeAllNotified() {
	for v := a.sentVersion + 1; v <= a.version && a.downUntil == nil; v++ {
		if a.assumedEvents[v] == nil {
			a.assumeNotified(v, time.Now())
		}
	}
}

// retractAssumed takes back what counts as notified and was not sent: the agent can't be asked any more. What it has
// when it can counts then.
func (a *fakeAgent) retractAssumed() {
	for _, events := range a.assumedEvents {
		for _, i := range events {
			a.world.events[i].Kind = ""
		}
	}
	clear(a.assumedEvents)
}

// recordSent records that the node was sent a response, at this moment.
func (a *fakeAgent) recordSent(since int64, whole bool) {
	latest := map[string]string{}
	for v, n := range a.changes {
		if whole || int64(v) >= since {
			latest[n.id] = n.state
		}
	}
	now := time.Now()
	for v, events := range a.assumedEvents {
		for _, i := range events {
			if a.world.events[i].At > int64(now.Sub(a.world.started)) {
				a.world.events[i].Kind = ""
			}
		}
		delete(a.assumedEvents, v)
	}
	for _, id := range serverIDs {
		if state := latest[id]; state != "" && a == a.world.currentAgent {
			a.world.record(now, notified(id, state))
		}
	}
	a.sentVersion, a.assumedAt = a.version, time.Time{}
}

// addChange has an agent know of a change, now or when it is back. Under mu.
func (a *fakeAgent) addChange(id, state string) {
	if a.downUntil != nil {
		a.missedChanges = append(a.missedChanges, endpointChange{id: id, state: state})
		return
	}
	a.version++
	a.changes = append(a.changes, endpointChange{time.Now(), id, state})
	a.assumeNotified(a.version, time.Now())
	a.wakePolls()
}

// wakePolls has polls that wait look again. Under mu.
func (a *fakeAgent) wakePolls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// pollFate is what becomes of polls that wait while an agent is down.
type pollFate int

const (
	pollsAreAnswered pollFate = iota // when it is back
	pollsAreLost
)

// goDown has the agent answer nothing until comeBack. Under mu.
func (a *fakeAgent) goDown(fate pollFate) {
	if a.downUntil != nil {
		return
	}
	a.retractAssumed()
	a.downUntil = make(chan struct{})
	a.pollFate = fate
	if fate == pollsAreLost {
		a.loseOpenPolls()
	}
}

// loseOpenPolls has the calls that are out never answered.
func (a *fakeAgent) loseOpenPolls() {
	for c, over := range a.openPolls {
		late := time.Now().Add(silentPollGrace)
		if afterWait := over.Add(pollWaitGrace); afterWait.After(late) {
			late = afterWait
		}
		if late.After(a.assumedAt) {
			a.assumedAt = late
		}
		delete(a.openPolls, c)
	}
	a.wakePolls()
}

// comeBack ends the time in which the agent is down; it knows then of all that changed meanwhile. Under mu.
func (a *fakeAgent) comeBack() {
	if a.downUntil == nil {
		return
	}
	if a.pollFate == pollsAreLost {
		a.loseOpenPolls()
	}
	close(a.downUntil)
	a.downUntil = nil
	a.assumeAllNotified()
	for _, n := range a.missedChanges {
		a.addChange(n.id, n.state)
	}
	a.missedChanges = nil
	a.wakePolls()
}

// becomeCurrent has the node be at this place from now on; what it has counts from a moment on.
func (a *fakeAgent) becomeCurrent(since time.Time) {
	a.world.currentAgent.retractAssumed()
	if a != a.world.currentAgent {
		a.sentVersion = 0
		clear(a.assumedEvents)
	}
	a.world.currentAgent, a.world.currentSince = a, since
	a.assumeAllNotified()
}

// list is the endpoint list, or what has changed since a version, as discovery sends it. Under mu.
func (a *fakeAgent) list(since int64, whole bool) string {
	l := struct {
		Version int64            `json:"version"`
		Full    bool             `json:"full"`
		Servers []map[string]any `json:"servers"`
	}{a.baseVersion + a.version, whole, []map[string]any{}}
	latest := map[string]string{}
	for _, n := range a.changes[min(max(since, 0), a.version):] {
		latest[n.id] = n.state
	}
	for _, id := range serverIDs {
		if state, changed := latest[id]; changed && (!whole || state != "Gone") {
			l.Servers = append(l.Servers, map[string]any{
				"id": id, "addr": id + ":1", "zone": "home", "kind": "toy", "state": state,
			})
		}
	}
	text, _ := json.MarshalIndent(l, "", "  ")
	return string(text)
}
