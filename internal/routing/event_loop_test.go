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

// TestPanicEndsOneStep: a fault of the module answers the request it came with and is told with its
// stack; others go on.
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
		if response := router.Serve(t.Context(), testRequest("j", 0, time.Second)); response == nil || response.Status != 500 {
			t.Errorf("%+v", response)
		}
		if !strings.Contains(log.String(), "requests.go") {
			t.Error(log.String())
		}
		router.settings = validSettings
		if response := router.Serve(t.Context(), testRequest("k", 0, time.Second)); response == nil || response.Status != 200 {
			t.Errorf("%+v", response)
		}
	})
}

func panickingScript(context.Context, int, *protocol.Attempt, func(protocol.JobUpdate)) (dispatch.Outcome, string) {
	panic("odd")
}

// TestPanicInAnAttempt: what a fault on the way to a server leaves open may have run.
func TestPanicInAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: panickingScript}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a"))
		start := time.Now()
		response := router.Serve(t.Context(), testRequest("j", 1, time.Second))
		took := time.Since(start)
		if response == nil || response.Status != 500 || forwarder.attemptCount() != 1 || took > 100*time.Millisecond {
			t.Errorf("%+v after %d attempts and %s", response, forwarder.attemptCount(), took)
		}
	})
}
