// SPDX-License-Identifier: Apache-2.0

// Package transport owns the sockets: the server that clients reach, the connections to executors, and the one
// budget of descriptors that both draw on.
package transport

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// reserve is kept for what is not a connection of a client or an executor: standard files, the poller, the
// listener, discovery, files of the runtime. A node at rest was seen to hold ten; the rest is room for libraries.
const reserve = 16

// side is who a connection leads to. Each has half of the budget, so that neither can starve the other.
type side int

const (
	clients side = iota
	executors
)

// Descriptors is the one owner of the descriptor budget. Each connection takes one place when it comes up and gives
// it back when it is closed, there alone. Idle connections give way first, the longest idle one before the others.
type Descriptors struct {
	mu       sync.Mutex
	free     [2]int
	spare    int          // of the clients' free places, kept for those that can only be turned away
	idle     [2]list.List // of *conn
	yielding int          // clients' connections told to give way and not closed yet
	working  int          // clients' connections with a request on them
	stopping bool
	wake     chan struct{}
}

func NewDescriptors(sockets int) *Descriptors {
	half := max(sockets-reserve, 4) / 2
	return &Descriptors{free: [2]int{half, half}, spare: max(half/8, 1), wake: make(chan struct{}, 1)}
}

// take asks for a place; where none is left an idle connection has to give way.
func (d *Descriptors) take(of side) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.free[of] == 0 {
		d.yield(of)
	}
	if d.free[of] == 0 {
		return false
	}
	d.free[of]--
	return true
}

// short says whether clients have come to the spare places, though an idle connection gives way.
func (d *Descriptors) short() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.free[clients]+d.yielding < d.spare {
		d.yield(clients)
	}
	return d.free[clients]+d.yielding < d.spare
}

// yield closes the longest idle connection of a side, if there is one, to make room. Under mu.
// Danger: a request that is being read while its connection is closed is lost. A client's connection is therefore
// only waked, and the server closes it; if a request's first bytes were read before, it is served instead.
func (d *Descriptors) yield(of side) {
	first := d.idle[of].Front()
	if first == nil {
		return
	}
	c := d.idle[of].Remove(first).(*conn)
	c.at, c.yielded = nil, true
	if of == clients {
		d.yielding++
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	d.mu.Unlock()
	c.Close()
	d.mu.Lock()
}

func (d *Descriptors) give(of side) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free[of]++
	d.tell()
}

// tell wakes who waits for a place or for the last request.
func (d *Descriptors) tell() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// busy marks a connection as in use and numbers the use.
func (d *Descriptors) busy(c *conn) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave(c)
	c.uses++
	if c.of == clients && !c.working {
		c.working = true
		d.working++
	}
	return c.uses
}

// leave takes a connection out of all that is counted. Under mu.
func (d *Descriptors) leave(c *conn) {
	if c.working {
		c.working = false
		d.working--
		d.tell()
	}
	if c.at != nil {
		d.idle[c.of].Remove(c.at)
		c.at = nil
	}
	if c.yielded && c.of == clients {
		c.yielded = false
		d.yielding--
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// rest marks a connection as idle after a use.
// Danger: the library tells late that a connection rests; by then the next request may have it.
func (d *Descriptors) rest(c *conn, use int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if use != c.uses || c.at != nil || c.closed {
		return
	}
	d.leave(c)
	if c.at = d.idle[c.of].PushBack(c); d.stopping && c.of == clients {
		d.yield(clients)
	}
}

// retire closes clients' connections that are idle, now and from now on.
func (d *Descriptors) retire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for d.idle[clients].Len() > 0 {
		d.yield(clients)
	}
}

// empty waits until no client's request is left.
func (d *Descriptors) empty(ctx context.Context) error {
	for {
		d.mu.Lock()
		left := d.working
		d.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-d.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// conn is a connection with its place in the budget. For those to executors it also keeps what proves that a
// request was never sent whole.
type conn struct {
	net.Conn
	owner   *Descriptors
	of      side
	working bool          // under owner.mu
	spare   bool          // a client's that can only be turned away
	at      *list.Element // in idle; under owner.mu
	uses    int           // under owner.mu, as are the next two
	closed  bool
	// yielded: told to make room, when it may just have been taken for a request
	yielded bool

	writing sync.Mutex
	begun   bool // a write since the request was given this connection
	cut     bool // a write did not take all its bytes
}

func (c *conn) Close() error {
	c.owner.mu.Lock()
	first := !c.closed
	c.closed = true
	c.owner.leave(c)
	c.owner.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.owner.give(c.of)
	}
	return err
}

// Read notes the first bytes of a client's request: from then on the connection is in use, long before the library
// says so.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.of == clients {
		c.owner.busy(c)
	}
	return n, err
}

// SetReadDeadline keeps a connection awake that has to give way.
// Danger: the server sets its own limit for idle ones just after it calls one idle, and would wait on.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.yielded && c.of == clients {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets the server send an answer to a request that it did not read to its end.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Write keeps the proof. Requests are written in order, so one that was cut short was not written to its end.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.begun = true
	n, err := c.Conn.Write(b)
	c.cut = c.cut || n < len(b)
	return n, err
}

// start opens the account of a new request.
func (c *conn) start() {
	c.writing.Lock()
	c.begun, c.cut = false, false
	c.writing.Unlock()
}

// unsent ends the connection and says whether the request's last byte was never written to it, and whether that was
// this node's own doing.
// Danger: a hook that has not fired yet is no proof; the library may write while this looks. So the connection
// is closed first, which lets nothing more through, and a write that is under way is waited for.
func (c *conn) unsent() (never, yielded bool) {
	c.Close()
	c.writing.Lock()
	never = !c.begun || c.cut
	c.writing.Unlock()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return never, c.yielded
}
