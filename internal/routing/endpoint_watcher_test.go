// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestEndpointUpdates: changes of state and address take effect. After a failed poll the node waits, and
// after a list with a lower version it requests the complete list.
func TestEndpointUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Millisecond)}
		moved := protocol.Endpoint{ID: "b", Address: "elsewhere:7"}
		source := &scriptedSource{answers: []any{
			versionedList(5, testEndpoint("a", dispatch.Up), testEndpoint("b", dispatch.Up)),
			&protocol.EndpointList{
				Version:   6,
				Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Draining), moved},
			},
			errors.New("reset"),
			&protocol.EndpointList{Version: 3, Endpoints: []protocol.Endpoint{testEndpoint("a", dispatch.Up)}},
			versionedList(2, moved),
		}}
		router := newTestRouter(forwarder, source, completeList("old"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go router.WatchEndpoints(ctx)
		time.Sleep(2 * time.Second) // the first poll is sent at a random time within 2 s
		synctest.Wait()
		for i := range 20 {
			router.Serve(t.Context(), testRequest(fmt.Sprint(i), 0, time.Second))
		}
		for _, attempt := range forwarder.attempts {
			if attempt.Address != "elsewhere:7" {
				t.Errorf("attempt sent to %s, want elsewhere:7", attempt.Address)
			}
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := strings.Join(source.polls, ", "); got != "0 false, 5 false, 6 false, 6 false, 6 true, 2 false" {
			t.Errorf("got polls %q, want one of version 0, one of 5, two of 6, the complete list and one of 2", got)
		}
		// After a failed poll the node must wait before the next one.
		if pause := source.polledAt[3].Sub(source.polledAt[2]); pause < 200*time.Millisecond ||
			pause > time.Second {
			t.Errorf("got %s between the starts of two polls, want 200ms to 1s", pause)
		}
		if len(router.endpoints) != 1 || router.endpoints["b"] == nil {
			t.Errorf("got endpoints %v, want only b", router.endpoints)
		}
		cancel()
	})
}

// TestInvalidEndpointListsAreIgnored: a list with a lower version or a truncated list counts as a failed
// poll. The current list stays in use, the complete list is requested after a version regression, and
// polls are not repeated in a tight loop. A complete list that was requested is applied with any version.
func TestInvalidEndpointListsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regressed := versionedList(3, completeList("outdated").Endpoints...)
		regressedChanges := &protocol.EndpointList{Version: 7, Endpoints: completeList("a").Endpoints}
		source := &scriptedSource{answers: []any{
			versionedList(7, completeList("a").Endpoints...),
			regressed,
			errors.New("truncated list"),
			regressed,
			regressed,
		}}
		for range 100 {
			source.answers = append(source.answers,
				&protocol.EndpointList{Version: 3, Endpoints: completeList("outdated").Endpoints})
		}
		source.answers = append(source.answers, regressedChanges)
		router := newTestRouter(&fakeForwarder{}, source, &protocol.EndpointList{})
		ctx, cancel := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if !router.IsListed("a") || router.IsListed("outdated") {
			t.Error("a list with a lower version was applied without being requested")
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		got := strings.Join(source.polls[:5], ", ")
		if got != "0 true, 7 false, 7 true, 7 true, 3 false" || !router.IsListed("outdated") {
			t.Errorf("got polls %q and listed=%t, want five polls and the requested list applied",
				got, router.IsListed("outdated"))
		}
		if len(source.polls) > 105 {
			t.Errorf("got %d polls in 5 s, want at most 105", len(source.polls))
		}
	})
}

// TestFirstPollRequestsChanges: a node polls for changes to the list in its configuration, and for the
// complete list only if it has none. Discovery would be overloaded if many nodes that start together all
// fetched complete lists.
func TestFirstPollRequestsChanges(t *testing.T) {
	for _, test := range []struct {
		initial *protocol.EndpointList
		want    string
	}{{versionedList(41, completeList("a").Endpoints...), "41 false"}, {&protocol.EndpointList{}, "0 true"}} {
		synctest.Test(t, func(t *testing.T) {
			source := &scriptedSource{}
			router := newTestRouter(&fakeForwarder{}, source, test.initial)
			ctx, cancel := context.WithCancel(t.Context())
			go router.WatchEndpoints(ctx)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if got := strings.Join(source.polls, ", "); got != test.want {
				t.Errorf("got polls %q, want %q", got, test.want)
			}
			cancel()
		})
	}
}

// TestEmptyPollsAreSpaced: a source that responds immediately without an update or with an error is not
// polled in a tight loop, even if the settings have no poll interval.
func TestEmptyPollsAreSpaced(t *testing.T) {
	for _, answer := range []any{&protocol.EndpointList{}, errors.New("refused")} {
		checkPollSpacing(t, answer)
	}
}

// checkPollSpacing checks the number of polls of a source that gives the same answer to each poll.
func checkPollSpacing(t *testing.T, answer any) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{answers: []any{completeList("a")}}
		for range 50 {
			source.answers = append(source.answers, answer)
		}
		settings := testSettings()
		settings.MaxPollInterval = 0
		router := New(Config{
			Settings:         settings,
			Seed:             1,
			InitialEndpoints: &protocol.EndpointList{},
			Forwarder:        &fakeForwarder{},
			ProbeTimeout:     time.Second,
			EndpointSource:   source,
			Log:              zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(time.Second + time.Millisecond)
		cancel()
		synctest.Wait()
		if len(source.polls) > 22 || len(source.polls) < 20 {
			t.Errorf("got %d polls in 1 s, want 20 to 22", len(source.polls))
		}
	})
}

// TestEndpointSourceIsReplaced: a new source is polled immediately, also during a poll of the old source
// or the pause after one. The complete list is requested, and a lower version is accepted. Servers in both
// lists keep their state.
func TestEndpointSourceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		oldSource := &scriptedSource{answers: []any{versionedList(50, completeList("a", "b").Endpoints...)}}
		downSource := &scriptedSource{answers: []any{errors.New("refused")}}
		newSource := &scriptedSource{answers: []any{versionedList(3, completeList("b", "c").Endpoints...)}}
		router := newTestRouter(&fakeForwarder{script: succeedAfter(time.Millisecond)}, oldSource,
			completeList("a"))
		ctx, cancel := context.WithCancel(t.Context())
		go router.WatchEndpoints(ctx)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		serverBefore := router.endpoints["b"].server
		for _, source := range []*scriptedSource{downSource, newSource} {
			router.SetEndpointSource(&scriptedSource{}) // replaced by the next one
			router.SetEndpointSource(source)
			synctest.Wait()
		}
		got := fmt.Sprint(oldSource.polls, downSource.polls, newSource.polls)
		wantPolls := "[0 false 50 false] [0 true] [0 true 3 false]"
		if got != wantPolls || len(router.endpoints) != 2 || router.endpoints["b"].server != serverBefore {
			t.Errorf("got polls %s and endpoints %v, want polls %s and the same server b",
				got, router.endpoints, wantPolls)
		}
		cancel()
	})
}
