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

// TestRequestIDIsReservedOnce: an id is refused while it is open, and after that for as long as its scheme's repeats are dropped, or 10 s
// where that is not told, to the millisecond; the first one is left as it is. A repeat after the window is a new txn.
// Danger: a window longer than the settings say turns a client's own repeat away; a shorter one runs it twice.
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
			serve := func(id string, scheme int) int {
				if a := router.Serve(t.Context(), testRequest(id, scheme, time.Minute)); a != nil {
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
				go serve(fmt.Sprint(i), 0) // others come and go meanwhile, of a scheme whose window is not told
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
		if a := router.Serve(t.Context(), testRequest("j", 0, time.Second)); a == nil || a.Status != 200 || a.Body != "r" {
			t.Fatalf("%+v", a)
		}
		if j := c.attempts[0]; c.attemptCount() != 1 || !strings.HasSuffix(j.Address, ":7") || j.Deadline.Sub(start) != time.Second {
			t.Errorf("%+v", j)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("something of it is kept")
		}
	})
}

// TestUnfinishedRequestIsAnsweredBeforeDeadline: every txn is answered before its expiry, by a decline only where nothing can have run.
func TestUnfinishedRequestIsAnsweredBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(c, &scriptedSource{}, completeList("a", "b"))
		for scheme, status := range []int{503, 500} {
			start := time.Now()
			a := router.Serve(t.Context(), testRequest(fmt.Sprint(scheme), scheme, time.Second))
			if a == nil || a.Status != status || time.Since(start) >= time.Second {
				t.Errorf("scheme %d: %+v after %s", scheme, a, time.Since(start))
			}
		}
		synctest.Wait()
		if len(router.cancelFuncs) > 0 {
			t.Error("postings are out that nobody waits for")
		}
	})
}

// TestClientCloses: nothing is out for a client that has closed. What is written to it, should it still read, promises no more than the
// rules allow: that its job never ran only where that is harmless or sure.
func TestClientCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeForwarder{script: succeedAfter(time.Hour)}
		router := newTestRouter(c, &scriptedSource{}, completeList("a"))
		for scheme, status := range []int{503, 500} {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			if a := router.Serve(ctx, testRequest(fmt.Sprint(scheme), scheme, 5*time.Second)); a == nil || !a.ClientClosed || a.Status != status {
				t.Errorf("%+v", a)
			}
			if a := router.Serve(ctx, testRequest(fmt.Sprint("late", scheme), scheme, 5*time.Second)); a == nil || !a.ClientClosed || a.Status != 503 {
				t.Errorf("%+v", a)
			}
		}
		if c.attemptCount() != 2 {
			t.Errorf("%d attempts", c.attemptCount())
		}
		synctest.Wait()
		if len(router.requests)+len(router.cancelFuncs) > 0 {
			t.Error("the posting is still out")
		}
	})
}

// TestShutdownAnswersInTime: a node that is told to end answers all that it has, and what still comes, within the time it is given.
func TestShutdownAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := newTestRouter(&fakeForwarder{script: succeedAfter(time.Hour)}, &scriptedSource{}, completeList("a", "b", "c"))
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
