// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// recordingHandler records the commands that it receives.
type recordingHandler struct {
	mu       sync.Mutex
	commands []string
	ready    bool
}

func (h *recordingHandler) record(command string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, command)
	if strings.HasSuffix(command, " unknown") {
		return errors.New("never listed")
	}
	if strings.HasSuffix(command, " broken") {
		panic("broken")
	}
	return nil
}

func (h *recordingHandler) Ready() bool { return h.ready }
func (h *recordingHandler) Metrics() ([]byte, error) {
	return []byte(`{"in_flight":0}`), h.record("telemetry")
}
func (h *recordingHandler) Exclude(id string) error { return h.record("exclude " + id) }
func (h *recordingHandler) Include(id string) error { return h.record("include " + id) }
func (h *recordingHandler) Evacuate() error         { return h.record("evacuate") }
func (h *recordingHandler) Activate() error         { return h.record("activate") }
func (h *recordingHandler) FleetStatus() ([]byte, error) {
	return []byte(`{"epoch":1}`), h.record("fleet")
}
func (h *recordingHandler) SetTotal(name, units string) error {
	return h.record("whole " + units + " " + name)
}

// pipeListener is a listener of in-memory connections, so that a test in a synctest bubble can use its clock.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// send sends text on a new connection and returns the reply.
func (l *pipeListener) send(text string) string {
	client, server := net.Pipe()
	l.accepted <- server
	go io.WriteString(client, text)
	reply, _ := io.ReadAll(client)
	client.Close()
	return string(reply)
}

// TestReplies checks the reply to each kind of line, and that a line whose reply is ERR is not executed.
func TestReplies(t *testing.T) {
	for text, want := range map[string]string{
		"readyz\n":                 "OK\n",
		"readyz\r\n":               "OK\n",
		"  readyz \t\n":            "OK\n",
		"telemetry\n":              "{\"in_flight\":0}\nEND\n",
		"exclude s-1\n":            "OK\n",
		"include s-1\r\n":          "OK\n",
		"exclude unknown\n":        "ERR never listed\n",
		"exclude broken\n":         "ERR internal error",
		"evacuate\n":               "OK\n",
		"activate\n":               "OK\n",
		"fleet\n":                  "{\"epoch\":1}\nEND\n",
		"whole connect 20\n":       "OK\n",
		"whole connect\n":          "ERR whole requires a budget and its units\n",
		"whole\n":                  "ERR whole requires a budget and its units\n",
		"whole unknown 3\n":        "ERR never listed\n",
		"\n":                       "ERR the line is empty\n",
		"READYZ\n":                 "ERR unknown command \"READYZ\"",
		"exclude\n":                "ERR exclude requires the id",
		"exclude a b\n":            "ERR exclude takes 1 arguments, got 2\n",
		"evacuate now\n":           "ERR evacuate takes 0 arguments",
		"\x00\xff\n":               "ERR ",
		strings.Repeat("x", 600):   "ERR the line is longer than 512 bytes",
		strings.Repeat("x", 5<<10): "ERR the line is longer than 512 bytes",
	} {
		handler := &recordingHandler{ready: true}
		l := newPipeListener()
		go New(handler, 4, zerolog.Nop()).Serve(l)
		reply := l.send(text)
		if want == "OK\n" && reply != want || !strings.HasPrefix(reply, want) ||
			strings.Count(reply, "\n") > 2 {
			t.Errorf("%.20q: got reply %q, want %q", text, reply, want)
		}
		handlerFails := strings.Contains(text, "unknown") || strings.Contains(text, "broken")
		if strings.HasPrefix(reply, "ERR") && len(handler.commands) > 0 && !handlerFails {
			t.Errorf("%.20q: got commands %q, want none after an ERR reply", text, handler.commands)
		}
		l.Close()
	}
	l := newPipeListener()
	defer l.Close()
	go New(&recordingHandler{}, 4, zerolog.Nop()).Serve(l)
	if reply := l.send("readyz\n"); !strings.HasPrefix(reply, "ERR") {
		t.Errorf("readyz before the process is ready: got reply %q, want ERR and a reason", reply)
	}
}

// TestIncompleteLine checks that a line without its newline is not executed, even if it parses as a command.
func TestIncompleteLine(t *testing.T) {
	handler := &recordingHandler{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go New(handler, 4, zerolog.Nop()).Serve(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "exclude s-12")
	c.(*net.TCPConn).CloseWrite()
	reply, err := io.ReadAll(c)
	if err != nil || string(reply) != "ERR the line is incomplete\n" {
		t.Errorf("got reply %q, error %v; want ERR the line is incomplete", reply, err)
	}
	if len(handler.commands) > 0 {
		t.Errorf("got commands %q, want none", handler.commands)
	}
}

// TestStalledConnections checks that hundreds of connections without a complete line do not delay a reply for
// more than a second, and that the number of connections stays within the limit.
func TestStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := New(&recordingHandler{ready: true}, 8, zerolog.Nop())
		go s.Serve(l)
		for range 3 {
			for range 100 {
				client, server := net.Pipe()
				l.accepted <- server
				go func() { io.WriteString(client, "exclu"); io.Copy(io.Discard, client); client.Close() }()
			}
			start := time.Now()
			if reply := l.send("readyz\n"); reply != "OK\n" {
				t.Errorf("readyz: got reply %q, want OK", reply)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("reply took %v, want at most 1s", took)
			}
			s.mu.Lock()
			if s.connections > 8 || s.evictable.Len() > s.connections {
				t.Errorf("got %d connections, %d of them evictable; want at most 8",
					s.connections, s.evictable.Len())
			}
			s.mu.Unlock()
		}
		l.Close()
		time.Sleep(lineTimeout) // on the clock of the synctest bubble
		synctest.Wait()
		if s.connections != 0 {
			t.Errorf("got %d connections after the line timeout, want 0", s.connections)
		}
	})
}

// FuzzReply checks that each line gets one reply: OK, a line that begins with ERR, or a line of JSON and END.
func FuzzReply(f *testing.F) {
	seeds := []string{"readyz\n", "telemetry\n", "exclude \x00\n", "include a\tb\n", "\r\n", "evacuate\r\r\n"}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, line string) {
		reply := string(New(&recordingHandler{}, 1, zerolog.Nop()).reply(line))
		first, rest, complete := strings.Cut(reply, "\n")
		isJSON := strings.HasPrefix(first, "{") && rest == "END\n"
		if !complete || !isJSON && (rest != "" || first != "OK" && !strings.HasPrefix(first, "ERR ")) {
			t.Errorf("%q: got reply %q, want OK, ERR and a reason, or JSON and END", line, reply)
		}
	})
}
