// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestCapacityProbes: a request goes to the server that tells of room; a probe that is never answered
// ends, and one whose server has gone meanwhile harms nothing.
func TestCapacityProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asking := testSettings()
		asking.CapacityProbes = true
		c := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		c.loadReport = func(ctx context.Context, address string) (protocol.LoadReport, error) {
			if address == "b:7" {
				return protocol.LoadReport{FreeSlots: 2, FreeMemory: 1}, nil
			}
			<-ctx.Done()
			return protocol.LoadReport{}, ctx.Err()
		}
		router := New(Config{
			Settings:         asking,
			Seed:             1,
			InitialEndpoints: completeList("a", "b", "c"),
			Forwarder:        c,
			ProbeTimeout:     300 * time.Millisecond,
			EndpointSource:   &scriptedSource{},
			Log:              zerolog.Nop(),
		})
		a := router.Serve(t.Context(), testRequest("j", 0, 5*time.Second))
		synctest.Wait()
		c.mu.Lock()
		if a == nil || a.Status != 200 || c.attempts[0].Address != "b:7" || len(c.probedAddresses) != 3 {
			t.Errorf("%+v %v", a, c.probedAddresses)
		}
		c.mu.Unlock()
		applyList(router, versionedList(0, testEndpoint("b", dispatch.Up)))
		time.Sleep(time.Second)
		if a := router.Serve(t.Context(), testRequest("k", 0, 5*time.Second)); a == nil || a.Status != 200 {
			t.Errorf("%+v", a)
		}
	})
}
