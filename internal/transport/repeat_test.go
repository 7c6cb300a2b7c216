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

// attemptFault is what becomes of a posting on its way: it has the executor's end of the connection and what came on it so far.
type attemptFault struct {
	dialError        error                                         // no connection
	neverConnects    bool                                          // a connection that never comes up
	readBytes        int                                           // of the request that are read before the rest: -1: all
	respond          func(c net.Conn, id string, gone func() bool) // before the connection is closed; gone says that the node has
	mayRun           bool                                          // the job may have run by what the protocol says
	reusedConnection bool                                          // on a connection that served a job before
}

// respond puts a txn's id, of one letter since chunks tell their lengths, in place of j.
func respond(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		io.WriteString(c, strings.ReplaceAll(text, `"j"`, `"`+id+`"`))
	}
}

// respondAndStall says something and then nothing until the node gives up.
func respondAndStall(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, gone func() bool) { respond(text)(c, id, nil); gone() }
}

// attemptFaults are the outcomes that transport can tell.
var attemptFaults = map[string]attemptFault{
	"not dialled":                    {dialError: errors.New("refused")},
	"never comes up":                 {neverConnects: true},
	"reset before its bytes":         {},
	"reset during its bytes":         {readBytes: 20},
	"reset after its bytes":          {readBytes: -1, mayRun: true},
	"turned away":                    {readBytes: -1, respond: respond("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")},
	"handed back":                    {readBytes: -1, respond: respond(chunkedHead + updateLine("returned") + chunkedEnd)},
	"failed":                         {readBytes: -1, mayRun: true, respond: respond(chunkedHead + updateLine("failed") + chunkedEnd)},
	"500":                            {readBytes: -1, mayRun: true, respond: respond("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n")},
	"503 without the mark":           {readBytes: -1, mayRun: true, respond: respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")},
	"lost":                           {readBytes: -1, mayRun: true, respond: respond(chunkedHead + updateLine("started") + updateLine("lost") + chunkedEnd)},
	"cut in its head":                {readBytes: -1, mayRun: true, respond: respond("HTTP/1.1 200 OK\r\nTransfer-Enc")},
	"cut after its start":            {readBytes: -1, mayRun: true, respond: respond(chunkedHead + updateLine("started"))},
	"cut in a line":                  {readBytes: -1, mayRun: true, respond: respond(chunkedHead + "40\r\n{\"id\":\"j\",\"state\":\"do")},
	"no HTTP":                        {readBytes: -1, mayRun: true, respond: respond("<html>\r\n\r\n")},
	"another's id":                   {readBytes: -1, mayRun: true, respond: respond(chunkedHead + chunk(`{"id":"k","state":"done","result":"k"}`) + chunkedEnd)},
	"two lengths":                    {readBytes: -1, mayRun: true, respond: respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nabcde")},
	"endless head":                   {readBytes: -1, mayRun: true, respond: respondForever("HTTP/1.1 200 OK\r\n", "X-More: more\r\n")},
	"endless line":                   {readBytes: -1, mayRun: true, respond: respondForever(chunkedHead, "100\r\n"+strings.Repeat("x", 256)+"\r\n")},
	"endless notes":                  {readBytes: -1, mayRun: true, respond: respondForever(chunkedHead, updateLine("running"))},
	"100 and cut":                    {readBytes: -1, mayRun: true, respond: respond("HTTP/1.1 100 Continue\r\n\r\n")},
	"103 without end":                {readBytes: -1, mayRun: true, respond: respondForever("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")},
	"silent":                         {readBytes: -1, mayRun: true, respond: respondAndStall("")},
	"silent after 100":               {readBytes: -1, mayRun: true, respond: respondAndStall("HTTP/1.1 100 Continue\r\n\r\n")},
	"silent after its head":          {readBytes: -1, mayRun: true, respond: respondAndStall(chunkedHead)},
	"silent after its start":         {readBytes: -1, mayRun: true, respond: respondAndStall(chunkedHead + updateLine("started"))},
	"silent in a line":               {readBytes: -1, mayRun: true, respond: respondAndStall(chunkedHead + "40\r\n{\"id\":\"j\"")},
	"kept, reset before its bytes":   {reusedConnection: true},
	"kept, reset during its bytes":   {reusedConnection: true, readBytes: 20},
	"kept, reset after its bytes":    {reusedConnection: true, readBytes: -1, mayRun: true},
	"kept, cut after its start":      {reusedConnection: true, readBytes: -1, mayRun: true, respond: respond(chunkedHead + updateLine("started"))},
	"kept, silent":                   {reusedConnection: true, readBytes: -1, mayRun: true, respond: respondAndStall("")},
	"kept, an answer to none before": {reusedConnection: true, readBytes: -1, mayRun: true, respond: respond(chunkedHead + chunk(`{"id":"0","state":"done","result":"0"}`) + chunkedEnd)},
}

func respondForever(first, again string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		text := strings.ReplaceAll(again, `"j"`, `"`+id+`"`)
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, text) {
			time.Sleep(time.Millisecond)
		}
	}
}

