// SPDX-License-Identifier: Apache-2.0

// Package admin serves the operators' line protocol. Each connection carries one command line and one reply,
// which begins with OK, with ERR or with the requested JSON.
package admin

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	maxLineBytes  = 512                   // ids have some tens of bytes
	lineTimeout   = 20 * time.Second      // long enough for a person to type a command
	replyTimeout  = time.Second           // the reply fits into the socket's buffer
	closeTimeout  = time.Second           // for the client to close the connection after the reply
	minIdleAge    = 50 * time.Millisecond // before eviction; a line that is sent at once arrives in less
	maxDrainBytes = 64 * maxLineBytes     // limit on data after the command line

	// A command takes some tens of microseconds of the core that also serves clients.
	maxConnectionRate  = 1000 // per second
	maxConnectionBurst = 100

	// acceptRetryDelay is the pause after an accept error, such as a lack of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// Server serves operators. It limits the number of its connections, which are separate from those of clients.
type Server struct {
	handler        Handler
	maxConnections int
	log            zerolog.Logger
	limiter        *rate.Limiter

	mu          sync.Mutex // guards the fields below
	changed     sync.Cond  // signals that a connection was closed or became evictable
	connections int
	// evictable holds each *connection that has not sent a complete line or that has its reply, in the order
	// of eviction.
	evictable list.List
}

// connection is a connection of an operator.
type connection struct {
	net.Conn
	idleSince time.Time
	element   *list.Element // in evictable; nil: a reply is in progress, or the connection was evicted
}

// New returns a server with at most maxConnections connections.
func New(handler Handler, maxConnections int, log zerolog.Logger) *Server {
	s := &Server{
		handler:        handler,
		maxConnections: maxConnections,
		log:            log,
		limiter:        rate.NewLimiter(maxConnectionRate, maxConnectionBurst),
	}
	s.changed.L = &s.mu
	return s
}

// Serve accepts and serves connections. It returns after the listener and all connections are closed.
func (s *Server) Serve(l net.Listener) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting an admin connection failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		// Connections beyond the rate wait in the kernel's queue. Wait fails only when its context ends.
		_ = s.limiter.Wait(context.Background())
		c := s.admit(accepted)
		serving.Go(func() { s.serveConnection(c) })
	}
}

// admit adds a connection. If the limit is reached, it first evicts one, so that connections that never send
// a line cannot lock operators out.
func (s *Server) admit(accepted net.Conn) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.connections >= s.maxConnections {
		s.makeRoom()
	}
	s.connections++
	c := &connection{Conn: accepted, idleSince: time.Now()}
	c.element = s.evictable.PushBack(c)
	return c
}

// makeRoom evicts the connection that has been without a complete line for longest. If none may be evicted
// yet, it waits instead: a line that is sent at once is read within minIdleAge. The caller holds mu, which is
// released during the wait.
func (s *Server) makeRoom() {
	first := s.evictable.Front()
	if first == nil {
		s.changed.Wait()
		return
	}
	oldest := first.Value.(*connection)
	if age := time.Since(oldest.idleSince); age < minIdleAge {
		s.mu.Unlock()
		time.Sleep(minIdleAge - age)
		s.mu.Lock()
		return
	}
	s.evictable.Remove(first)
	oldest.element = nil
	s.connections--
	oldest.Close()
}

// beginReply protects a connection from eviction. It returns false if the connection was already evicted.
func (s *Server) beginReply(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element == nil {
		return false
	}
	s.evictable.Remove(c.element)
	c.element = nil
	return true
}

// endReply puts a connection that has its reply first in the order of eviction.
func (s *Server) endReply(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Time{}
	c.element = s.evictable.PushFront(c)
	s.changed.Broadcast()
}

// release closes a connection and removes it, unless it was already evicted.
func (s *Server) release(c *connection) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element == nil {
		return
	}
	s.evictable.Remove(c.element)
	c.element = nil
	s.connections--
	s.changed.Broadcast()
}

// serveConnection reads one line, replies to it and closes the connection.
func (s *Server) serveConnection(c *connection) {
	defer s.release(c)
	c.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := bufio.NewReaderSize(c, maxLineBytes).ReadSlice('\n')
	if !s.beginReply(c) {
		return
	}
	defer s.endReply(c)
	c.SetWriteDeadline(time.Now().Add(replyTimeout))
	// If the write fails, the client has disconnected, and there is nobody to report the error to.
	_, _ = c.Write(s.replyToLine(line, err))
	drain(c)
}

// replyToLine returns the reply to the received data. An incomplete line is not executed: its last word may
// be the id of another server, cut short.
func (s *Server) replyToLine(line []byte, err error) []byte {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Appendf(nil, "ERR the line is longer than %d bytes\n", maxLineBytes)
	case err != nil:
		return []byte("ERR the line is incomplete\n")
	}
	return s.reply(string(line))
}

// drain closes the sending side and discards what the client still sends. The kernel would reset a connection
// that is closed with unread data, and the reply could be lost.
func drain(c *connection) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(closeTimeout))
	// The copy ends when the client closes, at the deadline or at the limit. None of these is an error here.
	_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
}
