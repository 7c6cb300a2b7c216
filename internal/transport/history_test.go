// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"cmp"
	"context"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"fernrail/internal/config"
	"fernrail/internal/invariants"
	"fernrail/internal/protocol"
)

// history is one run of the simulation: a node, its clients, and faults of discovery and changes of servers by chance.
type history struct {
	*simulation
	config    *config.Node
	process   *nodeProcess
	savedList string // that the next process knows from the start
	requests  int
	drains    int
}

// runHistory plays one history, and returns the violations that the checker found. On one processor a seed replays
// to the event, but where the runtime chooses among several things that one cause made ready.
func runHistory(t *testing.T, seed uint64, steps []string) (violations []invariants.Violation, sent, drains int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	c := loadConfig(t, nodeSettings)
	synctest.Test(t, func(t *testing.T) {
		h := &history{simulation: newSimulation(t, seed), config: c}
		h.play(steps)
		violations, sent = h.judge()
		drains = h.drains
	})
	return violations, sent, drains
}

// play runs 800 steps of about 50 ms, and ends the process when everything has settled.
func (h *history) play(steps []string) {
	for _, id := range serverIDs {
		h.setState(id, "Ready")
	}
	h.process = h.startProcess(h.config, h.currentAgent.list(0, true))
	h.savedList = h.currentAgent.list(0, true)
	ctx, cancel := context.WithCancel(h.t.Context())
	for step := range 800 {
		h.mu.Lock()
		h.randomStep(steps)
		h.mu.Unlock()
		if step%2 == 0 {
			h.serveRequest(ctx)
		}
		// No two things fall into one instant but by their cause.
		time.Sleep(50*time.Millisecond + time.Duration(h.rand.IntN(1e6)))
		synctest.Wait()
	}
	h.mu.Lock()
	h.eachAgent((*fakeAgent).comeBack)
	h.mu.Unlock()
	time.Sleep(4 * time.Second)
	synctest.Wait()
	cancel()
	h.killProcess(h.process)
}

// eachAgent calls a function with both agents.
func (h *history) eachAgent(do func(a *fakeAgent)) {
	do(h.agents["one:1"])
	do(h.agents["two:1"])
}

// setState has both agents know of a server's state.
func (h *history) setState(id, state string) {
	h.serverStates[id] = state
	h.eachAgent(func(a *fakeAgent) { a.addChange(id, state) })
}

// drain has a server leave, by a state that agents know.
func (h *history) drain(id, state string) {
	h.drains++
	h.setState(id, state)
}

// serveRequest has the present process serve one request.
func (h *history) serveRequest(ctx context.Context) {
	h.requests++
	id := "t" + strconv.Itoa(h.requests)
	request := &protocol.Request{
		ID:      id,
		Target:  "/a",
		Class:   h.requests % 2,
		Slots:   1,
		Timeout: 3 * time.Second,
		Header:  http.Header{"X-Call-Id": {id}},
	}
	h.mu.Lock()
	now, process, number := time.Now(), h.process, h.processNumber
	h.record(now, invariants.Event{
		Kind:     invariants.RequestAccepted,
		Request:  request.ID,
		Class:    strconv.Itoa(request.Class),
		Deadline: int64(now.Add(request.Timeout).Sub(h.started)),
	})
	h.mu.Unlock()
	go func() {
		response := process.node.Serve(ctx, request)
		h.mu.Lock()
		defer h.mu.Unlock()
		if response == nil || number != h.processNumber {
			return
		}
		result := map[int]string{200: "settled", 503: "declined"}[response.Status]
		h.record(time.Now(), invariants.Event{
			Kind:    invariants.RequestAnswered,
			Request: request.ID,
			Result:  cmp.Or(result, "reversed"),
		})
	}()
}

