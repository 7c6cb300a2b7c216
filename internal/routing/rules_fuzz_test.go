// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// FuzzRules holds the node to the rules through random lives, answers, departures and changes of
// the list.
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
	dice := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n)
	}
	stopped, answered, mayRun := map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	c := &fakeForwarder{}
	c.script = func(
		ctx context.Context, _ int, job *protocol.Attempt, heard func(protocol.JobUpdate),
	) (dispatch.Outcome, string) {
		id := job.Request.ID
		mu.Lock()
		if at, is := stopped[job.Address]; is && time.Since(at) > 0 {
			t.Error("rule 3: attempt to a server that drains or is gone")
		}
		if answered[id] && ctx.Err() == nil {
			t.Error("rule 1: attempt after the final answer")
		}
		if mayRun[id] && job.Request.Class == 1 {
			t.Error("rule 2: a non-idempotent request goes again")
		}
		mayRun[id] = true
		mu.Unlock()
		if dice(3) > 0 {
			heard(protocol.JobUpdate{State: protocol.Started})
		}
		span := time.Duration(dice(1500)) * time.Millisecond
		o, result := finishAfter(ctx, span, dispatch.Outcome(dice(int(dispatch.StaleConnection)+1)))
		if o == dispatch.Rejected || o == dispatch.ConnectFailed || o == dispatch.NotSent {
			mu.Lock()
			mayRun[id] = false
			mu.Unlock()
		}
		return o, result
	}
	ids := []string{"a", "b", "c", "d"}
	states, excluded := map[string]dispatch.EndpointState{}, map[string]bool{}
	mark := func() { // under mu
		for _, id := range ids {
			at := id + ":7"
			if states[id] == dispatch.Up && !excluded[id] {
				delete(stopped, at)
			} else if stopped[at].IsZero() {
				stopped[at] = time.Now()
			}
		}
	}
	router := New(Config{
		Settings:         testSettings(),
		Seed:             r.Uint64(),
		InitialEndpoints: completeList(ids...),
		Forwarder:        c,
		ProbeTimeout:     time.Second,
		EndpointSource:   &scriptedSource{},
		Log:              zerolog.Nop(),
	})
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
			if excluded[id] = !excluded[id]; !excluded[id] {
				delete(excluded, id)
			}
			mark()
			now := slices.Sorted(maps.Keys(excluded))
			mu.Unlock()
			router.SetExcluded(now)
		}
		id, class, budget := fmt.Sprint(i), dice(2), time.Duration(dice(3000)+20)*time.Millisecond
		ctx, leave := context.WithCancel(t.Context())
		if dice(8) == 0 {
			time.AfterFunc(time.Duration(dice(800))*time.Millisecond, leave)
		}
		lives.Go(func() {
			defer leave()
			start := time.Now()
			a := router.Serve(ctx, testRequest(id, class, budget))
			mu.Lock()
			defer mu.Unlock()
			if answered[id] = true; a == nil && ctx.Err() == nil {
				t.Error("rule 1: no answer")
			}
			if time.Since(start) > budget {
				t.Error("rule 1: answered late")
			}
			if a != nil && a.Status == 503 && class == 1 && mayRun[id] {
				t.Error("rule 2: declined though it may have run")
			}
		})
	}
	lives.Wait()
	time.Sleep(time.Minute)
	synctest.Wait()
	if len(router.requests)+len(router.cancelFuncs) > 0 {
		t.Errorf("%d requests and %d attempts are left", len(router.requests), len(router.cancelFuncs))
	}
}
