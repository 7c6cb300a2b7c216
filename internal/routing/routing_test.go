// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// fakeForwarder stands in for the executors: a script says what comes of each posting. Time is that of a synctest bubble.
type fakeForwarder struct {
	mu              sync.Mutex
	attempts        []*protocol.Attempt
	probedAddresses []string
	loadReport      func(ctx context.Context, address string) (protocol.LoadReport, error)
	script          func(ctx context.Context, nth int, job *protocol.Attempt, heard func(protocol.JobUpdate)) (dispatch.Outcome, string)
}

func (c *fakeForwarder) Forward(ctx context.Context, job *protocol.Attempt, heard func(protocol.JobUpdate),
	ended func(protocol.AttemptResult)) {
	c.mu.Lock()
	c.attempts = append(c.attempts, job)
	n := len(c.attempts)
	c.mu.Unlock()
	o, result := c.script(ctx, n, job, heard)
	ended(protocol.AttemptResult{Outcome: o, Result: result})
}

// Probe is answered by load, after its delay.
func (c *fakeForwarder) Probe(ctx context.Context, address string) (protocol.LoadReport, error) {
	c.mu.Lock()
	c.probedAddresses = append(c.probedAddresses, address)
	c.mu.Unlock()
	return c.loadReport(ctx, address)
}

func (c *fakeForwarder) attemptCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// finishAfter runs a job for a time; a posting given up ends as it would on sockets.
func finishAfter(ctx context.Context, span time.Duration, o dispatch.Outcome) (dispatch.Outcome, string) {
	select {
	case <-time.After(span):
		return o, "r"
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return dispatch.Canceled, ""
	}
	return dispatch.TimedOut, ""
}

func succeedAfter(span time.Duration) func(context.Context, int, *protocol.Attempt, func(protocol.JobUpdate)) (dispatch.Outcome, string) {
	return func(ctx context.Context, _ int, _ *protocol.Attempt, heard func(protocol.JobUpdate)) (dispatch.Outcome, string) {
		heard(protocol.JobUpdate{State: protocol.Started})
		return finishAfter(ctx, span, dispatch.Succeeded)
	}
}

// scriptedSource gives lists and faults in turn, and then waits.
type scriptedSource struct {
	answers  []any
	polls    []string
	polledAt []time.Time
}

func (l *scriptedSource) Poll(ctx context.Context, since int64, whole bool) (*protocol.EndpointList, error) {
	l.polls, l.polledAt = append(l.polls, fmt.Sprint(since, whole)), append(l.polledAt, time.Now())
	if len(l.answers) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := l.answers[0]
	l.answers = l.answers[1:]
	if err, isFault := a.(error); isFault {
		return nil, err
	}
	return a.(*protocol.EndpointList), nil
}

func testSettings() *dispatch.Settings {
	return &dispatch.Settings{Nodes: 2, Tick: 5e6, StartNotices: true, ProgressInterval: 1e9, MaxAttempts: 3, AllowCancel: true,
		AllowHedging: true, MaxRetryAfter: 2e9, IdleTimeout: 1e10, DrainGrace: 4e9, MaxPollInterval: 15e8, Classes: []*dispatch.Class{
			{LatencyObjective: 3e8, ObjectivePerWork: 2, Weight: 3, LateShare: 0.3, MachineType: -1},
			{Index: 1, LatencyObjective: 3e8, ObjectivePerWork: 2, Weight: 5, LateShare: 0.9, MachineType: -1, Idempotency: dispatch.NonIdempotent}}}
}

func testEndpoint(id string, state dispatch.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Address: id + ":7", State: state}
}

func completeList(ids ...string) *protocol.EndpointList {
	l := &protocol.EndpointList{Complete: true}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, testEndpoint(id, dispatch.Up))
	}
	return l
}

func testRequest(id string, scheme int, budget time.Duration) *protocol.Request {
	return &protocol.Request{ID: id, Class: scheme, Slots: 1, Timeout: budget}
}

