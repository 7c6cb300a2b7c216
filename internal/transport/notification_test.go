// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

// runHistory plays one, and gives what the judge says of it. On one processor a seed replays to the event, but where the runtime chooses
// among several things that one cause made ready.
func runHistory(t *testing.T, seed uint64, steps []string) (breaches []invariants.Violation, posted, drains int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(nodeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": path}[key] })
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		w := &simulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), seed: seed, dials: map[string]uint64{}, started: time.Now(), serverStates: map[string]string{}, agents: map[string]*fakeAgent{},
			attempts: map[string]int{}, conns: map[net.Conn]bool{}}
		for _, place := range []string{"one:1", "two:1"} {
			w.agents[place] = &fakeAgent{world: w, changed: make(chan struct{}), openPolls: map[net.Conn]time.Time{}, assumedEvents: map[int64][]int{}}
		}
		w.agents["one:1"].baseVersion = 1000
		w.currentAgent = w.agents["one:1"]
		each := func(do func(a *fakeAgent)) { do(w.agents["one:1"]); do(w.agents["two:1"]) }
		set := func(id, state string) {
			w.serverStates[id] = state
			each(func(a *fakeAgent) { a.addChange(id, state) })
		}
		for _, id := range serverIDs {
			set(id, "Ready")
		}
		p := w.startProcess(c, w.currentAgent.list(0, true))
		handed, txns := w.currentAgent.list(0, true), 0
		ctx, done := context.WithCancel(t.Context())
		serve := func() {
			txns++
			q := &protocol.Request{ID: "t" + strconv.Itoa(txns), Target: "/a", Class: txns % 2, Slots: 1, Timeout: 3 * time.Second,
				Header: http.Header{"X-Call-Id": {"t" + strconv.Itoa(txns)}}}
			w.mu.Lock()
			now, mine, node := time.Now(), p, w.processNumber
			w.record(now, invariants.Event{Kind: invariants.RequestAccepted, Request: q.ID, Class: strconv.Itoa(q.Class), Deadline: int64(now.Add(q.Timeout).Sub(w.started))})
			w.mu.Unlock()
			go func() {
				a := mine.node.Serve(ctx, q)
				w.mu.Lock()
				defer w.mu.Unlock()
				if a != nil && node == w.processNumber {
					result := map[int]string{200: "settled", 503: "declined"}[a.Status]
					w.record(time.Now(), invariants.Event{Kind: invariants.RequestAnswered, Request: q.ID, Result: cmp.Or(result, "reversed")})
				}
			}()
		}
		for step := range 800 { // of 50 ms
			w.mu.Lock()
			what := ""
			if w.rand.IntN(8) == 0 {
				what = steps[w.rand.IntN(len(steps))]
			}
			switch id := serverIDs[1+w.rand.IntN(len(serverIDs)-1)]; what {
			case "drain":
				if w.serverStates[id] == "Ready" {
					drains++
					set(id, []string{"Terminating", "Gone"}[w.rand.IntN(2)])
				}
			case "return":
				if w.serverStates[id] != "Ready" {
					set(id, "Ready")
				}
			case "silence":
				w.downSince = time.Now()
				each(func(a *fakeAgent) { a.goDown(true) })
			case "mute":
				w.downSince = time.Now()
				each(func(a *fakeAgent) { a.goDown(false) })
			case "back": // with news, or some soon after
				if w.currentAgent.downUntil != nil && time.Since(w.downSince) < 4500*time.Millisecond && w.rand.IntN(8) > 0 {
					break // most outages last longer than a call
				}
				each((*fakeAgent).comeBack)
				for _, id := range serverIDs[1:] {
					if w.serverStates[id] == "Ready" && w.rand.IntN(2) == 0 {
						drains++
						set(id, "Terminating")
					}
				}
			case "stick":
				each((*fakeAgent).loseOpenPolls)
			case "reset":
				for c := range w.currentAgent.openPolls {
					c.Close()
					delete(w.currentAgent.openPolls, c)
				}
			case "busy", "half", "garbage", "old":
				w.currentAgent.nextFault = what
			case "late":
				w.maxDialDelay = time.Duration(w.rand.Int64N(1e9))
			case "swap", "hangup":
				if what == "swap" && w.serverStates[id] == "Ready" { // the old place does not tell of it any more
					w.currentAgent.loseOpenPolls()
					drains++
					set(id, "Gone")
				}
				place := "one:1"
				if w.rand.IntN(2) == 0 {
					place = "two:1"
				}
				w.agents[place].becomeCurrent(time.Now().Add(sourceChangeGrace))
				w.mu.Unlock()
				p.node.SetEndpointSource(p.discovery(place))
				w.mu.Lock()
			case "hand": // what a new process will know
				handed = w.agents["one:1"].list(0, true)
			case "restart":
				w.currentAgent = w.agents["one:1"]
				w.mu.Unlock()
				w.killProcess(p)
				p = w.startProcess(c, handed)
				w.mu.Lock()
			}
			w.mu.Unlock()
			if step%2 == 0 {
				serve()
			}
			time.Sleep(50*time.Millisecond + time.Duration(w.rand.IntN(1e6))) // no two things in one instant but by their cause
			synctest.Wait()
		}
		w.mu.Lock()
		each((*fakeAgent).comeBack)
		w.mu.Unlock()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		done()
		w.killProcess(p)
		w.mu.Lock()
		defer w.mu.Unlock()
		rules := invariants.Rules{DrainGrace: int64(drainGrace), Slack: 5e7, AllowHedging: true, Servers: map[string]invariants.ServerPlace{},
			Classes: map[string]invariants.Class{"0": {Idempotency: "repeatable"}, "1": {Idempotency: "once-only"}}}
		for _, id := range serverIDs {
			rules.Servers[id] = invariants.ServerPlace{Slots: 4}
		}
		w.events = slices.DeleteFunc(w.events, func(e invariants.Event) bool { return e.Kind == "" })
		// Of what falls into one instant an answer is the last.
		last := func(e invariants.Event) int {
			if e.Kind == invariants.RequestAnswered || e.Kind == invariants.NodeKilled {
				return 1
			}
			return 0
		}
		slices.SortStableFunc(w.events, func(a, b invariants.Event) int { return cmp.Or(cmp.Compare(a.At, b.At), last(a)-last(b)) })
		j := invariants.New(rules)
		for _, e := range w.events {
			if e.Kind == invariants.AttemptSent {
				posted++
			}
			if err := j.Add(e); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		breaches = j.Violations(int64(time.Since(w.started)))
		for _, b := range breaches {
			t.Errorf("seed %d, rule %d at %.3f s: %s", seed, b.Rule, float64(w.events[b.Event].At)/1e9, b.Message)
		}
	})
	return breaches, posted, drains
}

