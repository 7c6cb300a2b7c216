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
	// relayListenAttempts is how many addresses a relay tries to listen at.
	relayListenAttempts = 10
	// maxDatagram is the size of the largest datagram, in bytes.
	maxDatagram = 64 << 10
	// relayBuffer is how much of a stream is passed on at a time, in bytes.
	relayBuffer = 32 << 10
	// maxDuplicateDelay is by how much a datagram may come later the second time.
	maxDuplicateDelay = time.Second
)

// Direction is one of the two ways through a relay.
type Direction int

// The directions of a relay.
const (
	Forward  Direction = iota // from the node that connects
	Backward                  // to the node that connects
)

// Relay passes streams and datagrams from one node to another, each direction on its own. What passes can be
// delayed, held back, or reset. Its methods may be called on nil, which is the relay from a node to itself, and do
// nothing then.
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
	recorded [][]byte // the first calls that were sent forward, and the latest
}

// link is the state of one direction.
type link struct {
	cut       bool // nothing passes and no error is seen: bytes wait until the link is healed, datagrams are lost
	delay     time.Duration
	loss      float64 // the share of datagrams that are lost
	duplicate float64 // the share of datagrams that come again some time later
}

// newRelay returns a relay to a target. It listens at one of the addresses that the function returns, as a port
// that was free a moment ago may have been taken.
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
		_ = packets.Close() // as for streams, nothing is left to do
		r.close()
		r.running.Wait()
	})
	return r
}

// listenBoth listens for streams and datagrams at one address.
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

// close ends all connections.
func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
	for c := range r.conns {
		c.Close()
	}
}

// acceptConns passes on connections until the listener is closed.
func (r *Relay) acceptConns(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.forwardConn(c) })
	}
}

// forwardDatagrams passes on datagrams until the socket is closed. There is no way back: answers name the address
// that they are for, and come by the other node's own relay.
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

// forwardDatagram sends a datagram with the faults of the link.
func (r *Relay) forwardDatagram(send func()) {
	r.mu.Lock()
	l := r.links[Forward]
	lost := l.cut || r.rand.Float64() < l.loss
	duplicate := r.rand.Float64() < l.duplicate
	later := time.Duration(r.rand.Int64N(int64(maxDuplicateDelay)))
	r.mu.Unlock()
	if lost {
		return
	}
	if l.delay > 0 { // datagrams that wait pass each other
		time.AfterFunc(l.delay+later/10, send)
	} else {
		send()
	}
	if duplicate {
		time.AfterFunc(l.delay+later, send)
	}
}

// forwardConn passes on one connection. While the link forward is cut, nothing is opened at the other end.
func (r *Relay) forwardConn(near net.Conn) {
	if !r.track(near) {
		return
	}
	defer r.untrack(near)
	if !r.waitOpen(Forward) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		resetOnClose(near)
		return
	}
	if !r.track(far) {
		return
	}
	defer r.untrack(far)
	var both sync.WaitGroup
	both.Go(func() { r.copyStream(far, near, Forward) })
	both.Go(func() { r.copyStream(near, far, Backward) })
	both.Wait()
}

// resetOnClose has the close of a connection reset it.
func resetOnClose(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails where the connection has been closed
}

// track reports whether the relay goes on; the connection is closed with it, or now.
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

// waitOpen waits for the delay of a link, and until that is not cut. It reports false where the relay was closed.
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

// copyStream passes on one direction of a connection, and its end.
func (r *Relay) copyStream(to, from net.Conn, d Direction) {
	defer func() {
		_ = to.(*net.TCPConn).CloseWrite() // fails where the connection has been closed
	}()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.copyPiece(to, buffer[:n], d) {
			return
		}
		if err != nil {
			return
		}
	}
}

// copyPiece passes on some bytes, and reports whether that succeeded.
func (r *Relay) copyPiece(to net.Conn, b []byte, d Direction) bool {
	if d == Forward {
		r.record(b)
	}
	if !r.waitOpen(d) {
		return false
	}
	_, err := to.Write(b)
	return err == nil
}
