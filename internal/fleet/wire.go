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

// streamLayer is the one door of a seat, shared by calls and the group's own streams. A stream says with its first bytes that it
// is one, that it is of this fleet, and which id it is for; all else is a call. It is raft's StreamLayer.
type streamLayer struct {
	id         string
	cfg        *config.Fleet
	client     *voterClient
	log        zerolog.Logger
	logLimiter *rate.Limiter
	listener   net.Listener
	raftQueue  *acceptQueue // to raft
	httpQueue  *acceptQueue // to the server of calls

	mu          sync.Mutex
	connections map[net.Conn]bool // that came in and have not gone
	closed      bool
}

// streamMarker begins a stream. No HTTP request begins with it.
const streamMarker = 0x01

func newStreamLayer(l net.Listener, id string, plan *config.Fleet, c *voterClient, log zerolog.Logger) *streamLayer {
	return &streamLayer{id: id, cfg: plan, client: c, log: log, logLimiter: rate.NewLimiter(1, 1), listener: l, connections: map[net.Conn]bool{},
		raftQueue: newAcceptQueue(voterAddress(id)), httpQueue: newAcceptQueue(l.Addr())}
}

// rejectUnauthenticated tells of one, at a bounded rate.
func (w *streamLayer) rejectUnauthenticated(what string) {
	if w.logLimiter.Allow() {
		w.log.Warn().Str("fault", what).Msg("stranger at the fleet's door")
	}
}

// acceptConnections takes connections until the listener is closed.
func (w *streamLayer) acceptConnections() {
	for {
		c, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.log.Warn().Err(err).Msg("a connection was not taken")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go w.handshake(c)
	}
}

// handshake finds out what a connection is.
func (w *streamLayer) handshake(c net.Conn) {
	if !w.track(c) {
		return
	}
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	in := bufio.NewReaderSize(c, 4096)
	first, err := in.Peek(1)
	if err != nil {
		w.closeConnection(c)
		return
	}
	if first[0] != streamMarker {
		c.SetReadDeadline(time.Time{})
		w.httpQueue.deliver(&handshakeConn{c, in, w})
		return
	}
	head := make([]byte, 1+64+1)
	if _, err := io.ReadFull(in, head); err != nil || !w.client.isAuthentic(string(head[1:65])) {
		w.rejectUnauthenticated("a stream of no node of this fleet and version")
		w.closeConnection(c)
		return
	}
	id := make([]byte, head[65])
	// Danger: a seat that has lost its memory takes part under the id that went with it.
	if _, err := io.ReadFull(in, id); err != nil || string(id) != w.id {
		w.rejectUnauthenticated("a stream for a seat that is not here any more")
		w.closeConnection(c)
		return
	}
	c.SetReadDeadline(time.Time{})
	w.raftQueue.deliver(&handshakeConn{c, in, w})
}

// track notes a connection until it is closed, so that all end with the door; false: that is shut.
func (w *streamLayer) track(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		c.Close()
		return false
	}
	w.connections[c] = true
	return true
}

func (w *streamLayer) closeConnection(c net.Conn) error {
	w.mu.Lock()
	delete(w.connections, c)
	w.mu.Unlock()
	return c.Close()
}

// Dial is raft's: addresses in the group are ids.
func (w *streamLayer) Dial(id raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	seat := w.cfg.Voter(nodeName(string(id)))
	if seat == nil || len(id) > 255 {
		return nil, fmt.Errorf("%q has no seat", id)
	}
	c, err := net.DialTimeout("tcp", seat.Address, min(timeout, w.cfg.ElectionTimeout))
	if err != nil {
		return nil, err
	}
	if !w.track(c) {
		return nil, net.ErrClosed
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	head := append([]byte{streamMarker}, w.client.token...)
	head = append(append(head, byte(len(id))), id...)
	if _, err := c.Write(head); err != nil {
		w.closeConnection(c)
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return &handshakeConn{c, bufio.NewReaderSize(c, 4096), w}, nil
}

func (w *streamLayer) Accept() (net.Conn, error) { return w.raftQueue.Accept() }
func (w *streamLayer) Addr() net.Addr            { return voterAddress(w.id) }

// Close ends the door and all that stand in it.
func (w *streamLayer) Close() error {
	err := w.listener.Close()
	w.raftQueue.Close()
	w.httpQueue.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for c := range w.connections {
		c.Close()
	}
	return err
}

// voterAddress is a seat's id as an address.
type voterAddress string

func (n voterAddress) Network() string { return "fleet" }
func (n voterAddress) String() string  { return string(n) }

// handshakeConn is a connection of which some bytes have been read.
type handshakeConn struct {
	net.Conn
	reader *bufio.Reader
	layer  *streamLayer
}

func (b *handshakeConn) Close() error { return b.layer.closeConnection(b.Conn) }

func (b *handshakeConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// acceptQueue is a listener that is handed its connections.
type acceptQueue struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce func()
}

func newAcceptQueue(address net.Addr) *acceptQueue {
	l := &acceptQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.closeOnce = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *acceptQueue) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		c.Close()
	}
}

func (l *acceptQueue) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *acceptQueue) Close() error   { l.closeOnce(); return nil }
func (l *acceptQueue) Addr() net.Addr { return l.address }