// TestRequestIDIsReservedOnce: an id is refused while it is open, and after that for as long as its scheme's repeats are dropped, or 10 s
// where that is not told, to the millisecond; the first one is left as it is. A repeat after the window is a new txn.
// Danger: a window longer than the settings say turns a client's own repeat away; a shorter one runs it twice.
func TestRequestIDIsReservedOnce(t *testing.T) {
	for _, window := range []time.Duration{0, 1500 * time.Millisecond, 45 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c, settings := &fakeForwarder{script: succeedAfter(15 * time.Second)}, testSettings()
			settings.Classes[1].DedupWindow = int64(window)
			router := New(settings, 1, completeList("a", "b"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
			serve := func(id string, scheme int) int {
				if a := router.Serve(t.Context(), testRequest(id, scheme, time.Minute)); a != nil {
					return a.Status
				}
				return 0
			}
			first := make(chan int, 1)
			go func() { first <- serve("j", 1) }()
			for range 14 {
				synctest.Wait()
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: %d while it is open", window, got)
				}
				time.Sleep(time.Second)
			}
			if got := <-first; got != http.StatusOK {
				t.Errorf("window %s: the first got %d", window, got)
			}
			ends, lasts := time.Now(), cmp.Or(window, 10*time.Second)
			for i := 0; time.Since(ends) < lasts-time.Millisecond; i++ {
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: %d after %s", window, got, time.Since(ends))
				}
				go serve(fmt.Sprint(i), 0) // others come and go meanwhile, of a scheme whose window is not told
				time.Sleep(min(time.Second, lasts-time.Millisecond-time.Since(ends)))
			}
			time.Sleep(2 * time.Millisecond)
			if got := serve("j", 1); got != http.StatusOK {
				t.Errorf("window %s: %d when it is over", window, got)
			}
			time.Sleep(2 * time.Minute)
			serve("other", 0)
			time.Sleep(2 * time.Minute)
			serve("another", 0)
			if kept := len(router.seenIDs[0]) + len(router.seenIDs[1]); kept > 4 {
				t.Errorf("window %s: %d ids are kept", window, kept)
			}
		})
	}
}

func TestRequestSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := New(testSettings(), 1, completeList("a", "b"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		start := time.Now()
		if a := router.Serve(t.Context(), testRequest("j", 0, time.Second)); a == nil || a.Status != 200 || a.Body != "r" {
			t.Fatalf("%+v", a)
		}
		if j := c.attempts[0]; c.attemptCount() != 1 || !strings.HasSuffix(j.Address, ":7") || j.Deadline.Sub(start) != time.Second {
			t.Errorf("%+v", j)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("something of it is kept")
		}
	})
}

// TestUnfinishedRequestIsAnsweredBeforeDeadline: every txn is answered before its expiry, by a decline only where nothing can have run.
func TestUnfinishedRequestIsAnsweredBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := New(testSettings(), 1, completeList("a", "b"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		for scheme, status := range []int{503, 500} {
			start := time.Now()
			a := router.Serve(t.Context(), testRequest(fmt.Sprint(scheme), scheme, time.Second))
			if a == nil || a.Status != status || time.Since(start) >= time.Second {
				t.Errorf("scheme %d: %+v after %s", scheme, a, time.Since(start))
			}
		}
		synctest.Wait()
		if len(router.cancelFuncs) > 0 {
			t.Error("postings are out that nobody waits for")
		}
	})
}

// TestClientCloses: nothing is out for a client that has closed. What is written to it, should it still read, promises no more than the
// rules allow: that its job never ran only where that is harmless or sure.
func TestClientCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := New(testSettings(), 1, completeList("a"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		for scheme, status := range []int{503, 500} {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			if a := router.Serve(ctx, testRequest(fmt.Sprint(scheme), scheme, 5*time.Second)); a == nil || !a.ClientClosed || a.Status != status {
				t.Errorf("%+v", a)
			}
			if a := router.Serve(ctx, testRequest(fmt.Sprint("late", scheme), scheme, 5*time.Second)); a == nil || !a.ClientClosed || a.Status != 503 {
				t.Errorf("%+v", a)
			}
		}
		if c.attemptCount() != 2 {
			t.Errorf("%d attempts", c.attemptCount())
		}
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("the posting is still out")
		}
	})
}

