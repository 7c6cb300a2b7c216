// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestExcludedServerGetsNoAttempts: an excluded server gets no attempts, even if discovery sends a complete
// list, a restart or another address of it, or removes it and lists it again. After the exclusion has
// ended the server is used again in the state and at the address that discovery listed last.
func TestExcludedServerGetsNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		requestCount := 0
		sentTo := func(address string) (count int) {
			forwarder.attempts = nil
			var clients sync.WaitGroup
			for range 8 { // concurrently, so that every server is needed
				requestCount++
				request := testRequest(fmt.Sprint(requestCount), 0, time.Second)
				clients.Go(func() { router.Serve(t.Context(), request) })
			}
			clients.Wait()
			for _, attempt := range forwarder.attempts {
				if attempt.Address == address {
					count++
				}
			}
			return count
		}
		if sentTo("a:7") == 0 {
			t.Fatal("server a got no attempt before its exclusion, want at least 1")
		}
		router.SetExcluded([]string{"a", "unknown"})
		if known, excluded := router.ServerCounts(); known != 2 || excluded != 1 {
			t.Errorf("got %d known and %d excluded servers, want 2 and 1", known, excluded)
		}
		restarted := protocol.Endpoint{ID: "a", Address: "elsewhere:7", StartedAt: time.Now().UnixNano()}
		for name, list := range map[string]*protocol.EndpointList{
			"no changes": {}, "complete list": completeList("a", "b"),
			"change":  changedList(testEndpoint("a", dispatch.Up)),
			"removed": completeList("b"), "listed again": completeList("a", "b"), "restarted": changedList(restarted),
		} {
			applyList(router, list)
			if got := sentTo("a:7") + sentTo("elsewhere:7"); got > 0 {
				t.Errorf("after list %q: got %d attempts to an excluded server, want 0", name, got)
			}
		}
		applyList(router, changedList(restarted))
		router.SetExcluded(nil)
		if sentTo("elsewhere:7") == 0 {
			t.Error("server a got no attempt at its new address after its exclusion, want at least 1")
		}
		if applyList(router, completeList("b")); !router.WasListed("a") || router.WasListed("unknown") {
			t.Errorf("WasListed: got %t for the removed server a and %t for an unknown one, want true and false",
				router.WasListed("a"), router.WasListed("unknown"))
		}
		router.SetExcluded([]string{"b"})
		applyList(router, changedList(testEndpoint("b", dispatch.Draining)))
		if router.SetExcluded(nil); sentTo("b:7") > 0 {
			t.Error("server b, which is draining in discovery, got an attempt after its exclusion, want 0")
		}
	})
}
