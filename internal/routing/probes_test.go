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

// TestCapacityProbes: a request is sent to the server that reports free capacity. A probe without a
// response times out, and the result of a probe whose server was removed in the meantime is ignored.
func TestCapacityProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.CapacityProbes = true
		forwarder := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		forwarder.loadReport = func(ctx context.Context, address string) (protocol.LoadReport, error) {
			if address == "b:7" {
				return protocol.LoadReport{FreeSlots: 2, FreeMemory: 1}, nil
			}
			<-ctx.Done()
			return protocol.LoadReport{}, ctx.Err()
		}
		router := New(Config{
			Settings:         settings,
			Seed:             1,
			InitialEndpoints: completeList("a", "b", "c"),
			Forwarder:        forwarder,
			ProbeTimeout:     300 * time.Millisecond,
			EndpointSource:   &scriptedSource{},
			Log:              zerolog.Nop(),
		})
		response := router.Serve(t.Context(), testRequest("j", 0, 5*time.Second))
		synctest.Wait()
		forwarder.mu.Lock()
		if response == nil || response.Status != 200 || forwarder.attempts[0].Address != "b:7" ||
			len(forwarder.probedAddresses) != 3 {
			t.Errorf("got response %+v after probes of %v, want status 200 from b:7 after 3 probes",
				response, forwarder.probedAddresses)
		}
		forwarder.mu.Unlock()
		applyList(router, versionedList(0, testEndpoint("b", dispatch.Up)))
		time.Sleep(time.Second)
		if response := router.Serve(t.Context(), testRequest("k", 0, 5*time.Second)); response == nil ||
			response.Status != 200 {
			t.Errorf("after servers were removed: got response %+v, want status 200", response)
		}
	})
}
