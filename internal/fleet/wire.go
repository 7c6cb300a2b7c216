// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"fernrail/internal/config"
)

// wire is the one door of a seat, shared by calls and the group's own streams. A stream says with its first bytes that it
// is one, that it is of this fleet, and which id it is for; all else is a call. It is raft's StreamLayer.
type wire struct {
	id      string
	plan    *config.Fleet
	calls   *calls
	log     zerolog.Logger
	told    *rate.Limiter
	inner   net.Listener
	streams *line // to raft
	plain   *line // to the server of calls

	mu   sync.Mutex
	open map[net.Conn]bool // that came in and have not gone
	over bool
}

// mark begins a stream. No HTTP request begins with it.
const mark = 0x01

func newWire(l net.Listener, id string, plan *config.Fleet, c *calls, log zerolog.Logger) *wire {
	return &wire{id: id, plan: plan, calls: c, log: log, told: rate.NewLimiter(1, 1), inner: l, open: map[net.Conn]bool{},
		streams: newLine(named(id)), plain: newLine(l.Addr())}
}

// stranger tells of one, at a bounded rate.
func (w *wire) stranger(what string) {
	if w.told.Allow() {
		w.log.Warn().Str("fault", what).Msg("stranger at the fleet's door")
	}
}

// accept takes connections until the listener is closed.
func (w *wire) accept() {
	for {
		c, err := w.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.log.Warn().Err(err).Msg("a connection was not taken")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go w.greet(c)
	}
}

// greet finds out what a connection is.
func (w *wire) greet(c net.Conn) {
	if !w.keep(c) {
		return
	}
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	in := bufio.NewReaderSize(c, 4096)
	first, err := in.Peek(1)
	if err != nil {
		w.drop(c)
		return
	}
	if first[0] != mark {
		c.SetReadDeadline(time.Time{})
		w.plain.hand(&begun{c, in, w})
		return
	}
	head := make([]byte, 1+64+1)
	if _, err := io.ReadFull(in, head); err != nil || !w.calls.known(string(head[1:65])) {
		w.stranger("a stream of no node of this fleet and version")
		w.drop(c)
		return
	}
	id := make([]byte, head[65])
	// Danger: a seat that has lost its memory takes part under the id that went with it.
	if _, err := io.ReadFull(in, id); err != nil || string(id) != w.id {
		w.stranger("a stream for a seat that is not here any more")
		w.drop(c)
		return
	}
	c.SetReadDeadline(time.Time{})
	w.streams.hand(&begun{c, in, w})
}

// keep notes a connection until it is closed, so that all end with the door; false: that is shut.
func (w *wire) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		c.Close()
		return false
	}
	w.open[c] = true
	return true
}

func (w *wire) drop(c net.Conn) error {
	w.mu.Lock()
	delete(w.open, c)
	w.mu.Unlock()
	return c.Close()
}

// Dial is raft's: addresses in the group are ids.
func (w *wire) Dial(id raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	seat := w.plan.Voter(nodeName(string(id)))
	if seat == nil || len(id) > 255 {
		return nil, fmt.Errorf("%q has no seat", id)
	}
	c, err := net.DialTimeout("tcp", seat.Address, min(timeout, w.plan.ElectionTimeout))
	if err != nil {
		return nil, err
	}
	if !w.keep(c) {
		return nil, net.ErrClosed
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	head := append([]byte{mark}, w.calls.token...)
	head = append(append(head, byte(len(id))), id...)
	if _, err := c.Write(head); err != nil {
		w.drop(c)
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return &begun{c, bufio.NewReaderSize(c, 4096), w}, nil
}

func (w *wire) Accept() (net.Conn, error) { return w.streams.Accept() }
func (w *wire) Addr() net.Addr            { return named(w.id) }

// Close ends the door and all that stand in it.
func (w *wire) Close() error {
	err := w.inner.Close()
	w.streams.Close()
	w.plain.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	for c := range w.open {
		c.Close()
	}
	return err
}

// named is a seat's id as an address.
type named string

func (n named) Network() string { return "fleet" }
func (n named) String() string  { return string(n) }

// begun is a connection of which some bytes have been read.
type begun struct {
	net.Conn
	in   *bufio.Reader
	wire *wire
}

func (b *begun) Close() error { return b.wire.drop(b.Conn) }

func (b *begun) Read(p []byte) (int, error) { return b.in.Read(p) }

// line is a listener that is handed its connections.
type line struct {
	address net.Addr
	conns   chan net.Conn
	over    chan struct{}
	close   func()
}

func newLine(address net.Addr) *line {
	l := &line{address: address, conns: make(chan net.Conn), over: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.over) })
	return l
}

func (l *line) hand(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.over:
		c.Close()
	}
}

func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.over:
		return nil, net.ErrClosed
	}
}

func (l *line) Close() error   { l.close(); return nil }
func (l *line) Addr() net.Addr { return l.address }