// singleByteConn reads no more than it is asked for, where it matters what was read.
type singleByteConn struct {
	net.Conn
	single bool
}

func (b singleByteConn) Read(p []byte) (int, error) {
	if b.single {
		p = p[:1]
	}
	return b.Conn.Read(p)
}

// arrival is one request whose last byte has come.
type arrival struct {
	id  string
	bad bool // it meets the fault
}

// runWithFault has one txn meet a fault at whichever executor it is sent to first; all later ones serve.
func runWithFault(t *testing.T, f attemptFault, effect dispatch.Idempotency, body string) (status int, result string, arrivals []arrival, written int) {
	var mu sync.Mutex
	trouble, open := !f.reusedConnection, 0
	most := 0
	x := NewServerClient(NewConnectionBudget(256), time.Second, time.Minute, protocol.LoadReportKeys{}, func() {
		mu.Lock()
		written++
		mu.Unlock()
	})
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(singleByteConn{c, f.readBytes >= 0})
		for {
			if !f.reusedConnection && f.readBytes == 0 {
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
			if bad && f.readBytes >= 0 {
				io.ReadFull(in, make([]byte, f.readBytes))
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
			arrivals, open = append(arrivals, arrival{id, bad}), open+1
			most = max(most, open)
			mu.Unlock()
			if !bad {
				time.Sleep(10 * time.Millisecond)
				respond(chunkedHead+updateLine("started")+updateLine("done")+chunkedEnd)(c, id, nil)
			} else if f.respond != nil {
				f.respond(c, id, func() bool { _, err := in.Peek(1); return err != nil })
			}
			mu.Lock()
			open--
			mu.Unlock()
			if bad {
				return
			}
		}
	}
	x.dialer.dialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		mu.Lock()
		bad := trouble && (f.dialError != nil || f.neverConnects)
		if bad {
			trouble = false
		}
		mu.Unlock()
		if bad && f.neverConnects {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
			return nil, errors.New("timed out")
		} else if bad {
			return nil, f.dialError
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
	if f.reusedConnection {
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
	for name, f := range attemptFaults {
		for _, effect := range []dispatch.Idempotency{dispatch.Idempotent, dispatch.IdempotentInGroup, dispatch.NonIdempotent} {
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
	status, result, arrivals, written := runWithFault(t, f, effect, body)
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

// TestSecondAnswers: executors answer twice, with a refusal behind the result. The library takes it for the answer to the next
// request on that connection, which has run all the same, and must not count as never run.
func TestSecondAnswers(t *testing.T) {
	var mu sync.Mutex
	e := startFakeServer(t, func(c net.Conn, n int) bool {
		io.WriteString(c, chunkedHead+updateLine("done")+chunkedEnd+"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
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
