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

// Relay is the way from one node to another, each direction on its own. What goes by can be delayed, held, or reset.
type Relay struct {
	Address string
	target  string

	mu       sync.Mutex
	links    [2]link // there, back
	conns    map[net.Conn]bool
	changed  sync.Cond
	closed   bool
	rand     *rand.Rand
	recorded [][]byte // the first calls that went there, and the latest
}

type link struct {
	cut       bool // nothing goes by, nothing is told: bytes are held until it is healed, datagrams are lost
	delay     time.Duration
	loss      float64 // of datagrams
	duplicate float64 // of datagrams: they come again, some time later
}

// Direction is a way of a relay.
type Direction int

const (
	Forward Direction = iota // from the node that calls
	Backward
)

// newRelay listens at one of the addresses that at gives, for streams and datagrams.
// Danger: a port that was free a moment ago is a connection's by now.
func newRelay(t testing.TB, at func() string, to string) *Relay {
	var l net.Listener
	var u net.PacketConn
	var err error
	for range 10 {
		if l, err = net.Listen("tcp", at()); err != nil {
			continue
		}
		if u, err = net.ListenPacket("udp", l.Addr().String()); err == nil {
			break
		}
		l.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{Address: l.Addr().String(), target: to, conns: map[net.Conn]bool{}, rand: rand.New(rand.NewPCG(1, 2))}
	r.changed.L = &r.mu
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() { r.forwardConn(c, &all) })
		}
	})
	all.Go(func() { r.forwardDatagrams(u) })
	t.Cleanup(func() {
		l.Close()
		u.Close()
		r.mu.Lock()
		r.closed = true
		r.changed.Broadcast()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		all.Wait()
	})
	return r
}

// forwardDatagrams takes those on that go there; answers name where they are to go, and come by the other's own relay.
func (r *Relay) forwardDatagrams(u net.PacketConn) {
	to, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := u.ReadFrom(buffer)
		if err != nil {
			return
		}
		b := bytes.Clone(buffer[:n])
		r.mu.Lock()
		w := r.links[Forward]
		lost, twice, later := w.cut || r.rand.Float64() < w.loss, r.rand.Float64() < w.duplicate, time.Duration(r.rand.Int64N(int64(time.Second)))
		r.mu.Unlock()
		send := func() { u.WriteTo(b, to) }
		switch {
		case lost:
		case w.delay > 0: // those that wait pass each other
			time.AfterFunc(w.delay+later/10, send)
		default:
			send()
		}
		if twice && !lost {
			time.AfterFunc(w.delay+later, send)
		}
	}
}

// forwardConn takes one connection on. While the way there is cut nothing is opened at the other end.
func (r *Relay) forwardConn(near net.Conn, all *sync.WaitGroup) {
	if !r.track(near) {
		return
	}
	defer r.untrack(near)
	if !r.waitOpen(Forward) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
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

// waitOpen waits until the way is open; false: the rig has ended.
func (r *Relay) waitOpen(d Direction) bool {
	r.mu.Lock()
	delay := r.links[d].delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay) // the link's own time, not a wait for something to happen
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[d].cut && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) copyStream(to, from net.Conn, d Direction) {
	defer func() { // each end hears of the other's
		to.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if d == Forward {
				r.record(buffer[:n])
			}
			if !r.waitOpen(d) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
