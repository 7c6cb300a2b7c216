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
			c, settings := &fakeForwarder{script: succeedAfter(15 * time.Second)}, testSettings()
			settings.Classes[1].DedupWindow = int64(window)
			router := New(Config{
				Settings:         settings,
				Seed:             1,
				InitialEndpoints: completeList("a", "b"),
				Forwarder:        c,
				ProbeTimeout:     time.Second,
				EndpointSource:   &scriptedSource{},
				Log:              zerolog.Nop(),
			})
			serve := func(id string, class int) int {
				if a := router.Serve(t.Context(), testRequest(id, class, time.Minute)); a != nil {
					return a.Status
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
			ends, lasts := time.Now(), cmp.Or(window, 10*time.Second)
			for i := 0; time.Since(ends) < lasts-time.Millisecond; i++ {
				if got := serve("j", 1); got != http.StatusConflict {
					t.Errorf("window %s: %d after %s", window, got, time.Since(ends))
				}
				go serve(fmt.Sprint(i), 0) // others come and go meanwhile, of a class whose window is not told
				time.Sleep(min(time.Second, lasts-time.Millisecond-time.Since(ends)))
			}
			time.Sleep(2 * time.Millisecond)
			if got := serve("j", 1); got != http.StatusOK {
				t.Errorf("window %s: %d when it is over", window, got)
			}
			time.Sleep(2 * time.Minute)
			serve("other", 0)
			time.Sleep(2 * time.Minute)
			serve("another", 0)
			if kept := len(router.ids.current) + len(router.ids.previous); kept > 4 {
				t.Errorf("window %s: %d ids are kept", window, kept)
			}
		})
	}
}

func TestRequestSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(50 * time.Millisecond)}
		router := newTestRouter(c, &scriptedSource{}, completeList("a", "b"))
		start := time.Now()
		a := router.Serve(t.Context(), testRequest("j", 0, time.Second))
		if a == nil || a.Status != 200 || a.Body != "r" {
			t.Fatalf("%+v", a)
		}
		j := c.attempts[0]
		if c.attemptCount() != 1 || !strings.HasSuffix(j.Address, ":7") || j.Deadline.Sub(start) != time.Second {
			t.Errorf("%+v", j)
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
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(c, &scriptedSource{}, completeList("a", "b"))
		for class, status := range []int{503, 500} {
			start := time.Now()
			a := router.Serve(t.Context(), testRequest(fmt.Sprint(class), class, time.Second))
			if a == nil || a.Status != status || time.Since(start) >= time.Second {
				t.Errorf("class %d: %+v after %s", class, a, time.Since(start))
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
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(c, &scriptedSource{}, completeList("a"))
		for class, status := range []int{503, 500} {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			a := router.Serve(ctx, testRequest(fmt.Sprint(class), class, 5*time.Second))
			if a == nil || !a.ClientClosed || a.Status != status {
				t.Errorf("%+v", a)
			}
			a = router.Serve(ctx, testRequest(fmt.Sprint("late", class), class, 5*time.Second))
			if a == nil || !a.ClientClosed || a.Status != 503 {
				t.Errorf("%+v", a)
			}
		}
		if c.attemptCount() != 2 {
			t.Errorf("%d attempts", c.attemptCount())
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
		start, done := time.Now(), make(chan *protocol.Response, 2)
		go func() { done <- router.Serve(t.Context(), testRequest("j", 1, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		router.Shutdown(time.Second)
		go func() { done <- router.Serve(t.Context(), testRequest("k", 1, time.Minute)) }()
		for range 2 {
			if a := <-done; a == nil || time.Since(start) >= 1100*time.Millisecond {
				t.Errorf("%+v after %s", a, time.Since(start))
			}
		}
	})
}
