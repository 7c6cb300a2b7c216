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

// slowForwarder is a carrier whose connections come up late: each attempt asks at its first byte,
// some time after it was decided.
type slowForwarder struct {
	*fakeForwarder
	rand   *rand.Rand
	onSend func(address string, job *protocol.Attempt)
}

func (s *slowForwarder) Forward(
	ctx context.Context, job *protocol.Attempt, _ func(protocol.JobUpdate), ended func(protocol.AttemptResult),
) {
	s.mu.Lock()
	late := time.Duration(s.rand.Int64N(1e9))
	s.mu.Unlock()
	if o, _ := finishAfter(ctx, late, dispatch.Succeeded); o != dispatch.Succeeded {
		ended(protocol.AttemptResult{Outcome: o})
		return
	}
	if !job.Gate.MaySend() {
		ended(protocol.AttemptResult{Outcome: dispatch.NotSent})
		return
	}
	s.onSend(job.Address, job)
	job.Gate.Sent()
	o, result := finishAfter(ctx, 50*time.Millisecond, dispatch.Succeeded)
	ended(protocol.AttemptResult{Outcome: o, Result: result})
}

// TestNothingIsSentLate: random histories of drains, returns, whole lists and exclusions while attempts
// wait for up to a second: what leaves goes to a server that stands as up at that moment, for a
// request that has no answer yet.
func TestNothingIsSentLate(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			chance := rand.New(rand.NewPCG(seed, 2))
			ids := []string{"a", "b", "c", "d"}
			s := &slowForwarder{fakeForwarder: &fakeForwarder{}, rand: rand.New(rand.NewPCG(seed, 3))}
			router := New(Config{
				Settings:         testSettings(),
				Seed:             seed,
				InitialEndpoints: completeList(ids...),
				Forwarder:        s,
				ProbeTimeout:     time.Second,
				EndpointSource:   &scriptedSource{},
				Log:              zerolog.Nop(),
			})
			up, answered, left := map[string]bool{"a": true, "b": true, "c": true, "d": true}, map[string]bool{}, 0
			var mu sync.Mutex
			s.onSend = func(address string, job *protocol.Attempt) {
				mu.Lock()
				defer mu.Unlock()
				if left++; !up[address[:1]] || answered[job.Request.ID] {
					t.Errorf("seed %d: %s left for %s, answered: %v",
						seed, job.Request.ID, address, answered[job.Request.ID])
				}
			}
			for i := range 300 {
				go func() {
					class := chance.IntN(2)
					timeout := time.Duration(100+chance.IntN(3000)) * time.Millisecond
					q := testRequest(fmt.Sprint(i), class, timeout)
					ctx, gone := context.WithCancel(t.Context())
					if chance.IntN(4) == 0 {
						time.AfterFunc(time.Duration(chance.Int64N(1e9)), gone)
					}
					router.Serve(ctx, q)
					mu.Lock()
					answered[q.ID] = true
					mu.Unlock()
					gone()
				}()
				synctest.Wait()
				if i%5 == 0 {
					mu.Lock()
					id := ids[1+chance.IntN(3)]
					up[id] = !up[id]
					e, all := testEndpoint(id, dispatch.Up), []protocol.Endpoint{}
					if !up[id] {
						e.State = dispatch.Draining
					}
					switch chance.IntN(3) {
					case 0:
						applyList(router, changedList(e))
					default:
						excluded := []string{}
						for _, id := range ids {
							switch {
							case up[id]:
								all = append(all, testEndpoint(id, dispatch.Up))
							case chance.IntN(2) == 0:
								all, excluded = append(all, testEndpoint(id, dispatch.Up)), append(excluded, id)
							}
						}
						router.SetExcluded(excluded)
						applyList(router, versionedList(0, all...))
					}
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if left < 5 {
				t.Errorf("seed %d: %d left", seed, left)
			}
		})
	}
}
