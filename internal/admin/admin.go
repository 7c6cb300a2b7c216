// SPDX-License-Identifier: Apache-2.0

// Package admin is the operators' line protocol: one line to a connection, one answer, which begins with OK or ERR.
package admin

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Handler is what operators may ask of a node. Each call answers at once.
type Handler interface {
	Ready() bool
	Metrics() (line []byte, err error)
	Exclude(id string) error
	Include(id string) error
	Evacuate() error
	Activate() error
	FleetStatus() (line []byte, err error)
	SetTotal(budget, units string) error
}

const (
	longest = 512                    // bytes of a line; ids are some tens
	typing  = 20 * time.Second       // for a whole line; a person at a terminal types it
	writing = time.Second            // for the answer, which fits into the socket's buffer
	parting = time.Second            // for the caller to close after its answer
	young   = 50 * time.Millisecond  // a caller is left alone at first; a line that was sent at once is read by then
	calls   = 1000                   // a second at most; each costs some tens of microseconds of the core
	burst   = 100                    // calls at once; a room of screens that ask in step
	retry   = 100 * time.Millisecond // after a fault of the listener, such as a lack of descriptors
)

// Server answers operators. It holds a fixed number of connections, beside those of clients.
type Server struct {
	desk   Handler
	places int
	log    zerolog.Logger
	pace   *rate.Limiter

	mu      sync.Mutex
	changed sync.Cond
	held    int
	waiting list.List // of *caller without a whole line, or with their answer; the oldest first
}

// New makes a server that holds so many connections at most.
func New(desk Handler, places int, log zerolog.Logger) *Server {
	s := &Server{desk: desk, places: places, log: log, pace: rate.NewLimiter(calls, burst)}
	s.changed.L = &s.mu
	return s
}

// caller is one connection.
type caller struct {
	net.Conn
	came time.Time
	at   *list.Element // of waiting; nil: it is being answered
}

// Serve answers all that call, until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn().Err(err).Msg("accepting an admin connection failed; trying again")
			time.Sleep(retry)
			continue
		}
		// Danger: calls by the thousand that take the core from clients. The rest wait with the kernel.
		s.pace.Wait(context.Background())
		go s.answer(s.greet(c))
	}
}

// greet finds a place for a caller. The one that has gone longest without a whole line gives way.
// Danger: callers that never send their line hold every place, and operators are shut out when they need to call.
func (s *Server) greet(c net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held >= s.places {
		first := s.waiting.Front()
		if first == nil {
			s.changed.Wait()
			continue
		}
		oldest := first.Value.(*caller)
		if age := time.Since(oldest.came); age < young {
			s.mu.Unlock()
			time.Sleep(young - age)
			s.mu.Lock()
			continue
		}
		s.waiting.Remove(first)
		oldest.at = nil
		s.held--
		oldest.Close()
	}
	s.held++
	fresh := &caller{Conn: c, came: time.Now()}
	fresh.at = s.waiting.PushBack(fresh)
	return fresh
}

// keep takes a caller out of those that may have to give way; false: it had to.
func (s *Server) keep(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.at == nil {
		return false
	}
	s.waiting.Remove(c.at)
	c.at = nil
	return true
}

// part lets a caller that has its answer give way again.
func (s *Server) part(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.came = time.Time{}
	c.at = s.waiting.PushFront(c)
	s.changed.Broadcast()
}

// leave gives a caller's place back, if it still has it.
func (s *Server) leave(c *caller) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.at != nil {
		s.waiting.Remove(c.at)
		c.at = nil
		s.held--
		s.changed.Broadcast()
	}
}

func (s *Server) answer(c *caller) {
	defer s.leave(c)
	c.SetReadDeadline(time.Now().Add(typing))
	line, err := bufio.NewReaderSize(c, longest).ReadSlice('\n')
	if !s.keep(c) {
		return
	}
	defer s.part(c)
	c.SetWriteDeadline(time.Now().Add(writing))
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		fmt.Fprintf(c, "ERR the line is over %d bytes\n", longest)
	// Danger: a line that was cut short may name another executor than the operator meant.
	case err != nil:
		io.WriteString(c, "ERR no whole line came\n")
	default:
		c.Write(s.reply(string(line)))
	}
	// Danger: what is left unread at a close takes the answer with it. So this end says that it is done, and waits.
	if half, can := c.Conn.(interface{ CloseWrite() error }); can && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(parting))
		io.CopyN(io.Discard, c, 64*longest)
	}
}

// reply is the answer to a line. A fault in a call is an answer too.
func (s *Server) reply(line string) (text []byte) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error().Interface("panic", r).Msg("admin command failed")
			text = []byte("ERR the call failed in the node; its log says why\n")
		}
	}()
	words := strings.Fields(line)
	if len(words) == 0 {
		return []byte("ERR the line is empty\n")
	}
	do := map[string]func(string) ([]byte, error){
		"readyz": func(string) ([]byte, error) {
			if !s.desk.Ready() {
				return nil, errors.New("this process takes no clients")
			}
			return nil, nil
		},
		"telemetry": func(string) ([]byte, error) {
			line, err := s.desk.Metrics()
			return append(line, "\nEND\n"...), err
		},
		"exclude":  func(id string) ([]byte, error) { return nil, s.desk.Exclude(id) },
		"include":  func(id string) ([]byte, error) { return nil, s.desk.Include(id) },
		"evacuate": func(string) ([]byte, error) { return nil, s.desk.Evacuate() },
		"activate": func(string) ([]byte, error) { return nil, s.desk.Activate() },
		"fleet": func(string) ([]byte, error) {
			line, err := s.desk.FleetStatus()
			return append(line, "\nEND\n"...), err
		},
		"whole": func(string) ([]byte, error) { return nil, s.desk.SetTotal(words[1], words[2]) },
	}[words[0]]
	takes := map[string]int{"exclude": 1, "include": 1, "whole": 2}[words[0]]
	switch {
	case do == nil:
		return fmt.Appendf(nil, "ERR %.40q is no call: readyz, telemetry, exclude ID, include ID, evacuate, activate, fleet, whole BUDGET UNITS\n", words[0])
	case len(words)-1 < takes && takes == 2:
		return fmt.Appendf(nil, "ERR %s needs a budget and its units\n", words[0])
	case len(words)-1 < takes:
		return fmt.Appendf(nil, "ERR %s needs the id of an executor\n", words[0])
	case len(words)-1 > takes:
		return fmt.Appendf(nil, "ERR %s takes %d words after it, not %d\n", words[0], takes, len(words)-1)
	}
	body, err := do(strings.Join(words[1:], ""))
	if words[0] != "readyz" && words[0] != "telemetry" && words[0] != "fleet" {
		s.log.Info().Strs("call", words).AnErr("refused", err).Msg("admin command")
	}
	if err != nil {
		return fmt.Appendf(nil, "ERR %s\n", err)
	}
	if body != nil {
		return body
	}
	return []byte("OK\n")
}
