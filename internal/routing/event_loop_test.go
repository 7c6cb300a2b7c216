// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestPanicEndsOneStep: a panic in the module fails only the request of that step and is logged with its
// stack. The next request succeeds.
func TestPanicEndsOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		router := New(Config{
			Settings:         testSettings(),
			Seed:             1,
			InitialEndpoints: completeList("a"),
			Forwarder:        &fakeForwarder{script: succeedAfter(time.Millisecond)},
			ProbeTimeout:     time.Second,
			EndpointSource:   &scriptedSource{},
			Log:              zerolog.New(&log),
		})
		brokenSettings := *router.settings
		brokenSettings.Classes = []*dispatch.Class{nil}
		validSettings := router.settings
		router.settings = &brokenSettings
		if response := router.Serve(t.Context(), testRequest("j", 0, time.Second)); response == nil ||
			response.Status != 500 {
			t.Errorf("request with a panic: got response %+v, want status 500", response)
		}
		if !strings.Contains(log.String(), "requests.go") {
			t.Errorf("got log %q, want the stack with requests.go", log.String())
		}
		router.settings = validSettings
		if response := router.Serve(t.Context(), testRequest("k", 0, time.Second)); response == nil ||
			response.Status != 200 {
			t.Errorf("request after the panic: got response %+v, want status 200", response)
		}
	})
}

// panickingScript is an attemptScript that panics.
func panickingScript(context.Context, int, *protocol.Attempt,
	func(protocol.JobUpdate)) (dispatch.Outcome, string) {
	panic("panic of the test")
}

// TestPanicDuringForwardMayHaveRun: a non-idempotent attempt whose forwarding panicked may have run, so its
// request fails immediately and is not retried.
func TestPanicDuringForwardMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: panickingScript}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a"))
		start := time.Now()
		response := router.Serve(t.Context(), testRequest("j", 1, time.Second))
		duration := time.Since(start)
		if response == nil || response.Status != 500 || forwarder.attemptCount() != 1 ||
			duration > 100*time.Millisecond {
			t.Errorf("got response %+v after %d attempts and %s, want status 500 after 1 attempt within 100ms",
				response, forwarder.attemptCount(), duration)
		}
	})
}
