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

// TestRequestIDIsReservedOnce: an id is rejected while its request is open, and then for the
// deduplication window of its class, or for 10 s if none is set, accurate to 1 ms. The first request is
// not affected, and a repeat after the window is a new request. A longer window would reject a client's
// own retry; a shorter one would run the request twice.
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
					t.Errorf("window %s: repeat of an open request: got status %d, want 409", window, got)
				}
				time.Sleep(time.Second)
			}
			if got := <-first; got != http.StatusOK {
				t.Errorf("window %s: first request: got status %d, want 200", window, got)
			}
			endedAt, reservedFor := time.Now(), cmp.Or(window, 10*time.Second)
			for i := 0; time.Since(endedAt) < reservedFor-time.Millisecond; i++ {
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: got status %d for a repeat %s after the response, want 409",
						window, got, time.Since(endedAt))
				}
				go serve(fmt.Sprint(i), 0) // concurrent requests of a class without a window
				time.Sleep(min(time.Second, reservedFor-time.Millisecond-time.Since(endedAt)))
			}
			time.Sleep(2 * time.Millisecond)
			if got := serve("j", 1); got != http.StatusOK {
				t.Errorf("window %s: repeat after the window: got status %d, want 200", window, got)
			}
			time.Sleep(2 * time.Minute)
			serve("other", 0)
			time.Sleep(2 * time.Minute)
			serve("another", 0)
			if stored := len(router.ids.current) + len(router.ids.previous); stored > 4 {
				t.Errorf("window %s: got %d stored ids, want at most 4", window, stored)
			}
		})
	}
}

// TestRequestSucceeds: a request causes one attempt with its deadline, gets the result of the job, and
// leaves no state in the router.
func TestRequestSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		start := time.Now()
		response := router.Serve(t.Context(), testRequest("j", 0, time.Second))
		if response == nil || response.Status != 200 || response.Body != "r" {
			t.Fatalf("got response %+v, want status 200 with body r", response)
		}
		attempt := forwarder.attempts[0]
		if forwarder.attemptCount() != 1 || !strings.HasSuffix(attempt.Address, ":7") ||
			attempt.Deadline.Sub(start) != time.Second {
			t.Errorf("got attempt %+v, want only one, to port 7, with a deadline after 1s", attempt)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("the router still has state of a finished request")
		}
	})
}

// TestUnfinishedRequestGetsResponseBeforeDeadline: a request whose job does not finish gets its response
// before its deadline. It is rejected as not run only if it is idempotent.
func TestUnfinishedRequestGetsResponseBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a", "b"))
		for class, status := range []int{503, 500} {
			start := time.Now()
			response := router.Serve(t.Context(), testRequest(fmt.Sprint(class), class, time.Second))
			if response == nil || response.Status != status || time.Since(start) >= time.Second {
				t.Errorf("class %d: got response %+v after %s, want status 503 for class 0 and 500 for 1 within 1s",
					class, response, time.Since(start))
			}
		}
		synctest.Wait()
		if len(router.cancelFuncs) > 0 {
			t.Error("attempts of finished requests are still in flight")
		}
	})
}

// TestClientCloses: after a client has closed, no attempt for it is in flight or sent. As the client may
// still read, the response obeys the rules: it states that the job has not run only if the request is
// idempotent or the job certainly has not run.
func TestClientCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(forwarder, &scriptedSource{}, completeList("a"))
		for class, status := range []int{503, 500} {
			ctx, closeClient := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, closeClient)
			response := router.Serve(ctx, testRequest(fmt.Sprint(class), class, 5*time.Second))
			if response == nil || !response.ClientClosed || response.Status != status {
				t.Errorf("client closed during its request: got response %+v, want status 503 or 500", response)
			}
			response = router.Serve(ctx, testRequest(fmt.Sprint("late", class), class, 5*time.Second))
			if response == nil || !response.ClientClosed || response.Status != 503 {
				t.Errorf("client closed before its request: got response %+v, want status 503", response)
			}
		}
		if forwarder.attemptCount() != 2 {
			t.Errorf("got %d attempts, want 2", forwarder.attemptCount())
		}
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("a request or an attempt of a closed client is still open")
		}
	})
}

// TestShutdownRespondsInTime: a node that shuts down responds to its open requests, and to those that
// arrive later, within the time given to Shutdown.
func TestShutdownRespondsInTime(t *testing.T) {
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
				t.Errorf("got response %+v after %s, want a response within 1.1s", response, time.Since(start))
			}
		}
	})
}