// TestShutdownAnswersInTime: a node that is told to end answers all that it has, and what still comes, within the time it is given.
func TestShutdownAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := New(testSettings(), 1, completeList("a", "b", "c"), &fakeForwarder{script: succeedAfter(time.Hour)}, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		start, done := time.Now(), make(chan *protocol.Response, 2)
		go func() { done <- router.Serve(t.Context(), testRequest("j", 1, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		router.Shutdown(time.Second)
		go func() { done <- router.Serve(t.Context(), testRequest("k", 1, time.Minute)) }()
		for range 2 {
			if a := <-done; a == nil || time.Since(start) >= 1100*time.Millisecond {
				t.Errorf("%+v after %s", a, time.Since(start))
			}
		}
	})
}

// TestPanicEndsOneStep: a fault of the module answers the txn it came with and is told with its stack; others go on.
func TestPanicEndsOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		router := New(testSettings(), 1, completeList("a"), &fakeForwarder{script: succeedAfter(time.Millisecond)}, time.Second, &scriptedSource{}, nil, zerolog.New(&log))
		broken := *router.settings
		broken.Classes = []*dispatch.Class{nil}
		whole := router.settings
		router.settings = &broken
		if a := router.Serve(t.Context(), testRequest("j", 0, time.Second)); a == nil || a.Status != 500 {
			t.Errorf("%+v", a)
		}
		if !strings.Contains(log.String(), "requests.go") {
			t.Error(log.String())
		}
		router.settings = whole
		if a := router.Serve(t.Context(), testRequest("k", 0, time.Second)); a == nil || a.Status != 200 {
			t.Errorf("%+v", a)
		}
	})
}

// TestPanicInAnAttempt: what a fault on the way to an executor leaves open may have run.
func TestPanicInAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: func(context.Context, int, *protocol.Attempt, func(protocol.JobUpdate)) (dispatch.Outcome, string) {
			panic("odd")
		}}
		router := New(testSettings(), 1, completeList("a"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		start := time.Now()
		a := router.Serve(t.Context(), testRequest("j", 1, time.Second))
		if took := time.Since(start); a == nil || a.Status != 500 || c.attemptCount() != 1 || took > 100*time.Millisecond {
			t.Errorf("%+v after %d postings and %s", a, c.attemptCount(), took)
		}
	})
}

func TestEndpointUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(time.Millisecond)}
		moved := protocol.Endpoint{ID: "b", Address: "elsewhere:7"}
		l := &scriptedSource{answers: []any{
			&protocol.EndpointList{Version: 5, Complete: true, Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Up), testEndpoint("b", dispatch.Up)}},
			&protocol.EndpointList{Version: 6, Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Draining), moved}},
			errors.New("reset"),
			&protocol.EndpointList{Version: 3, Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Up)}},
			&protocol.EndpointList{Version: 2, Complete: true, Endpoints: []protocol.Endpoint{moved}},
		}}
		router := New(testSettings(), 1, completeList("old"), c, time.Second, l, nil, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go router.WatchEndpoints(ctx)
		time.Sleep(2 * time.Second) // the first call for news comes by chance within that
		synctest.Wait()
		for i := range 20 {
			router.Serve(t.Context(), testRequest(fmt.Sprint(i), 0, time.Second))
		}
		for _, j := range c.attempts {
			if j.Address != "elsewhere:7" {
				t.Errorf("sent to %s", j.Address)
			}
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := strings.Join(l.polls, ", "); got != "0 false, 5 false, 6 false, 6 false, 6 true, 2 false" {
			t.Error(got)
		}
		// Danger: a discovery in trouble is asked again and again.
		if pause := l.polledAt[3].Sub(l.polledAt[2]); pause < 200*time.Millisecond || pause > time.Second {
			t.Error(pause)
		}
		if len(router.endpoints) != 1 || router.endpoints["b"] == nil {
			t.Error(router.endpoints)
		}
		stop()
	})
}

