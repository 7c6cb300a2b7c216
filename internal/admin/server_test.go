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

// recordingHandler records the commands that it is given.
type recordingHandler struct {
	mu       sync.Mutex
	commands []string
	ready    bool
}

func (h *recordingHandler) record(call string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, call)
	if strings.HasSuffix(call, " nobody") {
		return errors.New("never listed")
	}
	if strings.HasSuffix(call, " broken") {
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

// pipeListener is a listener whose connections are in memory, so that its clock can be a test's.
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

// say sends text on a connection of its own and returns the reply.
func (l *pipeListener) say(text string) string {
	near, far := net.Pipe()
	l.accepted <- far
	go io.WriteString(near, text)
	reply, _ := io.ReadAll(near)
	near.Close()
	return string(reply)
}

// TestLines: each line gets the reply of the pages, and one that gets ERR is not carried out.
func TestLines(t *testing.T) {
	for text, want := range map[string]string{
		"readyz\n":                 "OK\n",
		"readyz\r\n":               "OK\n",
		"  readyz \t\n":            "OK\n",
		"telemetry\n":              "{\"in_flight\":0}\nEND\n",
		"exclude s-1\n":            "OK\n",
		"include s-1\r\n":          "OK\n",
		"exclude nobody\n":         "ERR never listed\n",
		"exclude broken\n":         "ERR the call failed",
		"evacuate\n":               "OK\n",
		"activate\n":               "OK\n",
		"fleet\n":                  "{\"epoch\":1}\nEND\n",
		"whole connect 20\n":       "OK\n",
		"whole connect\n":          "ERR whole needs a budget and its units\n",
		"whole\n":                  "ERR whole needs a budget and its units\n",
		"whole nobody 3\n":         "ERR never listed\n",
		"\n":                       "ERR the line is empty\n",
		"READYZ\n":                 "ERR \"READYZ\" is no call",
		"exclude\n":                "ERR exclude needs the id",
		"exclude a b\n":            "ERR exclude takes 1 words after it, not 2\n",
		"evacuate now\n":           "ERR evacuate takes 0 words",
		"\x00\xff\n":               "ERR ",
		strings.Repeat("x", 600):   "ERR the line is over",
		strings.Repeat("x", 5<<10): "ERR the line is over",
	} {
		handler := &recordingHandler{ready: true}
		l := newPipeListener()
		go New(handler, 4, zerolog.Nop()).Serve(l)
		reply := l.say(text)
		if want == "OK\n" && reply != want || !strings.HasPrefix(reply, want) || strings.Count(reply, "\n") > 2 {
			t.Errorf("%.20q: %q, want %q", text, reply, want)
		}
		refused := strings.Contains(text, "nobody") || strings.Contains(text, "broken")
		if strings.HasPrefix(reply, "ERR") && len(handler.commands) > 0 && !refused {
			t.Errorf("%.20q was carried out: %q", text, handler.commands)
		}
		l.Close()
	}
	l := newPipeListener()
	defer l.Close()
	go New(&recordingHandler{}, 4, zerolog.Nop()).Serve(l)
	if reply := l.say("readyz\n"); !strings.HasPrefix(reply, "ERR") {
		t.Error(reply)
	}
}

// TestCutLine: a line that breaks off is not carried out, though what came of it reads as a command.
func TestCutLine(t *testing.T) {
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
	if err != nil || string(reply) != "ERR no whole line came\n" {
		t.Errorf("%q, %v", reply, err)
	}
	if len(handler.commands) > 0 {
		t.Errorf("carried out: %q", handler.commands)
	}
}

// TestStalledCallers: hundreds of connections that send no whole line keep nobody from a reply within a second, and
// no more connections are held than the limit allows.
func TestStalledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := New(&recordingHandler{ready: true}, 8, zerolog.Nop())
		go s.Serve(l)
		for range 3 {
			for range 100 {
				near, far := net.Pipe()
				l.accepted <- far
				go func() { io.WriteString(near, "exclu"); io.Copy(io.Discard, near); near.Close() }()
			}
			start := time.Now()
			if reply := l.say("readyz\n"); reply != "OK\n" {
				t.Error(reply)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("replied after %v", took)
			}
			s.mu.Lock()
			if s.connections > 8 || s.evictable.Len() > s.connections {
				t.Errorf("%d held, %d waiting", s.connections, s.evictable.Len())
			}
			s.mu.Unlock()
		}
		l.Close()
		time.Sleep(lineTimeout) // the clock of the bubble
		synctest.Wait()
		if s.connections != 0 {
			t.Errorf("%d still held", s.connections)
		}
	})
}

// FuzzReply: any line gets one reply that begins with OK or ERR, or a line of JSON and its end.
func FuzzReply(f *testing.F) {
	seeds := []string{"readyz\n", "telemetry\n", "exclude \x00\n", "include a\tb\n", "\r\n", "evacuate\r\r\n"}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, line string) {
		reply := string(New(&recordingHandler{}, 1, zerolog.Nop()).reply(line))
		first, rest, complete := strings.Cut(reply, "\n")
		figures := strings.HasPrefix(first, "{") && rest == "END\n"
		if !complete || !figures && (rest != "" || first != "OK" && !strings.HasPrefix(first, "ERR ")) {
			t.Errorf("%q: %q", line, reply)
		}
	})
}
