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

// outageSource is discovery that sends each update from a set time on, and is unavailable for a period: it
// returns an error or does not respond.
type outageSource struct {
	answersWaiting                bool         // polls in flight get a response after the period
	lostPollStart                 atomic.Int64 // start of the last poll without a response, ns since start
	start, outageStart, outageEnd time.Time
	updates                       map[int64]*protocol.EndpointList // by version
	availableAt                   map[int64]time.Duration          // when discovery has it, since start
	failure                       error                            // error during the period; nil: no response
}

func (s *outageSource) Poll(ctx context.Context, since int64, _ bool) (*protocol.EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	pollLost, start := false, time.Now()
	for {
		now := time.Now()
		down := now.After(s.outageStart) && now.Before(s.outageEnd)
		if down && s.failure != nil {
			return nil, s.failure
		}
		if pollLost = pollLost || down && !s.answersWaiting; pollLost {
			s.lostPollStart.Store(int64(start.Sub(s.start)))
		}
		if list := s.updates[since+1]; !pollLost && !down && list != nil &&
			now.Sub(s.start) >= s.availableAt[since+1] {
			return list, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TestUpdateDuringBackoff: discovery becomes available again with an update, or gets one soon after,
// while the node backs off from a poll that was refused or got no response. The rules count the node as
// notified immediately, so a backoff that is too long breaks them. If a poll without a response misses
// the update, the node counts as notified 2 s after the poll's wait of 3 s.
func TestUpdateDuringBackoff(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			duration := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
			forwarder, start := &fakeForwarder{script: succeedAfter(time.Millisecond)}, time.Now()
			source := &outageSource{
				answersWaiting: random.IntN(2) == 0,
				start:          start,
				outageStart:    start.Add(duration(3 * time.Second)),
				availableAt:    map[int64]time.Duration{},
			}
			if random.IntN(3) == 0 {
				source.failure = errors.New("refused")
			}
			source.outageEnd = source.outageStart.Add(4500*time.Millisecond + duration(12*time.Second))
			notifiedAt := source.outageEnd.Add(duration(2 * time.Second))
			source.availableAt[1], source.availableAt[2] = 0, notifiedAt.Sub(start)
			source.updates = map[int64]*protocol.EndpointList{1: versionedList(1, completeList("a", "b").Endpoints...),
				2: {Version: 2, Endpoints: []protocol.Endpoint{testEndpoint("b", dispatch.Draining)}}}
			settings := testSettings()
			settings.DrainGrace, settings.MaxPollInterval = 2e9, int64(protocol.PollRetryInterval)
			router := New(Config{
				Settings:         settings,
				Seed:             seed,
				InitialEndpoints: completeList("a", "b"),
				Forwarder:        forwarder,
				ProbeTimeout:     time.Second,
				EndpointSource:   source,
				Log:              zerolog.Nop(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			go router.WatchEndpoints(ctx)
			time.Sleep(time.Until(notifiedAt))
			if lostUntil := start.Add(time.Duration(source.lostPollStart.Load()) +
				5*time.Second); lostUntil.After(notifiedAt) {
				notifiedAt = lostUntil
			}
			time.Sleep(time.Until(notifiedAt.Add(2 * time.Second)))
			synctest.Wait()
			sentBefore := forwarder.attemptCount()
			for i := range 200 {
				router.Serve(t.Context(), testRequest(fmt.Sprint(i), 0, time.Second))
			}
			for _, attempt := range forwarder.attempts[sentBefore:] {
				if attempt.Address == "b:7" {
					t.Errorf("seed %d: attempt to b 2s after its drain; no discovery from %v to %v, notified at %v",
						seed, source.outageStart.Sub(start), source.outageEnd.Sub(start), notifiedAt.Sub(start))
					break
				}
			}
			cancel()
		})
	}
}