// silentSource tells versions at their times, and is silent for a span.
type silentSource struct {
	answersAfterSilence            bool         // calls that are out in the silence are answered when it is over
	lostPollStart                  atomic.Int64 // when the last call began that is never answered, ns from zero
	start, silentFrom, silentUntil time.Time
	updates                        map[int64]*protocol.EndpointList // by version
	availableAt                    map[int64]time.Duration          // when the agent has it, from zero
	failure                        error                            // what it answers while down; nil: nothing
}

func (a *silentSource) Poll(ctx context.Context, since int64, _ bool) (*protocol.EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	silent, start := false, time.Now()
	for {
		now := time.Now()
		down := now.After(a.silentFrom) && now.Before(a.silentUntil)
		if down && a.failure != nil {
			return nil, a.failure
		}
		if silent = silent || down && !a.answersAfterSilence; silent {
			a.lostPollStart.Store(int64(start.Sub(a.start)))
		}
		if l := a.updates[since+1]; !silent && !down && l != nil && now.Sub(a.start) >= a.availableAt[since+1] {
			return l, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TestUpdateDuringBackoff: an agent falls silent and comes back with news, or gets some soon after, while the node pauses after a
// call that nobody answered, or that was refused. Danger: the news counts at once, and the pause was up to 7.5 s. What a call
// for changes that is never answered misses counts as told 2 s after its wait of 3 s.
func TestUpdateDuringBackoff(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			chance := rand.New(rand.NewPCG(seed, 1))
			span := func(most time.Duration) time.Duration { return time.Duration(chance.Int64N(int64(most))) }
			c, now := &fakeForwarder{script: succeedAfter(time.Millisecond)}, time.Now()
			a := &silentSource{answersAfterSilence: chance.IntN(2) == 0, start: now, silentFrom: now.Add(span(3 * time.Second)), availableAt: map[int64]time.Duration{}}
			if chance.IntN(3) == 0 {
				a.failure = errors.New("refused")
			}
			a.silentUntil = a.silentFrom.Add(4500*time.Millisecond + span(12*time.Second))
			told := a.silentUntil.Add(span(2 * time.Second))
			a.availableAt[1], a.availableAt[2] = 0, told.Sub(now)
			a.updates = map[int64]*protocol.EndpointList{1: {Version: 1, Complete: true, Endpoints: completeList("a", "b").Endpoints},
				2: {Version: 2, Endpoints: []protocol.Endpoint{testEndpoint("b", dispatch.Draining)}}}
			settings := testSettings()
			settings.DrainGrace, settings.MaxPollInterval = 2e9, int64(protocol.PollRetryInterval)
			router := New(settings, seed, completeList("a", "b"), c, time.Second, a, nil, zerolog.Nop())
			ctx, stop := context.WithCancel(t.Context())
			go router.WatchEndpoints(ctx)
			time.Sleep(time.Until(told))
			if late := now.Add(time.Duration(a.lostPollStart.Load()) + 5*time.Second); late.After(told) {
				told = late
			}
			time.Sleep(time.Until(told.Add(2 * time.Second)))
			synctest.Wait()
			before := c.attemptCount()
			for i := range 200 {
				router.Serve(t.Context(), testRequest(fmt.Sprint(i), 0, time.Second))
			}
			for _, j := range c.attempts[before:] {
				if j.Address == "b:7" {
					t.Errorf("seed %d: silent from %v to %v, told at %v, and sent to it after the grace", seed, a.silentFrom.Sub(now), a.silentUntil.Sub(now), told.Sub(now))
					break
				}
			}
			stop()
		})
	}
}