// notificationSteps are those by which a node is told that an executor leaves, each with what happens round it.
var notificationSteps = map[string][]string{
	"watch answered":                {"drain", "return"},
	"watch that falls silent":       {"drain", "return", "stick"},
	"watch that is reset":           {"drain", "return", "reset"},
	"agent silent, calls mended":    {"drain", "return", "return", "return", "silence", "back"},
	"agent silent, calls lost":      {"drain", "return", "return", "return", "mute", "back"},
	"agent that is busy":            {"drain", "return", "silence", "back", "busy"},
	"agent that talks nonsense":     {"drain", "drain", "return", "half", "garbage", "old"},
	"new process on an old list":    {"drain", "return", "hand", "restart"},
	"new process, agent silent":     {"drain", "return", "restart", "silence", "back"},
	"new configuration":             {"drain", "return", "return", "hangup", "swap"},
	"new configuration, old silent": {"drain", "return", "hangup", "hangup", "silence", "back"},
	"connections that come up late": {"drain", "return", "late"},
	"all": {"drain", "drain", "return", "return", "stick", "reset", "silence", "mute", "back", "back", "half", "garbage", "old", "late", "hand",
		"restart", "hangup"},
}

// TestWaysOfBeingTold: however it comes to be told, a node sends nothing to what leaves once the grace is over, by first bytes.
func TestWaysOfBeingTold(t *testing.T) {
	for name, steps := range notificationSteps {
		t.Run(name, func(t *testing.T) {
			// One after the other: real processes of other packages want their time meanwhile.
			for seed := range uint64(6) {
				if _, posted, drains := runHistory(t, seed, steps); posted < 50 || drains == 0 {
					t.Errorf("seed %d: %d posted, %d drains", seed, posted, drains)
				}
			}
		})
	}
}

// FuzzWaysOfBeingTold plays random histories of all of them.
func FuzzWaysOfBeingTold(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(100 + seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runHistory(t, seed, notificationSteps["all"]) })
}
