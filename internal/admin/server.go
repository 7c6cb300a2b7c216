// SPDX-License-Identifier: Apache-2.0

// Package admin serves the operators' line protocol: one line to a connection and one reply, which begins with OK,
// ERR or the JSON that was asked for.
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
	maxLineBytes  = 512              // ids have some tens
	lineTimeout   = 20 * time.Second // a person at a terminal types the line
	replyTimeout  = time.Second      // the reply fits into the socket's buffer
	closeTimeout  = time.Second      // for the caller to close after the reply
	minIdleAge    = 50 * time.Millisecond
	maxDrainBytes = 64 * maxLineBytes // of what a caller sends after its line

	// A command costs some tens of microseconds of the core that clients are served on.
	maxCallsPerSecond = 1000
	maxCallBurst      = 100

	// acceptRetryDelay follows an error of the listener, such as a lack of descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// Server serves operators. It holds a fixed number of connections beside those of clients.
type Server struct {
	handler        Handler
	maxConnections int
	log            zerolog.Logger
	limiter        *rate.Limiter

	mu          sync.Mutex // guards what follows
	changed     sync.Cond  // a connection was closed, or became evictable
	connections int
	evictable   list.List // of *connection that sent no whole line yet or have their reply; the first one goes first
}

// connection is one operator's connection.
type connection struct {
	net.Conn
	idleSince time.Time
	element   *list.Element // in evictable; nil: it is being replied to, or was evicted
}

// New returns a server that holds at most so many connections.
func New(handler Handler, maxConnections int, log zerolog.Logger) *Server {
	s := &Server{
		handler:        handler,
		maxConnections: maxConnections,
		log:            log,
		limiter:        rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
	}
	s.changed.L = &s.mu
	return s
}

// Serve serves all who connect. It returns once the listener is closed and no connection is left.
func (s *Server) Serve(l net.Listener) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting an admin connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		// Connections beyond the limit wait with the kernel. This fails only when its context ends.
		_ = s.limiter.Wait(context.Background())
		c := s.admit(accepted)
		serving.Go(func() { s.serveConnection(c) })
	}
}

// admit counts a connection in, and first makes room for it where there is none: connections that never send their
// line do not keep operators out.
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

// makeRoom evicts the connection that has gone longest without a whole line, or waits where none can be evicted yet:
// a line that was sent at once is read within minIdleAge. The caller holds mu, which is released during a wait.
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

// beginReply keeps a connection from being evicted. It reports whether the connection is still there.
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

// endReply makes a connection that has its reply the next one to be evicted.
func (s *Server) endReply(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Time{}
	c.element = s.evictable.PushFront(c)
	s.changed.Broadcast()
}

// release closes a connection and counts it out, unless it was evicted.
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
	// A caller that is gone has no use for the error of the write.
	_, _ = c.Write(s.replyToLine(line, err))
	drain(c)
}

// replyToLine returns the reply to what was read. A line that broke off is not carried out: it may name another
// server than the operator meant.
func (s *Server) replyToLine(line []byte, err error) []byte {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Appendf(nil, "ERR the line is over %d bytes\n", maxLineBytes)
	case err != nil:
		return []byte("ERR no whole line came\n")
	}
	return s.reply(string(line))
}

// drain ends the sending side and reads what the caller still sends: the kernel would reset a connection that is
// closed with unread data, and the reply would be lost with it.
func drain(c *connection) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(closeTimeout))
	// It ends with the caller's close, the deadline or the limit; each of them is fine.
	_, _ = io.CopyN(io.Discard, c, maxDrainBytes)
}
