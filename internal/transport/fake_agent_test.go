// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fernrail/internal/invariants"
)

type endpointChange struct {
	at    time.Time // when the agent had it
	id    string
	state string
}

// fakeAgent is one place that is asked for the list.
type fakeAgent struct {
	world           *simulation
	baseVersion     int64 // what its versions are counted from
	version         int64
	changes         []endpointChange // by version, from 1 on
	sentVersion     int64            // the last version that was written to the present process
	assumedEvents   map[int64][]int  // what counts as told and was not written yet, by version: events
	downUntil       chan struct{}
	answersWhenBack bool // calls that are out while it is down are answered when it is back
	missedChanges   []endpointChange
	assumedAt       time.Time // by then what calls that are never answered miss counts as told
	changed         chan struct{}
	openPolls       map[net.Conn]time.Time // out, by when their wait is over
	nextFault       string                 // the next answer, in place of one that makes sense
	lastWasBusy     bool                   // the last one was a refusal; two slow ones in a row are an overbooked discovery's
}

var drainStates = map[string]string{"Ready": "up", "Terminating": "draining", "Gone": "gone"}

// assumeNotified has the node count as told of one version, no earlier than a moment. Under mu.
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
	a.world.record(at, invariants.Event{Kind: invariants.EndpointNotified, Server: n.id, Result: drainStates[n.state]})
}

// assumeAllNotified tells of all that the present process has not heard.
func (a *fakeAgent) assumeAllNotified() {
	for v := a.sentVersion + 1; v <= a.version && a.downUntil == nil; v++ {
		if a.assumedEvents[v] == nil {
			a.assumeNotified(v, time.Now())
		}
	}
}

// retractAssumed takes back what counts as told and was not heard: the agent can't be asked any more. What it has when it can counts then.
func (a *fakeAgent) retractAssumed() {
	for _, told := range a.assumedEvents {
		for _, i := range told {
			a.world.events[i].Kind = ""
		}
	}
	clear(a.assumedEvents)
}

// recordSent takes what was told to the node itself, at this moment.
func (a *fakeAgent) recordSent(since int64, whole bool) {
	latest := map[string]string{}
	for v, n := range a.changes {
		if whole || int64(v) >= since {
			latest[n.id] = n.state
		}
	}
	now := time.Now()
	for v, told := range a.assumedEvents {
		for _, i := range told {
			if a.world.events[i].At > int64(now.Sub(a.world.started)) {
				a.world.events[i].Kind = ""
			}
		}
		delete(a.assumedEvents, v)
	}
	for _, id := range serverIDs {
		if state := latest[id]; state != "" && a == a.world.currentAgent {
			a.world.record(now, invariants.Event{Kind: invariants.EndpointNotified, Server: id, Result: drainStates[state]})
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

func (a *fakeAgent) wakePolls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) goDown(mends bool) {
	if a.downUntil != nil {
		return
	}
	a.retractAssumed()
	if a.downUntil, a.answersWhenBack = make(chan struct{}), mends; !mends {
		a.loseOpenPolls()
	}
}

// loseOpenPolls has the calls that are out never answered.
func (a *fakeAgent) loseOpenPolls() {
	for c, over := range a.openPolls {
		late := time.Now().Add(silentPollGrace)
		if over = over.Add(pollWaitGrace); over.After(late) {
			late = over
		}
		if late.After(a.assumedAt) {
			a.assumedAt = late
		}
		delete(a.openPolls, c)
	}
	a.wakePolls()
}

func (a *fakeAgent) comeBack() {
	if a.downUntil == nil {
		return
	}
	if !a.answersWhenBack {
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
	if a.world.currentAgent.retractAssumed(); a != a.world.currentAgent {
		a.sentVersion = 0
		clear(a.assumedEvents)
	}
	a.world.currentAgent, a.world.currentSince = a, since
	a.assumeAllNotified()
}

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
		if state, told := latest[id]; told && (!whole || state != "Gone") {
			l.Servers = append(l.Servers, map[string]any{"id": id, "addr": id + ":1", "zone": "home", "kind": "toy", "state": state})
		}
	}
	text, _ := json.MarshalIndent(l, "", "  ")
	return string(text)
}

// serve answers calls on one connection, one after the other.
func (a *fakeAgent) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		q := r.URL.Query()
		since, err := strconv.ParseInt(q.Get("since"), 10, 64)
		since -= a.baseVersion
		whole, wait := err != nil, time.Duration(0)
		if ms, err := strconv.Atoi(q.Get("timeout_ms")); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
		over := time.Now().Add(wait)
		gone, next := make(chan struct{}), make(chan struct{})
		go func() { // the caller has given up, or has its answer and asks again
			if _, err := in.Peek(1); err != nil {
				close(gone)
			}
			close(next)
		}()
		a.world.mu.Lock()
		a.openPolls[c] = over
		a.world.mu.Unlock()
		for {
			a.world.mu.Lock()
			if _, out := a.openPolls[c]; !out { // stuck for good
				a.world.mu.Unlock()
				<-gone
				return
			}
			down, changed, fresh := a.downUntil, a.changed, whole || a.version > since
			body, odd := "", ""
			if down == nil && (fresh || !time.Now().Before(over)) {
				body, odd, a.nextFault = a.list(since, whole), a.nextFault, ""
				if a.lastWasBusy = odd == "busy" && !a.lastWasBusy; odd == "busy" && !a.lastWasBusy {
					odd = ""
				}
				if delete(a.openPolls, c); odd == "" && a.world.conns[c] {
					a.recordSent(since, whole)
				}
			}
			a.world.mu.Unlock()
			if body != "" {
				switch odd {
				case "busy":
					io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				case "half":
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
					return // with the connection
				case "garbage":
					body = "<html>"
				case "old": // all as it was at the start
					body = strings.NewReplacer("Terminating", "Ready", "Gone", "Ready", strconv.FormatInt(a.baseVersion+a.version, 10), "1").Replace(body)
				}
				if odd != "busy" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				break
			}
			wait := time.After(max(time.Until(over), time.Millisecond))
			if down != nil {
				wait = nil
			}
			select {
			case <-changed:
			case <-down:
			case <-wait:
			case <-gone:
				a.world.mu.Lock()
				delete(a.openPolls, c)
				a.world.mu.Unlock()
				return
			}
		}
		select {
		case <-next:
		case <-gone:
		}
	}
}
