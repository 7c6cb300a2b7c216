// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	relayDialTimeout = time.Second
	// relayListenAttempts is the number of addresses at which a relay tries to listen.
	relayListenAttempts = 10
	// maxDatagram is the size of the largest datagram, in bytes.
	maxDatagram = 64 << 10
	// relayBuffer is the maximum size of a chunk of a stream that is forwarded at once, in bytes.
	relayBuffer = 32 << 10
	// maxDuplicateDelay is the maximum delay of the duplicate of a datagram.
	maxDuplicateDelay = time.Second
)

// Direction is one of the two directions of a relay.
type Direction int

// The directions of a relay.
const (
	Forward  Direction = iota // from the node that connects
	Backward                  // to the node that connects
)

// Relay forwards streams and datagrams from one node to another, each direction independently. It can
// delay, block and reset this traffic. The relay from a node to itself is nil; methods that inject faults
// do nothing on it.
type Relay struct {
	Address string
	target  string
	running sync.WaitGroup

	mu       sync.Mutex
	links    [2]link // by direction
	conns    map[net.Conn]bool
	changed  sync.Cond // signaled when a link opens or the relay closes
	closed   bool
	rand     *rand.Rand
	recorded [][]byte // the first calls that were sent forward, and the most recent ones
}

// link is the state of one direction.
type link struct {
	cut       bool // blocked without an error: bytes wait until the link is healed, datagrams are lost
	delay     time.Duration
	loss      float64 // fraction of datagrams that are lost
	duplicate float64 // fraction of datagrams that are delivered a second time, later
}

// newRelay returns a relay to a target. It calls address for each attempt to listen, since another process
// may have taken a port that was free a moment ago.
func newRelay(t testing.TB, address func() string, target string) *Relay {
	t.Helper()
	stream, packets, err := listenBoth(address)
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{
		Address: stream.Addr().String(),
		target:  target,
		conns:   map[net.Conn]bool{},
		rand:    rand.New(rand.NewPCG(1, 2)),
	}
	r.changed.L = &r.mu
	r.running.Go(func() { r.acceptConns(stream) })
	r.running.Go(func() { r.forwardDatagrams(packets) })
	t.Cleanup(func() {
		stream.Close()
		_ = packets.Close() // no reaction to an error is needed, as for streams
		r.close()
		r.running.Wait()
	})
	return r
}

// listenBoth listens for streams and for datagrams at the same address.
func listenBoth(address func() string) (stream net.Listener, packets net.PacketConn, err error) {
	for range relayListenAttempts {
		stream, err = net.Listen("tcp", address())
		if err != nil {
			continue
		}
		packets, err = net.ListenPacket("udp", stream.Addr().String())
		if err == nil {
			return stream, packets, nil
		}
		stream.Close()
	}
	return nil, nil, err
}

// close closes all connections.
func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
	for c := range r.conns {
		c.Close()
	}
}

// acceptConns forwards connections until the listener is closed.
func (r *Relay) acceptConns(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.forwardConn(c) })
	}
}

// forwardDatagrams forwards datagrams until the socket is closed. It needs no backward direction: a reply
// is addressed explicitly and goes through the relay of the replying node.
func (r *Relay) forwardDatagrams(packets net.PacketConn) {
	target, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		datagram := bytes.Clone(buffer[:n])
		r.forwardDatagram(func() {
			_, _ = packets.WriteTo(datagram, target) // a datagram that can't be sent is lost, as on a network
		})
	}
}

// forwardDatagram sends a datagram and applies the faults of the link.
func (r *Relay) forwardDatagram(send func()) {
	r.mu.Lock()
	l := r.links[Forward]
	drop := l.cut || r.rand.Float64() < l.loss
	duplicate := r.rand.Float64() < l.duplicate
	extraDelay := time.Duration(r.rand.Int64N(int64(maxDuplicateDelay)))
	r.mu.Unlock()
	if drop {
		return
	}
	if l.delay > 0 { // delayed datagrams are reordered
		time.AfterFunc(l.delay+extraDelay/10, send)
	} else {
		send()
	}
	if duplicate {
		time.AfterFunc(l.delay+extraDelay, send)
	}
}

// forwardConn forwards one connection. While the forward direction is cut, no connection to the target is
// opened.
func (r *Relay) forwardConn(incoming net.Conn) {
	if !r.track(incoming) {
		return
	}
	defer r.untrack(incoming)
	if !r.waitOpen(Forward) {
		return
	}
	outgoing, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		resetOnClose(incoming)
		return
	}
	if !r.track(outgoing) {
		return
	}
	defer r.untrack(outgoing)
	var streams sync.WaitGroup
	streams.Go(func() { r.copyStream(outgoing, incoming, Forward) })
	streams.Go(func() { r.copyStream(incoming, outgoing, Backward) })
	streams.Wait()
}

// resetOnClose makes Close reset the connection.
func resetOnClose(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails if the connection has been closed
}

// track registers a connection, which is then closed together with the relay. If the relay is closed
// already, track closes the connection and reports false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// waitOpen waits for the delay of a direction, and then until that direction is not cut. It reports false
// if the relay was closed.
func (r *Relay) waitOpen(d Direction) bool {
	if delay := r.link(d).delay; delay > 0 {
		time.Sleep(delay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[d].cut && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) link(d Direction) link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[d]
}

// copyStream forwards one direction of a connection, including its end.
func (r *Relay) copyStream(to, from net.Conn, d Direction) {
	defer func() {
		_ = to.(*net.TCPConn).CloseWrite() // fails if the connection has been closed
	}()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.copyChunk(to, buffer[:n], d) {
			return
		}
		if err != nil {
			return
		}
	}
}

// copyChunk forwards some bytes and reports whether this succeeded.
func (r *Relay) copyChunk(to net.Conn, b []byte, d Direction) bool {
	if d == Forward {
		r.record(b)
	}
	if !r.waitOpen(d) {
		return false
	}
	_, err := to.Write(b)
	return err == nil
}
