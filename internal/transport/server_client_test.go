// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestOutcomes checks the outcome of an attempt for each kind of response.
func TestOutcomes(t *testing.T) {
	started, running, failed := updateLine("started"), updateLine("running"), updateLine("failed")
	done, lost := updateLine("done"), updateLine("lost")
	foreign := chunk(`{"id":"k","state":"done","result":"r"}`)
	for name, test := range map[string]struct {
		text string
		want dispatch.Outcome
	}{
		"done": {chunkedHead + started + running + done + chunkedEnd,
			dispatch.Succeeded},
		"done, bytes after": {chunkedHead + done + chunk("more") + failed + chunkedEnd,
			dispatch.Succeeded},
		"failed": {chunkedHead + started + failed + chunkedEnd, dispatch.Failed},
		"500":    {"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		"503 with X-Rejected": {"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
			dispatch.Rejected},
		"503 without X-Rejected": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		"redirect": {"HTTP/1.1 307 Away\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n",
			dispatch.Failed},
		"returned":             {chunkedHead + updateLine("returned") + chunkedEnd, dispatch.Rejected},
		"lost":                 {chunkedHead + started + lost + chunkedEnd, dispatch.ConnectionLost},
		"no final line":        {chunkedHead + started + chunkedEnd, dispatch.ConnectionLost},
		"closed after started": {chunkedHead + started, dispatch.ConnectionLost},
		"closed within a line": {chunkedHead + "40\r\n{\"id\":\"j\",\"state\":\"do",
			dispatch.ConnectionLost},
		"update of another job":     {chunkedHead + foreign + chunkedEnd, dispatch.ConnectionLost},
		"not HTTP":                  {"hello\r\n\r\n", dispatch.ConnectionLost},
		"closed without a response": {"", dispatch.ConnectionLost},
	} {
		server := startFakeServer(t, respondWith(test.text, false))
		_, client := newTestClient()
		got := forward(t.Context(), client, server.Addr().String())
		if got.outcome != test.want || (got.result == "r") != (test.want == dispatch.Succeeded) {
			t.Errorf("%s: got %+v, want outcome %d", name, got, test.want)
		}
		if _, requests := server.counts(); requests != 1 {
			t.Errorf("%s: server received %d requests, want 1", name, requests)
		}
	}
}

// TestRefusedDial checks that a refused dial counts as ConnectFailed and releases its permit.
func TestRefusedDial(t *testing.T) {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	address := listener.Addr().String()
	listener.Close()
	budget, client := newTestClient()
	before := budget.inUse
	if got := forward(t.Context(), client, address); got.outcome != dispatch.ConnectFailed {
		t.Errorf("refused dial: got %+v, want outcome %v", got, dispatch.ConnectFailed)
	}
	if budget.inUse != before {
		t.Errorf("permits in use: got %v, want %v", budget.inUse, before)
	}
}

