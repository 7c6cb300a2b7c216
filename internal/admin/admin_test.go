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

// stand is a desk that notes what it was asked.
type stand struct {
	mu    sync.Mutex
	asked []string
	ready bool
}

func (s *stand) note(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, call)
	if strings.HasSuffix(call, " nobody") {
		return errors.New("never listed")
	}
	if strings.HasSuffix(call, " broken") {
		panic("broken")
	}
	return nil
}

func (s *stand) Ready() bool                  { return s.ready }
func (s *stand) Metrics() ([]byte, error)     { return []byte(`{"in_flight":0}`), s.note("telemetry") }
func (s *stand) Exclude(id string) error      { return s.note("exclude " + id) }
func (s *stand) Include(id string) error      { return s.note("include " + id) }
func (s *stand) Evacuate() error              { return s.note("evacuate") }
func (s *stand) Activate() error              { return s.note("activate") }
func (s *stand) FleetStatus() ([]byte, error) { return []byte(`{"epoch":1}`), s.note("fleet") }
func (s *stand) SetTotal(name, units string) error {
	return s.note("whole " + units + " " + name)
}

// pipes is a listener whose connections are in memory, so that its time can be a test's.
type pipes struct {
	fresh  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.fresh:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return nil }

// line has a line said to a server, and gives what it answers.
func (p *pipes) line(text string) string {
	near, far := net.Pipe()
	p.fresh <- far
	go io.WriteString(near, text)
	answer, _ := io.ReadAll(near)
	near.Close()
	return string(answer)
}

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
		desk := &stand{ready: true}
		l := &pipes{make(chan net.Conn), make(chan struct{})}
		go New(desk, 4, zerolog.Nop()).Serve(l)
		answer := l.line(text)
		if want == "OK\n" && answer != want || !strings.HasPrefix(answer, want) || strings.Count(answer, "\n") > 2 {
			t.Errorf("%.20q: %q, want %q", text, answer, want)
		}
		if strings.HasPrefix(answer, "ERR") && len(desk.asked) > 0 && !strings.Contains(text, "nobody") && !strings.Contains(text, "broken") {
			t.Errorf("%.20q was carried out: %q", text, desk.asked)
		}
		l.Close()
	}
	l := &pipes{make(chan net.Conn), make(chan struct{})}
	defer l.Close()
	go New(&stand{}, 4, zerolog.Nop()).Serve(l)
	if answer := l.line("readyz\n"); !strings.HasPrefix(answer, "ERR") {
		t.Error(answer)
	}
}

// TestCutLine: half a line is carried out by nobody, though what came of it is a call.
func TestCutLine(t *testing.T) {
	desk := &stand{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go New(desk, 4, zerolog.Nop()).Serve(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "exclude s-12")
	c.(*net.TCPConn).CloseWrite()
	if answer, err := io.ReadAll(c); err != nil || string(answer) != "ERR no whole line came\n" || len(desk.asked) > 0 {
		t.Errorf("%q, %v, %q", answer, err, desk.asked)
	}
}

// TestStalled: callers by the hundred that hold their connection with no whole line keep nobody from an answer within
// a second, and no more connections are held than there are places.
func TestStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipes{make(chan net.Conn), make(chan struct{})}
		s := New(&stand{ready: true}, 8, zerolog.Nop())
		go s.Serve(l)
		for range 3 {
			for range 100 {
				near, far := net.Pipe()
				l.fresh <- far
				go func() { io.WriteString(near, "exclu"); io.Copy(io.Discard, near); near.Close() }()
			}
			start := time.Now()
			if answer := l.line("readyz\n"); answer != "OK\n" {
				t.Error(answer)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("answered after %v", took)
			}
			s.mu.Lock()
			if s.held > 8 || s.waiting.Len() > s.held {
				t.Errorf("%d held, %d waiting", s.held, s.waiting.Len())
			}
			s.mu.Unlock()
		}
		l.Close()
		time.Sleep(typing) // the clock of the bubble
		synctest.Wait()
		if s.held != 0 {
			t.Errorf("%d still held", s.held)
		}
	})
}

// FuzzReply: any line gets one answer that begins with OK or ERR, or the figures.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{"readyz\n", "telemetry\n", "exclude \x00\n", "include a\tb\n", "\r\n", "evacuate\r\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, line string) {
		answer := string(New(&stand{}, 1, zerolog.Nop()).reply(line))
		first, rest, whole := strings.Cut(answer, "\n")
		figures := strings.HasPrefix(first, "{") && rest == "END\n"
		if !whole || !figures && (rest != "" || first != "OK" && !strings.HasPrefix(first, "ERR ")) {
			t.Errorf("%q: %q", line, answer)
		}
	})
}
