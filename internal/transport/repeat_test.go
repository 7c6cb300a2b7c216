// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// runWithFault has one request meet a fault at whichever server it is sent to first; all later attempts are served.
func runWithFault(t *testing.T, f attemptFault, effect dispatch.Idempotency, body string) faultRun {
	t.Helper()
	pool := &faultPool{fault: f, armed: !f.reusedConnection}
	reportKeys := protocol.LoadReportKeys{}
	client := NewServerClient(NewConnectionBudget(256), time.Second, time.Minute, reportKeys, pool.requestWritten)
	client.dialer.dialContext = pool.dial
	known := &protocol.EndpointList{
		Complete:  true,
		Endpoints: []protocol.Endpoint{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}},
	}
	node := routing.New(routing.Config{
		Settings:         repeatSettings(effect),
		Seed:             1,
		InitialEndpoints: known,
		Forwarder:        client,
		ProbeTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	serve := func(id string) *protocol.Response {
		return node.Serve(t.Context(), &protocol.Request{
			ID:      id,
			Target:  "/j",
			Slots:   1,
			Timeout: 3 * time.Second,
			Body:    []byte(body),
			Header:  http.Header{"X-Call-Id": {id}, "Idempotency-Key": {id}},
		})
	}
	if f.reusedConnection {
		if response := serve("0"); response.Status != http.StatusOK {
			t.Errorf("%+v", response)
		}
		synctest.Wait()
		pool.rearm()
	}
	response := serve("1")
	time.Sleep(5 * time.Second) // what is out then stays out for good, and the bubble says so
	synctest.Wait()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if effect != dispatch.Idempotent && pool.maxOpen > 1 {
		t.Errorf("%d out at once", pool.maxOpen)
	}
	client.transport.CloseIdleConnections()
	return faultRun{status: response.Status, result: response.Body, arrivals: pool.arrivals, written: pool.written}
}

// faultRun is how a request ended that met a fault.
type faultRun struct {
	status   int
	result   string
	arrivals []arrival
	written  int // requests whose last byte was written
}

// repeatSettings allow all that a retry may need, for one class.
func repeatSettings(effect dispatch.Idempotency) *dispatch.Settings {
	class := &dispatch.Class{
		LatencyObjective: 3e8,
		MaxDeadline:      3e9,
		Weight:           1,
		LateShare:        0.5,
		MachineType:      -1,
		Idempotency:      effect,
		DedupWindow:      1e9,
	}
	return &dispatch.Settings{
		Nodes:           1,
		Tick:            5e6,
		StartNotices:    true,
		MaxAttempts:     3,
		AllowCancel:     true,
		AllowHedging:    true,
		MaxRetryAfter:   2e9,
		IdleTimeout:     6e10,
		DrainGrace:      2e9,
		MaxPollInterval: 55e8,
		Classes:         []*dispatch.Class{class},
	}
}

// TestNonIdempotentIsNotRepeated: whatever becomes of an attempt, a non-idempotent request is sent again only where
// the one before surely never ran, and is never shed where it may have; others are served elsewhere. With and
// without a body nothing arrives that this node's router did not send: http.Transport repeats nothing by itself.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	effects := []dispatch.Idempotency{dispatch.Idempotent, dispatch.IdempotentInGroup, dispatch.NonIdempotent}
	for name, f := range attemptFaults {
		for _, effect := range effects {
			for _, body := range []string{"", "body"} {
				at := fmt.Sprintf("%s, effect %d, body %q", name, effect, body)
				t.Run(at, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkRepeat(t, f, effect, body) })
				})
			}
		}
	}
}

func checkRepeat(t *testing.T, f attemptFault, effect dispatch.Idempotency, body string) {
	t.Helper()
	run := runWithFault(t, f, effect, body)
	status, result, arrivals, written := run.status, run.result, run.arrivals, run.written
	want := status
	switch {
	case effect == dispatch.NonIdempotent && f.mayRun:
		want = http.StatusInternalServerError
	case !f.mayRun || status != http.StatusServiceUnavailable:
		want = http.StatusOK
	}
	if status != want || status == http.StatusOK && result != "r" {
		t.Errorf("answered %d %q, want %d", status, result, want)
	}
	most := 2
	if effect == dispatch.NonIdempotent && f.mayRun || f.readBytes >= 0 {
		most = 1
	}
	if len(arrivals) > most || effect == dispatch.NonIdempotent && len(arrivals) != most {
		t.Errorf("%+v arrived, %d at most", arrivals, most)
	}
	if len(arrivals) != written {
		t.Errorf("%d arrived, %d were written to the end", len(arrivals), written)
	}
}

// TestUnexpectedResponses: servers respond twice, with a rejection behind the result. http.Transport takes it for
// the answer to the next request on that connection, which has run all the same, and must not count as never run.
func TestUnexpectedResponses(t *testing.T) {
	var mu sync.Mutex
	e := startFakeServer(t, func(c net.Conn, n int) bool {
		io.WriteString(c, chunkedHead+updateLine("done")+chunkedEnd+rejection)
		return true
	})
	_, x := newTestClient()
	var callers sync.WaitGroup
	outcomes := map[dispatch.Outcome]int{}
	for range 8 {
		callers.Go(func() {
			for range 500 {
				o := forward(t.Context(), x, e.Addr().String()).outcome
				mu.Lock()
				outcomes[o]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	_, came := e.counts()
	never := outcomes[dispatch.Rejected] + outcomes[dispatch.NotSent] + outcomes[dispatch.ConnectFailed]
	if may := 8*500 - never; came > may || outcomes[dispatch.Rejected] > 0 {
		t.Errorf("%d came, %d may have run: %v", came, may, outcomes)
	}
}
