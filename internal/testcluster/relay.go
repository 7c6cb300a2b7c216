// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bytes"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// Relay is the way from one node to another, each direction on its own. What goes by can be delayed, held, or reset.
type Relay struct {
	Address string
	to      string

	mu     sync.Mutex
	ways   [2]way // there, back
	conns  map[net.Conn]bool
	moved  sync.Cond
	over   bool
	chance *rand.Rand
	kept   [][]byte // the first calls that went there, and the latest
}

type way struct {
	cut   bool // nothing goes by, nothing is told: bytes are held until it is healed, datagrams are lost
	delay time.Duration
	loss  float64 // of datagrams
	twice float64 // of datagrams: they come again, some time later
}

// Direction is a way of a relay.
type Direction int

const (
	There Direction = iota // from the node that calls
	Back
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
	r := &Relay{Address: l.Addr().String(), to: to, conns: map[net.Conn]bool{}, chance: rand.New(rand.NewPCG(1, 2))}
	r.moved.L = &r.mu
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() { r.carry(c, &all) })
		}
	})
	all.Go(func() { r.datagrams(u) })
	t.Cleanup(func() {
		l.Close()
		u.Close()
		r.mu.Lock()
		r.over = true
		r.moved.Broadcast()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		all.Wait()
	})
	return r
}

// datagrams takes those on that go there; answers name where they are to go, and come by the other's own relay.
func (r *Relay) datagrams(u net.PacketConn) {
	to, err := net.ResolveUDPAddr("udp", r.to)
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
		w := r.ways[There]
		lost, twice, later := w.cut || r.chance.Float64() < w.loss, r.chance.Float64() < w.twice, time.Duration(r.chance.Int64N(int64(time.Second)))
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

// Datagrams has some that go there lost and some come twice, late.
func (r *Relay) Datagrams(loss, twice float64) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ways[There].loss, r.ways[There].twice = loss, twice
	}
}

// carry takes one connection on. While the way there is cut nothing is opened at the other end.
func (r *Relay) carry(near net.Conn, all *sync.WaitGroup) {
	if !r.keep(near) {
		return
	}
	defer r.drop(near)
	if !r.pass(There) {
		return
	}
	far, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	if !r.keep(far) {
		return
	}
	defer r.drop(far)
	var both sync.WaitGroup
	both.Go(func() { r.pump(far, near, There) })
	both.Go(func() { r.pump(near, far, Back) })
	both.Wait()
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// pass waits until the way is open; false: the rig has ended.
func (r *Relay) pass(d Direction) bool {
	r.mu.Lock()
	delay := r.ways[d].delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay) // the link's own time, not a wait for something to happen
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.ways[d].cut && !r.over {
		r.moved.Wait()
	}
	return !r.over
}

func (r *Relay) pump(to, from net.Conn, d Direction) {
	defer func() { // each end hears of the other's
		to.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if d == There {
				r.record(buffer[:n])
			}
			if !r.pass(d) {
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

// Cut holds all that goes that way until Heal.
func (r *Relay) Cut(d Direction) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ways[d].cut = true
	}
}

// Heal opens both ways; what was held arrives now, late.
func (r *Relay) Heal() {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ways[There].cut, r.ways[Back].cut = false, false
		r.moved.Broadcast()
	}
}

// Delay has each piece wait that goes that way.
func (r *Relay) Delay(d Direction, by time.Duration) {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ways[d].delay = by
	}
}

// Reset ends all connections at once, as a machine does that has lost their state.
func (r *Relay) Reset() {
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// mostKept is how many calls a relay can bring again.
const mostKept = 64

func (r *Relay) record(b []byte) {
	if bytes.HasPrefix(b, []byte("POST ")) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.kept) >= mostKept {
			r.kept = slices.Delete(r.kept, mostKept/2, mostKept/2+1)
		}
		r.kept = append(r.kept, bytes.Clone(b))
	}
}

// Replay brings calls that went there, the first and the latest, once more though the way be cut, each on a connection of its own, and gives how many were answered.
func (r *Relay) Replay() (answered int) {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	kept := slices.Clone(r.kept)
	r.mu.Unlock()
	for _, call := range kept {
		c, err := net.DialTimeout("tcp", r.to, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(call)
		if n, _ := c.Read(make([]byte, 1<<10)); n > 0 {
			answered++
		}
		c.Close()
	}
	return answered
}
