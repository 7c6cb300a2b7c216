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

// FuzzRules checks the rules of the platform with random requests, outcomes, closed clients, changes of the
// endpoint list and exclusions.
func FuzzRules(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { runRandomHistory(t, rand.New(rand.NewPCG(seed, 2))) })
	})
}

// runRandomHistory runs 60 requests and checks the rules: a request gets one response before its deadline
// (rule 1), a non-idempotent job never runs twice (rule 2), and no attempt goes to a server that is not up
// (rule 3).
func runRandomHistory(t *testing.T, source *rand.Rand) {
	var mu sync.Mutex // guards source and all maps below
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	stoppedAt, answered, mayHaveRun := map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	forwarder := &fakeForwarder{}
	forwarder.script = func(
		ctx context.Context, _ int, attempt *protocol.Attempt, update func(protocol.JobUpdate),
	) (dispatch.Outcome, string) {
		id := attempt.Request.ID
		mu.Lock()
		if stopTime, isStopped := stoppedAt[attempt.Address]; isStopped && time.Since(stopTime) > 0 {
			t.Errorf("rule 3: request %s got an attempt at %s %v after the drain, exclusion or removal of that server",
				id, attempt.Address, time.Since(stopTime))
		}
		if answered[id] && ctx.Err() == nil {
			t.Errorf("rule 1: request %s got an attempt after its final response", id)
		}
		if mayHaveRun[id] && attempt.Request.Class == 1 {
			t.Errorf("rule 2: request %s is not idempotent and may have run, but got a second attempt", id)
		}
		mayHaveRun[id] = true
		mu.Unlock()
		if randomInt(3) > 0 {
			update(protocol.JobUpdate{State: protocol.Started})
		}
		duration := time.Duration(randomInt(1500)) * time.Millisecond
		outcome, result := finishAfter(ctx, duration, dispatch.Outcome(randomInt(int(dispatch.StaleConnection)+1)))
		if outcome == dispatch.Rejected || outcome == dispatch.ConnectFailed || outcome == dispatch.NotSent {
			mu.Lock()
			mayHaveRun[id] = false
			mu.Unlock()
		}
		return outcome, result
	}
	ids := []string{"a", "b", "c", "d"}
	states, excluded := map[string]dispatch.EndpointState{}, map[string]bool{}
	updateStopped := func() { // the caller must hold mu
		for _, id := range ids {
			address := id + ":7"
			if states[id] == dispatch.Up && !excluded[id] {
				delete(stoppedAt, address)
			} else if stoppedAt[address].IsZero() {
				stoppedAt[address] = time.Now()
			}
		}
	}
	router := New(Config{
		Settings:         testSettings(),
		Seed:             source.Uint64(),
		InitialEndpoints: completeList(ids...),
		Forwarder:        forwarder,
		ProbeTimeout:     time.Second,
		EndpointSource:   &scriptedSource{},
		Log:              zerolog.Nop(),
	})
	var clients sync.WaitGroup
	for i := range 60 {
		time.Sleep(time.Duration(randomInt(100)) * time.Millisecond)
		if randomInt(5) == 0 {
			endpoint, complete := testEndpoint(
				ids[randomInt(len(ids))], dispatch.EndpointState(randomInt(3))), randomInt(2) == 0
			endpoint.StartedAt = time.Now().UnixNano() * int64(randomInt(2)) // the start time of a restarted server
			router.event(func() {
				mu.Lock()
				defer mu.Unlock()
				states[endpoint.ID] = endpoint.State
				updateStopped()
				list := &protocol.EndpointList{Complete: complete, Endpoints: []protocol.Endpoint{endpoint}}
				if complete {
					list.Endpoints = nil
					for _, id := range ids {
						if states[id] != dispatch.Removed {
							list.Endpoints = append(list.Endpoints, testEndpoint(id, states[id]))
						}
					}
				}
				router.applyEndpoints(list)
			})
		}
		if randomInt(6) == 0 {
			mu.Lock()
			id := ids[source.IntN(len(ids))]
			if excluded[id] = !excluded[id]; !excluded[id] {
				delete(excluded, id)
			}
			updateStopped()
			excludedIDs := slices.Sorted(maps.Keys(excluded))
			mu.Unlock()
			router.SetExcluded(excludedIDs)
		}
		id, class, timeout := fmt.Sprint(i), randomInt(2), time.Duration(randomInt(3000)+20)*time.Millisecond
		ctx, closeClient := context.WithCancel(t.Context())
		if randomInt(8) == 0 {
			time.AfterFunc(time.Duration(randomInt(800))*time.Millisecond, closeClient)
		}
		clients.Go(func() {
			defer closeClient()
			start := time.Now()
			response := router.Serve(ctx, testRequest(id, class, timeout))
			mu.Lock()
			defer mu.Unlock()
			if answered[id] = true; response == nil && ctx.Err() == nil {
				t.Errorf("rule 1: request %s got no response", id)
			}
			if time.Since(start) > timeout {
				t.Errorf("rule 1: request %s ended after %v, want at most %v", id, time.Since(start), timeout)
			}
			if response != nil && response.Status == 503 && class == 1 && mayHaveRun[id] {
				t.Errorf("rule 2: request %s is not idempotent and may have run, but was rejected as not run",
					id)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Minute)
	synctest.Wait()
	if len(router.requests)+len(router.cancelFuncs) > 0 {
		t.Errorf("got %d open requests and %d attempts in flight at the end, want 0",
			len(router.requests), len(router.cancelFuncs))
	}
}
