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

func TestOutcomesByWhatIsProved(t *testing.T) {
	started, running, failed := updateLine("started"), updateLine("running"), updateLine("failed")
	done, lost := updateLine("done"), updateLine("lost")
	foreign := chunk(`{"id":"k","state":"done","result":"r"}`)
	for name, c := range map[string]struct {
		text string
		want dispatch.Outcome
	}{
		"done":                 {chunkedHead + started + running + done + chunkedEnd, dispatch.Succeeded},
		"done, bytes after":    {chunkedHead + done + chunk("more") + failed + chunkedEnd, dispatch.Succeeded},
		"failed":               {chunkedHead + started + failed + chunkedEnd, dispatch.Failed},
		"500":                  {"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		"503 with the mark":    {"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Rejected},
		"503 without the mark": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		"redirect":             {"HTTP/1.1 307 Away\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		"returned":             {chunkedHead + updateLine("returned") + chunkedEnd, dispatch.Rejected},
		"lost":                 {chunkedHead + started + lost + chunkedEnd, dispatch.ConnectionLost},
		"ends early":           {chunkedHead + started + chunkedEnd, dispatch.ConnectionLost},
		"breaks":               {chunkedHead + started, dispatch.ConnectionLost},
		"breaks within a line": {chunkedHead + "40\r\n{\"id\":\"j\",\"state\":\"do", dispatch.ConnectionLost},
		"foreign":              {chunkedHead + foreign + chunkedEnd, dispatch.ConnectionLost},
		"not HTTP":             {"hello\r\n\r\n", dispatch.ConnectionLost},
		"nothing, then closed": {"", dispatch.ConnectionLost},
	} {
		e := startFakeServer(t, respondWith(c.text, false))
		_, x := newTestClient()
		got := forward(t.Context(), x, e.Addr().String())
		if got.outcome != c.want || (got.result == "r") != (c.want == dispatch.Succeeded) {
			t.Errorf("%s: %+v, want %d", name, got, c.want)
		}
		if _, requests := e.counts(); requests != 1 {
			t.Errorf("%s: %d requests", name, requests)
		}
	}
}

func TestNoConnection(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	l.Close()
	d, x := newTestClient()
	before := d.inUse
	if got := forward(t.Context(), x, address); got.outcome != dispatch.ConnectFailed {
		t.Errorf("%+v", got)
	}
	if d.inUse != before {
		t.Error("a place in the budget is gone")
	}
}

// TestConnectionNeverComesUp: a machine that has vanished answers no dial; the wait ends by the settings' limit.
func TestConnectionNeverComesUp(t *testing.T) {
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
	for range 10 { // until its queue is full and it says nothing any more
		c, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	d := NewConnectionBudget(1024)
	x := NewServerClient(d, 50*time.Millisecond, time.Minute, protocol.LoadReportKeys{FreeSlots: "x0"}, func() {})
	before, start := d.inUse, time.Now()
	got := forward(t.Context(), x, address)
	if took := time.Since(start); got.outcome != dispatch.ConnectFailed || took > time.Second || d.inUse != before {
		t.Errorf("%+v after %s", got, took)
	}
}

// TestConnectionsAreKeptAndClosed: an answer read to its end gives its connection back, an attempt given up closes it.
func TestConnectionsAreKeptAndClosed(t *testing.T) {
	withdraw, told := make(chan context.CancelFunc, 1), make(chan struct{})
	e := startFakeServer(t, func(c net.Conn, nth int) bool {
		if nth < 3 {
			io.WriteString(c, chunkedHead+updateLine("done"))
			<-told // the end of the answer comes after the last line was passed on
			io.WriteString(c, chunkedEnd)
			return true
		}
		io.WriteString(c, chunkedHead+updateLine("started"))
		(<-withdraw)()
		return true
	})
	d, x := newTestClient()
	tell := func() { told <- struct{}{} }
	forward(t.Context(), x, e.Addr().String(), tell)
	forward(t.Context(), x, e.Addr().String(), tell)
	if accepted, _ := e.counts(); accepted != 1 || d.idle[serverSide].Len() != 1 {
		t.Errorf("%d connections, %d idle", accepted, d.idle[serverSide].Len())
	}
	ctx, cancel := context.WithCancel(t.Context())
	withdraw <- cancel
	if got := forward(ctx, x, e.Addr().String()); got.outcome != dispatch.Canceled {
		t.Errorf("%+v", got)
	}
	<-e.closed
}

// TestClosedBeforeTheResultIsReported: once an attempt's end is known the request may be sent again, and must not
// be out twice.
func TestClosedBeforeTheResultIsReported(t *testing.T) {
	for name, text := range map[string]string{"no head": "", "no last line": chunkedHead + updateLine("started"),
		"foreign": chunkedHead + chunk("odd")} {
		for range 20 {
			// All is new each time: what an earlier attempt at a connection comes to later is not this attempt's.
			e := startFakeServer(t, respondWith(text, true))
			d, x := newTestClient()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			forward(ctx, x, e.Addr().String(), func() {
				_, came := e.counts()
				d.mu.Lock()
				defer d.mu.Unlock()
				// A busy machine may not have come to a connection by then; the place is that of the attempt at one.
				if came > 0 && d.inUse[serverSide] > 0 {
					t.Errorf("%s: the connection is open still", name)
				}
			})
			cancel()
		}
	}
}

func TestTimeOut(t *testing.T) {
	e := startFakeServer(t, respondWith(chunkedHead+updateLine("started"), true))
	_, x := newTestClient()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if got := forward(ctx, x, e.Addr().String()); got.outcome != dispatch.TimedOut {
		t.Errorf("%+v", got)
	}
	<-e.closed
}

// TestNothingIsSentAgain: the server takes a request on an idle connection and breaks it.
// http.Transport by itself sends a request with an idempotency key again.
func TestNothingIsSentAgain(t *testing.T) {
	e := startFakeServer(t, func(c net.Conn, nth int) bool {
		if nth == 1 {
			io.WriteString(c, chunkedHead+updateLine("done")+chunkedEnd)
		}
		return nth == 1
	})
	_, x := newTestClient()
	forward(t.Context(), x, e.Addr().String())
	got := forward(t.Context(), x, e.Addr().String())
	if accepted, requests := e.counts(); got.outcome != dispatch.StaleConnection || accepted != 1 || requests != 2 {
		t.Errorf("%+v, %d connections, %d requests", got, accepted, requests)
	}
}

// TestProbe: a probe's answer is its report; refusals, silence and odd bodies are faults, and its connection is kept.
func TestProbe(t *testing.T) {
	_, x := newTestClient()
	answer := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	good := startFakeServer(t, respondWith(answer("200 OK", `{"x0":3}`), true))
	for range 2 {
		if l, err := x.Probe(t.Context(), good.Addr().String()); err != nil || l.FreeSlots != 3 {
			t.Errorf("%+v %v", l, err)
		}
	}
	if accepted, requests := good.counts(); accepted != 1 || requests != 2 {
		t.Errorf("%d connections for %d probes", accepted, requests)
	}
	faulty := []string{answer("404 Not Found", ""), answer("503 Busy", `{"x0":3}`), answer("200 OK", "{}"), "junk"}
	for _, text := range faulty {
		if l, err := x.Probe(t.Context(), startFakeServer(t, respondWith(text, false)).Addr().String()); err == nil {
			t.Errorf("%q: %+v", text, l)
		}
	}
	short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := x.Probe(short, startFakeServer(t, respondWith("", true)).Addr().String()); err == nil {
		t.Error("a silent server told of its load")
	}
}
