// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeRegistry is an IDRegistry with a fixed result. It records the releases.
type fakeRegistry struct {
	reserved bool
	err      error
	released []string
}

func (f *fakeRegistry) Reserve(string, time.Duration) (bool, error) { return f.reserved, f.err }

func (f *fakeRegistry) Release(id string, _ time.Duration) { f.released = append(f.released, id) }

// TestIDRegistryDecides: another process of the node has reserved the id of a request, or it is not known what the
// others have reserved. The request must be rejected in the first case. In the second one it must be served only if
// a second run has no effect, and otherwise be shed, so that the client may send it again; its id is free then.
func TestIDRegistryDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Millisecond)}
		registry := &fakeRegistry{}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a"))
		router.ShareIDs(registry)
		for _, c := range []struct {
			class    int
			reserved bool
			err      error
			want     int
		}{
			{0, false, nil, http.StatusConflict},
			{1, false, nil, http.StatusConflict},
			{1, false, errors.New("unknown"), http.StatusServiceUnavailable},
			{1, true, nil, http.StatusOK},
			{1, true, nil, http.StatusConflict}, // reserved in this process now
		} {
			registry.reserved, registry.err = c.reserved, c.err
			if got := router.Serve(t.Context(), testRequest("1", c.class, time.Second)).Status; got != c.want {
				t.Errorf("class %d, reserved %t, error %v: got status %d, want %d", c.class, c.reserved, c.err, got, c.want)
			}
		}
		registry.reserved, registry.err = false, errors.New("unknown")
		if got := router.Serve(t.Context(), testRequest("2", 0, time.Second)).Status; got != http.StatusOK {
			t.Errorf("idempotent request, ids unknown: got status %d, want 200", got)
		}
		if len(registry.released) != 2 || forwarder.attemptCount() != 2 {
			t.Errorf("got %d releases and %d attempts, want 2 of each", len(registry.released), forwarder.attemptCount())
		}
	})
}
