// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// fault is what becomes of a posting on its way: it has the executor's end of the connection and what came on it so far.
type fault struct {
	dial  error                                         // no connection
	never bool                                          // a connection that never comes up
	bytes int                                           // of the request that are read before the rest: -1: all
	then  func(c net.Conn, id string, gone func() bool) // before the connection is closed; gone says that the node has
	runs  bool                                          // the job may have run by what the protocol says
	kept  bool                                          // on a connection that served a job before
}

// writes puts a txn's id, of one letter since chunks tell their lengths, in place of j.
func writes(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		io.WriteString(c, strings.ReplaceAll(text, `"j"`, `"`+id+`"`))
	}
}

// stalls says something and then nothing until the node gives up.
func stalls(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, gone func() bool) { writes(text)(c, id, nil); gone() }
}

// faults are the outcomes that transport can tell.
var faults = map[string]fault{
	"not dialled":                    {dial: errors.New("refused")},
	"never comes up":                 {never: true},
	"reset before its bytes":         {},
	"reset during its bytes":         {bytes: 20},
	"reset after its bytes":          {bytes: -1, runs: true},
	"turned away":                    {bytes: -1, then: writes("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")},
	"handed back":                    {bytes: -1, then: writes(head + line("returned") + end)},
	"failed":                         {bytes: -1, runs: true, then: writes(head + line("failed") + end)},
	"500":                            {bytes: -1, runs: true, then: writes("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n")},
	"503 without the mark":           {bytes: -1, runs: true, then: writes("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")},
	"lost":                           {bytes: -1, runs: true, then: writes(head + line("started") + line("lost") + end)},
	"cut in its head":                {bytes: -1, runs: true, then: writes("HTTP/1.1 200 OK\r\nTransfer-Enc")},
	"cut after its start":            {bytes: -1, runs: true, then: writes(head + line("started"))},
	"cut in a line":                  {bytes: -1, runs: true, then: writes(head + "40\r\n{\"id\":\"j\",\"state\":\"do")},
	"no HTTP":                        {bytes: -1, runs: true, then: writes("<html>\r\n\r\n")},
	"another's id":                   {bytes: -1, runs: true, then: writes(head + chunk(`{"id":"k","state":"done","result":"k"}`) + end)},
	"two lengths":                    {bytes: -1, runs: true, then: writes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nabcde")},
	"endless head":                   {bytes: -1, runs: true, then: endless("HTTP/1.1 200 OK\r\n", "X-More: more\r\n")},
	"endless line":                   {bytes: -1, runs: true, then: endless(head, "100\r\n"+strings.Repeat("x", 256)+"\r\n")},
	"endless notes":                  {bytes: -1, runs: true, then: endless(head, line("running"))},
	"100 and cut":                    {bytes: -1, runs: true, then: writes("HTTP/1.1 100 Continue\r\n\r\n")},
	"103 without end":                {bytes: -1, runs: true, then: endless("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")},
	"silent":                         {bytes: -1, runs: true, then: stalls("")},
	"silent after 100":               {bytes: -1, runs: true, then: stalls("HTTP/1.1 100 Continue\r\n\r\n")},
	"silent after its head":          {bytes: -1, runs: true, then: stalls(head)},
	"silent after its start":         {bytes: -1, runs: true, then: stalls(head + line("started"))},
	"silent in a line":               {bytes: -1, runs: true, then: stalls(head + "40\r\n{\"id\":\"j\"")},
	"kept, reset before its bytes":   {kept: true},
	"kept, reset during its bytes":   {kept: true, bytes: 20},
	"kept, reset after its bytes":    {kept: true, bytes: -1, runs: true},
	"kept, cut after its start":      {kept: true, bytes: -1, runs: true, then: writes(head + line("started"))},
	"kept, silent":                   {kept: true, bytes: -1, runs: true, then: stalls("")},
	"kept, an answer to none before": {kept: true, bytes: -1, runs: true, then: writes(head + chunk(`{"id":"0","state":"done","result":"0"}`) + end)},
}

func endless(first, again string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		text := strings.ReplaceAll(again, `"j"`, `"`+id+`"`)
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, text) {
			time.Sleep(time.Millisecond)
		}
	}
}

// byBytes reads no more than it is asked for, where it matters what was read.
type byBytes struct {
	net.Conn
	single bool
}

func (b byBytes) Read(p []byte) (int, error) {
	if b.single {
		p = p[:1]
	}
	return b.Conn.Read(p)
}

// came is one request whose last byte has come.
type came struct {
	id  string
	bad bool // it meets the fault
}

