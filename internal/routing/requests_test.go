// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/protocol"
)

// TestRequestIDIsReservedOnce: an id is rejected while its request is open, and after that for its
// class's deduplication window, or 10 s where none is set, to the millisecond. The first request
// goes on unharmed, and a repeat after the window is a new request. A longer window would reject a
// client's own retry, a shorter one would run it twice.
func TestRequestIDIsReservedOnce(t *testing.T) {
	for _, window := range []time.Duration{0, 1500 * time.Millisecond, 45 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			forwarder, settings := &fakeForwarder{script: succeedAfter(15 * time.Second)}, testSettings()
			settings.Classes[1].DedupWindow = int64(window)
			router := New(Config{
				Settings:         settings,
				Seed:             1,
				InitialEndpoints: completeList("a", "b"),
				Forwarder:        forwarder,
				ProbeTimeout:     time.Second,
				EndpointSource:   &scriptedSource{},
				Log:              zerolog.Nop(),
			})
			serve := func(id string, class int) int {
				if response := router.Serve(t.Context(), testRequest(id, class, time.Minute)); response != nil {
					return response.Status
				}
				return 0
			}
			first := make(chan int, 1)
			go func() { first <- serve("j", 1) }()
			for range 14 {
				synctest.Wait()
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: %d while it is open", window, got)
				}
				time.Sleep(time.Second)
			}
			if got := <-first; got != http.StatusOK {
				t.Errorf("window %s: the first got %d", window, got)
			}
			endedAt, reserved := time.Now(), cmp.Or(window, 10*time.Second)
			for i := 0; time.Since(endedAt) < reserved-time.Millisecond; i++ {
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: %d after %s", window, got, time.Since(endedAt))
				}
				go serve(fmt.Sprint(i), 0) // others come and go meanwhile, of a class whose window is not told
				time.Sleep(min(time.Second, reserved-time.Millisecond-time.Since(endedAt)))
			}
			time.Sleep(2 * time.Millisecond)
			if got := serve("j", 1); got != http.StatusOK {
				t.Errorf("window %s: %d when it is over", window, got)
			}
			time.Sleep(2 * time.Minute)
			serve("other", 0)
			time.Sleep(2 * time.Minute)
			serve("another", 0)
			if stored := len(router.ids.current) + len(router.ids.previous); stored > 4 {
				t.Errorf("window %s: %d ids are kept", window, stored)
			}
		})
	}
}

func TestRequestSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		start := time.Now()
		response := router.Serve(t.Context(), testRequest("j", 0, time.Second))
		if response == nil || response.Status != 200 || response.Body != "r" {
			t.Fatalf("%+v", response)
		}
		attempt := forwarder.attempts[0]
		if forwarder.attemptCount() != 1 || !strings.HasSuffix(attempt.Address, ":7") || attempt.Deadline.Sub(start) != time.Second {
			t.Errorf("%+v", attempt)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("something of it is kept")
		}
	})
}

// TestUnfinishedRequestIsAnsweredBeforeDeadline: every request is answered before its expiry, by a
// decline only where nothing can have run.
func TestUnfinishedRequestIsAnsweredBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		for class, status := range []int{503, 500} {
			start := time.Now()
			response := router.Serve(t.Context(), testRequest(fmt.Sprint(class), class, time.Second))
			if response == nil || response.Status != status || time.Since(start) >= time.Second {
				t.Errorf("class %d: %+v after %s", class, response, time.Since(start))
			}
		}
		synctest.Wait()
		if len(router.cancelFuncs) > 0 {
			t.Error("attempts are out that nobody waits for")
		}
	})
}

// TestClientCloses: nothing is out for a client that has closed. What is written to it, should it
// still read, promises no more than the rules allow: that its job never ran only where that is
// harmless or sure.
func TestClientCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a"))
		for class, status := range []int{503, 500} {
			ctx, closeClient := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, closeClient)
			response := router.Serve(ctx, testRequest(fmt.Sprint(class), class, 5*time.Second))
			if response == nil || !response.ClientClosed || response.Status != status {
				t.Errorf("%+v", response)
			}
			response = router.Serve(ctx, testRequest(fmt.Sprint("late", class), class, 5*time.Second))
			if response == nil || !response.ClientClosed || response.Status != 503 {
				t.Errorf("%+v", response)
			}
		}
		if forwarder.attemptCount() != 2 {
			t.Errorf("%d attempts", forwarder.attemptCount())
		}
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("the attempt is still out")
		}
	})
}

// TestShutdownAnswersInTime: a node that is told to end answers all that it has, and what still
// comes, within the time it is given.
func TestShutdownAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b", "c"))
		start, responses := time.Now(), make(chan *protocol.Response, 2)
		go func() { responses <- router.Serve(t.Context(), testRequest("j", 1, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		router.Shutdown(time.Second)
		go func() { responses <- router.Serve(t.Context(), testRequest("k", 1, time.Minute)) }()
		for range 2 {
			if response := <-responses; response == nil || time.Since(start) >= 1100*time.Millisecond {
				t.Errorf("%+v after %s", response, time.Since(start))
			}
		}
	})
}
