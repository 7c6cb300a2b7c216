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

// history is one run of the simulation: a node, its clients, random faults of discovery and random state
// changes of servers.
type history struct {
	*simulation
	config    *config.Node
	process   *nodeProcess
	savedList string // initial endpoint list of the next process
	requests  int
	drains    int
}

// runHistory runs one history and returns the violations that the checker found, and the numbers of attempts
// and drains. It runs on one processor, where a seed replays event by event. Only the order in which the
// runtime schedules goroutines that became ready at the same instant can differ.
func runHistory(t *testing.T, seed uint64, steps []string) (
	violations []invariants.Violation, attempts, drains int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	c := loadConfig(t, nodeSettings)
	synctest.Test(t, func(t *testing.T) {
		h := &history{simulation: newSimulation(t, seed), config: c}
		h.run(steps)
		violations, attempts = h.checkEvents()
		drains = h.drains
	})
	return violations, attempts, drains
}

// run runs 800 steps of about 50 ms, ends all outages, waits for requests to end, and kills the process.
func (h *history) run(steps []string) {
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
		// The random delay avoids unrelated events at the same instant.
		time.Sleep(50*time.Millisecond + time.Duration(h.rand.IntN(1e6)))
		synctest.Wait()
	}
	h.mu.Lock()
	h.eachAgent((*fakeAgent).endOutage)
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

// setState sets a server's state and adds the change to both agents. The caller holds mu, except before the
// first process has started.
func (h *history) setState(id, state string) {
	h.serverStates[id] = state
	h.eachAgent(func(a *fakeAgent) { a.addChange(id, state) })
}

// drain sets a server to a state other than Ready. The caller holds mu.
func (h *history) drain(id, state string) {
	h.drains++
	h.setState(id, state)
}

// serveRequest sends one request to the current process in the background.
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

// randomStep runs one of the steps with probability 1/8. The caller holds mu.
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
	case "outage":
		h.outageStarted = time.Now()
		h.eachAgent(func(a *fakeAgent) { a.startOutage(pollsAnsweredLater) })
	case "outage losing polls":
		h.outageStarted = time.Now()
		h.eachAgent(func(a *fakeAgent) { a.startOutage(pollsLost) })
	case "end outage":
		h.endAgentOutage()
	case "lose polls":
		h.eachAgent((*fakeAgent).loseOpenPolls)
	case "reset polls":
		h.resetOpenPolls()
	case "busy", "truncated", "garbage", "stale":
		h.currentAgent.nextFault = step
	case "slow dials":
		h.maxDialDelay = time.Duration(h.rand.Int64N(1e9))
	case "drain and change source":
		if ready { // the old agent no longer sends this change
			h.currentAgent.loseOpenPolls()
			h.drain(id, "Gone")
		}
		h.changeSource()
	case "change source":
		h.changeSource()
	case "save list":
		h.savedList = h.agents["one:1"].list(0, true)
	case "restart":
		h.restart()
	}
}

// endAgentOutage ends an outage of the agents and drains servers at that moment. It ends most outages only
// after they have lasted longer than a poll. The caller holds mu.
func (h *history) endAgentOutage() {
	short := h.currentAgent.outageEnded != nil && time.Since(h.outageStarted) < 4500*time.Millisecond
	if short && h.rand.IntN(8) > 0 {
		return
	}
	h.eachAgent((*fakeAgent).endOutage)
	for _, id := range serverIDs[1:] {
		if h.serverStates[id] == "Ready" && h.rand.IntN(2) == 0 {
			h.drain(id, "Terminating")
		}
	}
}

// resetOpenPolls closes the connections of waiting polls. The caller holds mu.
func (h *history) resetOpenPolls() {
	for c := range h.currentAgent.openPolls {
		c.Close()
		delete(h.currentAgent.openPolls, c)
	}
}

// changeSource sets one of the agents as the node's endpoint source, as a new configuration does. The caller
// holds mu, which is released during the change.
func (h *history) changeSource() {
	address := "one:1"
	if h.rand.IntN(2) == 0 {
		address = "two:1"
	}
	h.agents[address].becomeCurrent(time.Now().Add(sourceChangeGrace))
	h.mu.Unlock()
	defer h.mu.Lock()
	h.process.node.SetEndpointSource(h.process.discovery(address))
}

// restart kills the process and starts another with the saved list. The caller holds mu, which is released
// meanwhile.
func (h *history) restart() {
	h.currentAgent = h.agents["one:1"]
	h.mu.Unlock()
	defer h.mu.Lock()
	h.killProcess(h.process)
	h.process = h.startProcess(h.config, h.savedList)
}

// checkEvents passes all events to the checker and returns its violations and the number of attempts sent.
func (h *history) checkEvents() (violations []invariants.Violation, attempts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sortEvents()
	checker := invariants.New(historyRules())
	for _, e := range h.events {
		if e.Kind == invariants.AttemptSent {
			attempts++
		}
		if err := checker.Add(e); err != nil {
			h.t.Fatalf("seed %d: checker rejected an event: %v", h.seed, err)
		}
	}
	violations = checker.Violations(int64(time.Since(h.started)))
	for _, v := range violations {
		h.t.Errorf("seed %d: violation of rule %d at %.3f s: %s",
			h.seed, v.Rule, float64(h.events[v.Event].At)/1e9, v.Message)
	}
	return violations, attempts
}

// sortEvents drops retracted events and sorts the others by time. Among events at the same instant, responses
// and process ends are sorted last. The caller holds mu.
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

// historyRules returns the checker's rules for the simulated servers and classes.
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
