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

// TestExcludedServerGetsNothing: whatever discovery tells of a excluded server, a whole list, a
// restart, another address or that it was away, nothing goes to it; put back, it is in use again,
// as discovery has it now.
func TestExcludedServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		requestCount := 0
		sentTo := func(address string) (count int) {
			forwarder.attempts = nil
			var clients sync.WaitGroup
			for range 8 { // at once, so that every server is needed
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
			t.Fatal("not in use before")
		}
		router.SetExcluded([]string{"a", "never"})
		if known, excluded := router.ServerCounts(); known != 2 || excluded != 1 {
			t.Errorf("%d known, %d excluded", known, excluded)
		}
		restarted := protocol.Endpoint{ID: "a", Address: "elsewhere:7", Started: time.Now().UnixNano()}
		for name, list := range map[string]*protocol.EndpointList{
			"nothing": {}, "whole": completeList("a", "b"), "change": changedList(testEndpoint("a", dispatch.Up)),
			"away": completeList("b"), "back": completeList("a", "b"), "restarted": changedList(restarted),
		} {
			applyList(router, list)
			if got := sentTo("a:7") + sentTo("elsewhere:7"); got > 0 {
				t.Errorf("%s: %d went to a excluded server", name, got)
			}
		}
		applyList(router, changedList(restarted))
		router.SetExcluded(nil)
		if sentTo("elsewhere:7") == 0 {
			t.Error("not in use after")
		}
		if applyList(router, completeList("b")); !router.WasListed("a") || router.WasListed("never") {
			t.Error("who was ever listed")
		}
		router.SetExcluded([]string{"b"})
		applyList(router, changedList(testEndpoint("b", dispatch.Draining)))
		if router.SetExcluded(nil); sentTo("b:7") > 0 {
			t.Error("one that drains by discovery's word is in use")
		}
	})
}