// TestUnansweredDialTimesOut checks that a dial to an unreachable machine, which never responds, ends with
// the configured time-out.
func TestUnansweredDialTimesOut(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	syscall.Listen(fd, 0)
	name, _ := syscall.Getsockname(fd)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 10 { // until the accept queue is full and connects are unanswered
		c, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	budget := NewConnectionBudget(1024)
	client := NewServerClient(budget, 50*time.Millisecond, time.Minute,
		protocol.LoadReportKeys{FreeSlots: "x0"}, func() {})
	before, start := budget.inUse, time.Now()
	got := forward(t.Context(), client, address)
	if elapsed := time.Since(start); got.outcome != dispatch.ConnectFailed || elapsed > time.Second ||
		budget.inUse != before {
		t.Errorf("unanswered dial: got %+v after %s with %v permits, want outcome %v within 1 s with %v",
			got, elapsed, budget.inUse, dispatch.ConnectFailed, before)
	}
}

// TestConnectionReuseAndCancel checks that a connection is reused after its response was read to the end, and
// closed if its attempt is canceled.
func TestConnectionReuseAndCancel(t *testing.T) {
	cancels, reported := make(chan context.CancelFunc, 1), make(chan struct{})
	server := startFakeServer(t, func(c net.Conn, nth int) bool {
		if nth < 3 {
			io.WriteString(c, chunkedHead+updateLine("done"))
			<-reported // the end of the response is sent after the final line was reported
			io.WriteString(c, chunkedEnd)
			return true
		}
		io.WriteString(c, chunkedHead+updateLine("started"))
		(<-cancels)()
		return true
	})
	budget, client := newTestClient()
	waitForEnd := func() { reported <- struct{}{} }
	forward(t.Context(), client, server.Addr().String(), waitForEnd)
	forward(t.Context(), client, server.Addr().String(), waitForEnd)
	if accepted, _ := server.counts(); accepted != 1 || budget.idle[serverSide].Len() != 1 {
		t.Errorf("two attempts: got %d connections, %d of them idle, want 1 and 1", accepted,
			budget.idle[serverSide].Len())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancels <- cancel
	if got := forward(ctx, client, server.Addr().String()); got.outcome != dispatch.Canceled {
		t.Errorf("canceled attempt: got %+v, want outcome %v", got, dispatch.Canceled)
	}
	<-server.closed
}

// TestClosedBeforeTheResultIsReported checks that a failed attempt's connection is closed before its result
// is reported. The request may be sent again from then on and must not be in flight twice.
func TestClosedBeforeTheResultIsReported(t *testing.T) {
	for name, text := range map[string]string{"no head": "",
		"no final line":  chunkedHead + updateLine("started"),
		"malformed line": chunkedHead + chunk("odd")} {
		for range 20 {
			// Each round has a new server and client, so that a late dial of an earlier attempt is not
			// counted here.
			server := startFakeServer(t, respondWith(text, true))
			budget, client := newTestClient()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			forward(ctx, client, server.Addr().String(), func() {
				_, requests := server.counts()
				budget.mu.Lock()
				defer budget.mu.Unlock()
				// On a busy machine the dial may not have finished. The permit then belongs to the dial.
				if requests > 0 && budget.inUse[serverSide] > 0 {
					t.Errorf("%s: the connection is open when the result is reported", name)
				}
			})
			cancel()
		}
	}
}

// TestAttemptTimesOut checks that an attempt whose response stalls ends as TimedOut and closes its
// connection.
func TestAttemptTimesOut(t *testing.T) {
	server := startFakeServer(t, respondWith(chunkedHead+updateLine("started"), true))
	_, client := newTestClient()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if got := forward(ctx, client, server.Addr().String()); got.outcome != dispatch.TimedOut {
		t.Errorf("stalled response: got %+v, want outcome %v", got, dispatch.TimedOut)
	}
	<-server.closed
}

// TestTransportDoesNotResend checks that a request is sent once if the server reads it on a reused connection
// and closes that. By default http.Transport sends a request with an idempotency key again.
func TestTransportDoesNotResend(t *testing.T) {
	server := startFakeServer(t, func(c net.Conn, nth int) bool {
		if nth == 1 {
			io.WriteString(c, chunkedHead+updateLine("done")+chunkedEnd)
		}
		return nth == 1
	})
	_, client := newTestClient()
	forward(t.Context(), client, server.Addr().String())
	got := forward(t.Context(), client, server.Addr().String())
	if accepted, requests := server.counts(); got.outcome != dispatch.StaleConnection ||
		accepted != 1 || requests != 2 {
		t.Errorf("second attempt: got %+v, %d connections, %d requests, want outcome %v, 1 and 2",
			got, accepted, requests, dispatch.StaleConnection)
	}
}

// TestProbe checks that a probe returns the load report and reuses its connection, and that error statuses,
// malformed bodies and missing responses are errors.
func TestProbe(t *testing.T) {
	_, client := newTestClient()
	answer := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	good := startFakeServer(t, respondWith(answer("200 OK", `{"x0":3}`), true))
	for range 2 {
		if report, err := client.Probe(t.Context(), good.Addr().String()); err != nil ||
			report.FreeSlots != 3 {
			t.Errorf("probe: got %+v, error %v, want 3 free slots", report, err)
		}
	}
	if accepted, requests := good.counts(); accepted != 1 || requests != 2 {
		t.Errorf("got %d connections for %d probes, want 1 for 2", accepted, requests)
	}
	faulty := []string{answer("404 Not Found", ""), answer("503 Busy", `{"x0":3}`), answer("200 OK", "{}"),
		"junk"}
	for _, text := range faulty {
		if report, err := client.Probe(
			t.Context(), startFakeServer(t, respondWith(text, false)).Addr().String()); err == nil {
			t.Errorf("response %q: got %+v, want an error", text, report)
		}
	}
	short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := client.Probe(short, startFakeServer(t, respondWith("", true)).Addr().String()); err == nil {
		t.Error("probe of a silent server: got a load report, want an error")
	}
}