// TestInvalidEndpointListsAreIgnored: an older version or half a list counts as a failed call: the list stays, the whole is asked for
// where versions went back, and nothing is asked without end. What is told whole when asked for counts, whatever its version.
func TestInvalidEndpointListsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := &protocol.EndpointList{Version: 3, Complete: true, Endpoints: completeList("gone").Endpoints}
		stale := &protocol.EndpointList{Version: 7, Endpoints: completeList("a").Endpoints}
		l := &scriptedSource{answers: []any{&protocol.EndpointList{Version: 7, Complete: true, Endpoints: completeList("a").Endpoints}, old, errors.New("half a list"), old, old}}
		for range 100 {
			l.answers = append(l.answers, &protocol.EndpointList{Version: 3, Endpoints: completeList("gone").Endpoints})
		}
		l.answers = append(l.answers, stale)
		router := New(testSettings(), 1, &protocol.EndpointList{}, &fakeForwarder{}, time.Second, l, nil, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if !router.IsListed("a") || router.IsListed("gone") {
			t.Error("an old list was taken unasked")
		}
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		if got := strings.Join(l.polls[:5], ", "); got != "0 true, 7 false, 7 true, 7 true, 3 false" || !router.IsListed("gone") {
			t.Error(got)
		}
		if len(l.polls) > 105 {
			t.Errorf("asked %d times in five seconds", len(l.polls))
		}
	})
}

// TestKnownListIsWatched: a node asks for changes to the list it was handed at start, and for the whole only if it has none.
// Danger: many nodes that start together and ask for whole lists are told nothing for as long as they go on.
func TestKnownListIsWatched(t *testing.T) {
	for _, c := range []struct {
		known *protocol.EndpointList
		want  string
	}{{&protocol.EndpointList{Version: 41, Complete: true, Endpoints: completeList("a").Endpoints}, "41 false"}, {&protocol.EndpointList{}, "0 true"}} {
		synctest.Test(t, func(t *testing.T) {
			l := &scriptedSource{}
			router := New(testSettings(), 1, c.known, &fakeForwarder{}, time.Second, l, nil, zerolog.Nop())
			ctx, stop := context.WithCancel(t.Context())
			go router.WatchEndpoints(ctx)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if got := strings.Join(l.polls, ", "); got != c.want {
				t.Errorf("asked %s, want %s", got, c.want)
			}
			stop()
		})
	}
}

// TestEmptyPollsAreSpaced: a place that answers at once, with nothing or a fault, is not asked without end, whatever the
// settings say of pauses.
func TestEmptyPollsAreSpaced(t *testing.T) {
	for _, answer := range []any{&protocol.EndpointList{}, errors.New("refused")} {
		checkPollSpacing(t, answer)
	}
}

func checkPollSpacing(t *testing.T, answer any) {
	synctest.Test(t, func(t *testing.T) {
		l := &scriptedSource{answers: []any{completeList("a")}}
		for range 50 {
			l.answers = append(l.answers, answer)
		}
		hasty := testSettings()
		hasty.MaxPollInterval = 0
		router := New(hasty, 1, &protocol.EndpointList{}, &fakeForwarder{}, time.Second, l, nil, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(time.Second + time.Millisecond)
		stop()
		synctest.Wait()
		if len(l.polls) > 22 || len(l.polls) < 20 {
			t.Errorf("asked %d times in a second", len(l.polls))
		}
	})
}

// TestEndpointSourceIsReplaced: a new place is asked at once, also while the old one waits or the next call there, and for the whole list,
// however low its version. Executors that both name are the same.
func TestEndpointSourceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := &scriptedSource{answers: []any{&protocol.EndpointList{Version: 50, Complete: true, Endpoints: completeList("a", "b").Endpoints}}}
		down := &scriptedSource{answers: []any{errors.New("refused")}}
		fresh := &scriptedSource{answers: []any{&protocol.EndpointList{Version: 3, Complete: true, Endpoints: completeList("b", "c").Endpoints}}}
		router := New(testSettings(), 1, completeList("a"), &fakeForwarder{script: succeedAfter(time.Millisecond)}, time.Second, old, nil, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		kept := router.endpoints["b"].server
		for _, l := range []*scriptedSource{down, fresh} {
			router.SetEndpointSource(&scriptedSource{}) // the last one counts
			router.SetEndpointSource(l)
			synctest.Wait()
		}
		got := fmt.Sprint(old.polls, down.polls, fresh.polls)
		if got != "[0 false 50 false] [0 true] [0 true 3 false]" || len(router.endpoints) != 2 || router.endpoints["b"].server != kept {
			t.Error(got, router.endpoints)
		}
		stop()
	})
}