// plays has one txn meet a fault at whichever executor it is sent to first; all later ones serve.
func plays(t *testing.T, f fault, effect dispatch.Idempotency, body string) (status int, result string, arrivals []came, written int) {
	var mu sync.Mutex
	trouble, open := !f.kept, 0
	most := 0
	x := NewServerClient(NewConnectionBudget(256), time.Second, time.Minute, protocol.LoadReportKeys{}, func() {
		mu.Lock()
		written++
		mu.Unlock()
	})
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(byBytes{c, f.bytes >= 0})
		for {
			if !f.kept && f.bytes == 0 {
				mu.Lock()
				bad := trouble
				trouble = false
				mu.Unlock()
				if bad {
					return
				}
			}
			if _, err := in.Peek(1); err != nil {
				return
			}
			mu.Lock()
			bad := trouble
			trouble = false
			mu.Unlock()
			if bad && f.bytes >= 0 {
				io.ReadFull(in, make([]byte, f.bytes))
				return
			}
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			id := r.Header.Get("X-Call-Id")
			mu.Lock()
			arrivals, open = append(arrivals, came{id, bad}), open+1
			most = max(most, open)
			mu.Unlock()
			if !bad {
				time.Sleep(10 * time.Millisecond)
				writes(head+line("started")+line("done")+end)(c, id, nil)
			} else if f.then != nil {
				f.then(c, id, func() bool { _, err := in.Peek(1); return err != nil })
			}
			mu.Lock()
			open--
			mu.Unlock()
			if bad {
				return
			}
		}
	}
	x.dialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		mu.Lock()
		bad := trouble && (f.dial != nil || f.never)
		if bad {
			trouble = false
		}
		mu.Unlock()
		if bad && f.never {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
			return nil, errors.New("timed out")
		} else if bad {
			return nil, f.dial
		}
		here, there := net.Pipe()
		go serve(there)
		return here, nil
	}
	settings := &dispatch.Settings{Nodes: 1, Tick: 5e6, StartNotices: true, MaxAttempts: 3, AllowCancel: true, AllowHedging: true, MaxRetryAfter: 2e9,
		IdleTimeout: 6e10, DrainGrace: 2e9, MaxPollInterval: 55e8, Classes: []*dispatch.Class{{LatencyObjective: 3e8, MaxDeadline: 3e9, Weight: 1, LateShare: 0.5, MachineType: -1, Idempotency: effect, DedupWindow: 1e9}}}
	known := &protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}}}
	n := routing.New(routing.Config{
		Settings:         settings,
		Seed:             1,
		InitialEndpoints: known,
		Forwarder:        x,
		ProbeTimeout:     time.Second,
		Log:              zerolog.Nop(),
	})
	txn := func(id string) *protocol.Response {
		return n.Serve(t.Context(), &protocol.Request{ID: id, Target: "/j", Slots: 1, Timeout: 3 * time.Second, Body: []byte(body),
			Header: http.Header{"X-Call-Id": {id}, "Idempotency-Key": {id}}})
	}
	if f.kept {
		if a := txn("0"); a.Status != http.StatusOK {
			t.Errorf("%+v", a)
		}
		synctest.Wait()
		mu.Lock()
		trouble, arrivals, written, most = true, nil, 0, 0
		mu.Unlock()
	}
	a := txn("1")
	time.Sleep(5 * time.Second) // what is out then stays out for good, and the bubble says so
	synctest.Wait()
	mu.Lock()
	defer mu.Unlock()
	if effect != dispatch.Idempotent && most > 1 {
		t.Errorf("%d out at once", most)
	}
	x.transport.CloseIdleConnections()
	return a.Status, a.Body, arrivals, written
}

// TestUnsafeToRepeat: whatever becomes of a posting, a once-only txn is sent again only where the one before surely never ran,
// and is never declined where it may have; others are served elsewhere. With and without a body nothing arrives that this node's
// module did not send: the library repeats nothing by itself.
func TestUnsafeToRepeat(t *testing.T) {
	for name, f := range faults {
		for _, effect := range []dispatch.Idempotency{dispatch.Idempotent, dispatch.IdempotentInGroup, dispatch.NonIdempotent} {
			for _, body := range []string{"", "body"} {
				at := fmt.Sprintf("%s, effect %d, body %q", name, effect, body)
				t.Run(at, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { check(t, f, effect, body) })
				})
			}
		}
	}
}

func check(t *testing.T, f fault, effect dispatch.Idempotency, body string) {
	status, result, arrivals, written := plays(t, f, effect, body)
	want := status
	switch {
	case effect == dispatch.NonIdempotent && f.runs:
		want = http.StatusInternalServerError
	case !f.runs || status != http.StatusServiceUnavailable:
		want = http.StatusOK
	}
	if status != want || status == http.StatusOK && result != "r" {
		t.Errorf("answered %d %q, want %d", status, result, want)
	}
	most := 2
	if effect == dispatch.NonIdempotent && f.runs || f.bytes >= 0 {
		most = 1
	}
	if len(arrivals) > most || effect == dispatch.NonIdempotent && len(arrivals) != most {
		t.Errorf("%+v arrived, %d at most", arrivals, most)
	}
	if len(arrivals) != written {
		t.Errorf("%d arrived, %d were written to the end", len(arrivals), written)
	}
}

// TestSecondAnswers: executors answer twice, with a refusal behind the result. The library takes it for the answer to the next
// request on that connection, which has run all the same, and must not count as never run.
func TestSecondAnswers(t *testing.T) {
	var mu sync.Mutex
	e := play(t, func(c net.Conn, n int) bool {
		io.WriteString(c, head+line("done")+end+"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	_, x := fresh()
	var callers sync.WaitGroup
	outcomes := map[dispatch.Outcome]int{}
	for range 8 {
		callers.Go(func() {
			for range 500 {
				o := do(t.Context(), x, e.Addr().String()).outcome
				mu.Lock()
				outcomes[o]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	_, came := e.seen()
	never := outcomes[dispatch.Rejected] + outcomes[dispatch.NotSent] + outcomes[dispatch.ConnectFailed]
	if may := 8*500 - never; came > may || outcomes[dispatch.Rejected] > 0 {
		t.Errorf("%d came, %d may have run: %v", came, may, outcomes)
	}
}