// randomStep does one of the steps, or more often nothing. Under mu.
func (h *history) randomStep(steps []string) {
	step := ""
	if h.rand.IntN(8) == 0 {
		step = steps[h.rand.IntN(len(steps))]
	}
	id := serverIDs[1+h.rand.IntN(len(serverIDs)-1)]
	ready := h.serverStates[id] == "Ready"
	switch step {
	case "drain":
		if ready {
			h.drain(id, []string{"Terminating", "Gone"}[h.rand.IntN(2)])
		}
	case "return":
		if !ready {
			h.setState(id, "Ready")
		}
	case "silence":
		h.downSince = time.Now()
		h.eachAgent(func(a *fakeAgent) { a.goDown(pollsAreAnswered) })
	case "mute":
		h.downSince = time.Now()
		h.eachAgent(func(a *fakeAgent) { a.goDown(pollsAreLost) })
	case "back":
		h.agentsComeBack()
	case "stick":
		h.eachAgent((*fakeAgent).loseOpenPolls)
	case "reset":
		h.resetOpenPolls()
	case "busy", "half", "garbage", "old":
		h.currentAgent.nextFault = step
	case "late":
		h.maxDialDelay = time.Duration(h.rand.Int64N(1e9))
	case "swap":
		if ready { // the old agent does not tell of it any more
			h.currentAgent.loseOpenPolls()
			h.drain(id, "Gone")
		}
		h.changeSource()
	case "hangup":
		h.changeSource()
	case "hand":
		h.savedList = h.agents["one:1"].list(0, true)
	case "restart":
		h.restart()
	}
}

// agentsComeBack ends the time in which the agents are down, with changes at that moment. Most outages last longer
// than a poll. Under mu.
func (h *history) agentsComeBack() {
	short := h.currentAgent.downUntil != nil && time.Since(h.downSince) < 4500*time.Millisecond
	if short && h.rand.IntN(8) > 0 {
		return
	}
	h.eachAgent((*fakeAgent).comeBack)
	for _, id := range serverIDs[1:] {
		if h.serverStates[id] == "Ready" && h.rand.IntN(2) == 0 {
			h.drain(id, "Terminating")
		}
	}
}

// resetOpenPolls closes the connections of polls that wait. Under mu.
func (h *history) resetOpenPolls() {
	for c := range h.currentAgent.openPolls {
		c.Close()
		delete(h.currentAgent.openPolls, c)
	}
}

// changeSource turns the node to one of the agents, as a new configuration does. Under mu.
func (h *history) changeSource() {
	place := "one:1"
	if h.rand.IntN(2) == 0 {
		place = "two:1"
	}
	h.agents[place].becomeCurrent(time.Now().Add(sourceChangeGrace))
	h.mu.Unlock()
	defer h.mu.Lock()
	h.process.node.SetEndpointSource(h.process.discovery(place))
}

// restart kills the process and starts another that knows the saved list. Under mu.
func (h *history) restart() {
	h.currentAgent = h.agents["one:1"]
	h.mu.Unlock()
	defer h.mu.Lock()
	h.killProcess(h.process)
	h.process = h.startProcess(h.config, h.savedList)
}

// judge has the checker look at all events, and reports its violations and how many attempts were sent.
func (h *history) judge() (violations []invariants.Violation, sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sortEvents()
	checker := invariants.New(historyRules())
	for _, e := range h.events {
		if e.Kind == invariants.AttemptSent {
			sent++
		}
		if err := checker.Add(e); err != nil {
			h.t.Fatalf("seed %d: %v", h.seed, err)
		}
	}
	violations = checker.Violations(int64(time.Since(h.started)))
	for _, v := range violations {
		h.t.Errorf("seed %d, rule %d at %.3f s: %s", h.seed, v.Rule, float64(h.events[v.Event].At)/1e9, v.Message)
	}
	return violations, sent
}

// sortEvents drops retracted events and puts the others in the order of time. Of what falls into one instant a response
// and the end of a process are the last. Under mu.
func (h *history) sortEvents() {
	h.events = slices.DeleteFunc(h.events, func(e invariants.Event) bool { return e.Kind == "" })
	rank := func(e invariants.Event) int {
		if e.Kind == invariants.RequestAnswered || e.Kind == invariants.NodeKilled {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(h.events, func(a, b invariants.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), rank(a)-rank(b))
	})
}

// historyRules are the rules of the pages for the simulated servers and classes.
func historyRules() invariants.Rules {
	rules := invariants.Rules{
		DrainGrace:   int64(drainGrace),
		Slack:        5e7,
		AllowHedging: true,
		Servers:      map[string]invariants.ServerPlace{},
		Classes: map[string]invariants.Class{
			"0": {Idempotency: "repeatable"},
			"1": {Idempotency: "once-only"},
		},
	}
	for _, id := range serverIDs {
		rules.Servers[id] = invariants.ServerPlace{Slots: 4}
	}
	return rules
}