// FuzzRules holds the node to the rules through random lives, answers, departures and changes of the list.
func FuzzRules(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { runRandomHistory(t, rand.New(rand.NewPCG(seed, 2))) })
	})
}

func runRandomHistory(t *testing.T, r *rand.Rand) {
	var mu sync.Mutex // round all below
	dice := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
	stopped, answered, mayRun := map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	c := &fakeForwarder{}
	c.script = func(ctx context.Context, _ int, job *protocol.Attempt, heard func(protocol.JobUpdate)) (dispatch.Outcome, string) {
		id := job.Request.ID
		mu.Lock()
		if at, is := stopped[job.Address]; is && time.Since(at) > 0 {
			t.Error("rule 3: posting to an executor that drains or is gone")
		}
		if answered[id] && ctx.Err() == nil {
			t.Error("rule 1: posting after the final answer")
		}
		if mayRun[id] && job.Request.Class == 1 {
			t.Error("rule 2: a once-only txn goes again")
		}
		mayRun[id] = true
		mu.Unlock()
		if dice(3) > 0 {
			heard(protocol.JobUpdate{State: protocol.Started})
		}
		o, result := finishAfter(ctx, time.Duration(dice(1500))*time.Millisecond, dispatch.Outcome(dice(int(dispatch.StaleConnection)+1)))
		if o == dispatch.Rejected || o == dispatch.ConnectFailed || o == dispatch.NotSent {
			mu.Lock()
			mayRun[id] = false
			mu.Unlock()
		}
		return o, result
	}
	ids := []string{"a", "b", "c", "d"}
	states, banned := map[string]dispatch.EndpointState{}, map[string]bool{}
	mark := func() { // under mu
		for _, id := range ids {
			at := id + ":7"
			if states[id] == dispatch.Up && !banned[id] {
				delete(stopped, at)
			} else if stopped[at].IsZero() {
				stopped[at] = time.Now()
			}
		}
	}
	router := New(testSettings(), r.Uint64(), completeList(ids...), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
	var lives sync.WaitGroup
	for i := range 60 {
		time.Sleep(time.Duration(dice(100)) * time.Millisecond)
		if dice(5) == 0 {
			e, whole := testEndpoint(ids[dice(len(ids))], dispatch.EndpointState(dice(3))), dice(2) == 0
			e.Started = time.Now().UnixNano() * int64(dice(2)) // it may have restarted
			router.event(func() {
				mu.Lock()
				defer mu.Unlock()
				states[e.ID] = e.State
				mark()
				l := &protocol.EndpointList{Complete: whole, Endpoints: []protocol.Endpoint{e}}
				if whole {
					l.Endpoints = nil
					for _, id := range ids {
						if states[id] != dispatch.Removed {
							l.Endpoints = append(l.Endpoints, testEndpoint(id, states[id]))
						}
					}
				}
				router.applyEndpoints(l)
			})
		}
		if dice(6) == 0 {
			mu.Lock()
			id := ids[r.IntN(len(ids))]
			if banned[id] = !banned[id]; !banned[id] {
				delete(banned, id)
			}
			mark()
			now := slices.Sorted(maps.Keys(banned))
			mu.Unlock()
			router.SetExcluded(now)
		}
		id, scheme, budget := fmt.Sprint(i), dice(2), time.Duration(dice(3000)+20)*time.Millisecond
		ctx, leave := context.WithCancel(t.Context())
		if dice(8) == 0 {
			time.AfterFunc(time.Duration(dice(800))*time.Millisecond, leave)
		}
		lives.Go(func() {
			defer leave()
			start := time.Now()
			a := router.Serve(ctx, testRequest(id, scheme, budget))
			mu.Lock()
			defer mu.Unlock()
			if answered[id] = true; a == nil && ctx.Err() == nil {
				t.Error("rule 1: no answer")
			}
			if time.Since(start) > budget {
				t.Error("rule 1: answered late")
			}
			if a != nil && a.Status == 503 && scheme == 1 && mayRun[id] {
				t.Error("rule 2: declined though it may have run")
			}
		})
	}
	lives.Wait()
	time.Sleep(time.Minute)
	synctest.Wait()
	if len(router.requests)+len(router.cancelFuncs) > 0 {
		t.Errorf("%d txns and %d postings are left", len(router.requests), len(router.cancelFuncs))
	}
}

// TestExcludedServerGetsNothing: whatever discovery tells of a banned executor, a whole list, a restart, another address or that it was away,
// nothing goes to it; put back, it is in use again, as discovery has it now.
func TestExcludedServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := New(testSettings(), 1, completeList("a", "b"), c, time.Second, &scriptedSource{}, nil, zerolog.Nop())
		asked := 0
		to := func(address string) (count int) {
			c.attempts = nil
			var all sync.WaitGroup
			for range 8 { // at once, so that every executor is needed
				asked++
				q := testRequest(fmt.Sprint(asked), 0, time.Second)
				all.Go(func() { router.Serve(t.Context(), q) })
			}
			all.Wait()
			for _, j := range c.attempts {
				if j.Address == address {
					count++
				}
			}
			return count
		}
		if to("a:7") == 0 {
			t.Fatal("not in use before")
		}
		router.SetExcluded([]string{"a", "never"})
		if known, excluded := router.ServerCounts(); known != 2 || excluded != 1 {
			t.Errorf("%d known, %d excluded", known, excluded)
		}
		restarted := protocol.Endpoint{ID: "a", Address: "elsewhere:7", Started: time.Now().UnixNano()}
		for name, l := range map[string]*protocol.EndpointList{
			"nothing": {}, "whole": completeList("a", "b"), "change": {Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Up)}},
			"away": completeList("b"), "back": completeList("a", "b"), "restarted": {Endpoints: []protocol.Endpoint{restarted}},
		} {
			router.event(func() { router.applyEndpoints(l) })
			if got := to("a:7") + to("elsewhere:7"); got > 0 {
				t.Errorf("%s: %d went to a banned executor", name, got)
			}
		}
		router.event(func() { router.applyEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{restarted}}) })
		router.SetExcluded(nil)
		if to("elsewhere:7") == 0 {
			t.Error("not in use after")
		}
		if router.event(func() { router.applyEndpoints(completeList("b")) }); !router.WasListed("a") || router.WasListed("never") {
			t.Error("who was ever listed")
		}
		router.SetExcluded([]string{"b"})
		router.event(func() {
			router.applyEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{testEndpoint("b", dispatch.Draining)}})
		})
		if router.SetExcluded(nil); to("b:7") > 0 {
			t.Error("one that drains by discovery's word is in use")
		}
	})
}

