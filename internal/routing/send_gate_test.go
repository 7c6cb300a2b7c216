// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// slowForwarder is a Forwarder with slow connections: each attempt calls its send gate up to 1 s after the
// attempt was decided.
type slowForwarder struct {
	*fakeForwarder
	rand   *rand.Rand
	onSend func(address string, attempt *protocol.Attempt)
}

func (s *slowForwarder) Forward(
	ctx context.Context, attempt *protocol.Attempt, _ func(protocol.JobUpdate), end func(protocol.AttemptResult),
) {
	s.mu.Lock()
	connectTime := time.Duration(s.rand.Int64N(1e9))
	s.mu.Unlock()
	if outcome, _ := finishAfter(ctx, connectTime, dispatch.Succeeded); outcome != dispatch.Succeeded {
		end(protocol.AttemptResult{Outcome: outcome})
		return
	}
	if !attempt.Gate.MaySend() {
		end(protocol.AttemptResult{Outcome: dispatch.NotSent})
		return
	}
	s.onSend(attempt.Address, attempt)
	attempt.Gate.Sent()
	outcome, result := finishAfter(ctx, 50*time.Millisecond, dispatch.Succeeded)
	end(protocol.AttemptResult{Outcome: outcome, Result: result})
}

// TestSendGateChecksCurrentState: attempts wait up to 1 s for a connection during random changes, complete
// lists and exclusions. The first byte must be sent only to a server that is up at that moment, for a
// request without a response.
func TestSendGateChecksCurrentState(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			ids := []string{"a", "b", "c", "d"}
			forwarder := &slowForwarder{fakeForwarder: &fakeForwarder{}, rand: rand.New(rand.NewPCG(seed, 3))}
			router := New(Config{
				Settings:         testSettings(),
				Seed:             seed,
				InitialEndpoints: completeList(ids...),
				Forwarder:        forwarder,
				ProbeTimeout:     time.Second,
				EndpointSource:   &scriptedSource{},
				Log:              zerolog.Nop(),
			})
			up, answered, sentCount := map[string]bool{"a": true, "b": true, "c": true, "d": true},
				map[string]bool{}, 0
			var mu sync.Mutex
			forwarder.onSend = func(address string, attempt *protocol.Attempt) {
				mu.Lock()
				defer mu.Unlock()
				if sentCount++; !up[address[:1]] || answered[attempt.Request.ID] {
					t.Errorf("seed %d: request %s was sent to %s; answered %v, want false and a server that is up",
						seed, attempt.Request.ID, address, answered[attempt.Request.ID])
				}
			}
			for i := range 300 {
				go func() {
					class := random.IntN(2)
					timeout := time.Duration(100+random.IntN(3000)) * time.Millisecond
					request := testRequest(fmt.Sprint(i), class, timeout)
					ctx, closeClient := context.WithCancel(t.Context())
					if random.IntN(4) == 0 {
						time.AfterFunc(time.Duration(random.Int64N(1e9)), closeClient)
					}
					router.Serve(ctx, request)
					mu.Lock()
					answered[request.ID] = true
					mu.Unlock()
					closeClient()
				}()
				synctest.Wait()
				if i%5 == 0 {
					mu.Lock()
					id := ids[1+random.IntN(3)]
					up[id] = !up[id]
					changed, listed := testEndpoint(id, dispatch.Up), []protocol.Endpoint{}
					if !up[id] {
						changed.State = dispatch.Draining
					}
					switch random.IntN(3) {
					case 0:
						applyList(router, changedList(changed))
					default:
						excluded := []string{}
						for _, id := range ids {
							switch {
							case up[id]:
								listed = append(listed, testEndpoint(id, dispatch.Up))
							case random.IntN(2) == 0:
								listed, excluded = append(listed, testEndpoint(id, dispatch.Up)), append(excluded, id)
							}
						}
						router.SetExcluded(excluded)
						applyList(router, versionedList(0, listed...))
					}
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if sentCount < 5 {
				t.Errorf("seed %d: got %d sent attempts, want at least 5", seed, sentCount)
			}
		})
	}
}
