// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

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

// TestUpdateDuringBackoff: discovery falls silent and comes back with an update, or has one soon
// after, while the node backs off from a poll that was refused or never answered. The rules count
// the node as notified at once, so the backoff must end in time. An update that a poll misses which
// is never answered counts as notified 2 s after the poll's wait of 3 s.
func TestUpdateDuringBackoff(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			chance := rand.New(rand.NewPCG(seed, 1))
			span := func(most time.Duration) time.Duration { return time.Duration(chance.Int64N(int64(most))) }
			c, now := &fakeForwarder{script: succeedAfter(time.Millisecond)}, time.Now()
			a := &silentSource{
				answersAfterSilence: chance.IntN(2) == 0,
				start:               now,
				silentFrom:          now.Add(span(3 * time.Second)),
				availableAt:         map[int64]time.Duration{},
			}
			if chance.IntN(3) == 0 {
				a.failure = errors.New("refused")
			}
			a.silentUntil = a.silentFrom.Add(4500*time.Millisecond + span(12*time.Second))
			told := a.silentUntil.Add(span(2 * time.Second))
			a.availableAt[1], a.availableAt[2] = 0, told.Sub(now)
			a.updates = map[int64]*protocol.EndpointList{1: versionedList(1, completeList("a", "b").Endpoints...),
				2: {Version: 2, Endpoints: []protocol.Endpoint{testEndpoint("b", dispatch.Draining)}}}
			settings := testSettings()
			settings.DrainGrace, settings.MaxPollInterval = 2e9, int64(protocol.PollRetryInterval)
			router := New(Config{
				Settings:         settings,
				Seed:             seed,
				InitialEndpoints: completeList("a", "b"),
				Forwarder:        c,
				ProbeTimeout:     time.Second,
				EndpointSource:   a,
				Log:              zerolog.Nop(),
			})
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
					t.Errorf("seed %d: silent from %v to %v, told at %v, and sent to it after the grace",
						seed, a.silentFrom.Sub(now), a.silentUntil.Sub(now), told.Sub(now))
					break
				}
			}
			stop()
		})
	}
}