// TestCapacityProbes: a txn goes to the executor that tells of room; a probe that is never answered ends, and one whose executor has
// gone meanwhile harms nothing.
func TestCapacityProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asking := testSettings()
		asking.CapacityProbes = true
		c := &fakeForwarder{script: succeedAfter(50 * time.Millisecond), loadReport: func(ctx context.Context, address string) (protocol.LoadReport, error) {
			if address == "b:7" {
				return protocol.LoadReport{FreeSlots: 2, FreeMemory: 1}, nil
			}
			<-ctx.Done()
			return protocol.LoadReport{}, ctx.Err()
		}}
		router := New(asking, 1, completeList("a", "b", "c"), c, 300*time.Millisecond, &scriptedSource{}, nil, zerolog.Nop())
		a := router.Serve(t.Context(), testRequest("j", 0, 5*time.Second))
		synctest.Wait()
		c.mu.Lock()
		if a == nil || a.Status != 200 || c.attempts[0].Address != "b:7" || len(c.probedAddresses) != 3 {
			t.Errorf("%+v %v", a, c.probedAddresses)
		}
		c.mu.Unlock()
		router.event(func() {
			router.applyEndpoints(&protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{testEndpoint("b", dispatch.Up)}})
		})
		time.Sleep(time.Second)
		if a := router.Serve(t.Context(), testRequest("k", 0, 5*time.Second)); a == nil || a.Status != 200 {
			t.Errorf("%+v", a)
		}
	})
}
