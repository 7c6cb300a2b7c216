// SPDX-License-Identifier: Apache-2.0

// Package transport owns the sockets: the server that clients reach, the connections to executors, and the one
// budget of descriptors that both draw on.
package transport

import (
	"container/list"
	"net"
	"sync"
)

// reserve is kept for what is not a connection of a client or an executor: standard files, the poller, the
// listener, discovery, files of the runtime. Measured at nine; the rest is room for what a library opens.
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
	mu    sync.Mutex
	free  [2]int
	spare int          // of the clients' free places, kept for those that can only be turned away
	idle  [2]list.List // of *conn
	wake  chan struct{}
}

func NewDescriptors(sockets int) *Descriptors {
	half := max(sockets-reserve, 4) / 2
	return &Descriptors{free: [2]int{half, half}, spare: half / 8, wake: make(chan struct{}, 1)}
}

// take asks for a place; before spare ones are used an idle connection has to give way.
func (d *Descriptors) take(of side) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	least := 0
	if of == clients {
		least = d.spare
	}
	for d.free[of] <= least && d.idle[of].Len() > 0 {
		c := d.idle[of].Remove(d.idle[of].Front()).(*conn)
		c.at, c.yielded = nil, true
		d.mu.Unlock()
		c.Close()
		d.mu.Lock()
	}
	if d.free[of] == 0 {
		return false
	}
	d.free[of]--
	return true
}

// short says whether clients have come to the spare places.
func (d *Descriptors) short() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.free[clients] < d.spare
}

func (d *Descriptors) give(of side) {
	d.mu.Lock()
	d.free[of]++
	d.mu.Unlock()
	if of == clients {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// busy marks a connection as in use and numbers the use.
func (d *Descriptors) busy(c *conn) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.at != nil {
		d.idle[c.of].Remove(c.at)
		c.at = nil
	}
	c.uses++
	return c.uses
}

// rest marks a connection as idle after a use.
// Danger: the library tells late that a connection rests; by then the next request may have it.
func (d *Descriptors) rest(c *conn, use int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if use == c.uses && c.at == nil && !c.closed {
		c.at = d.idle[c.of].PushBack(c)
	}
}

// conn is a connection with its place in the budget. For those to executors it also keeps what proves that a
// request was never sent whole.
type conn struct {
	net.Conn
	owner  *Descriptors
	of     side
	spare  bool          // a client's that can only be turned away
	at     *list.Element // in idle; under owner.mu
	uses   int           // under owner.mu, as are the next two
	closed bool
	// yielded: closed to make room, when it may just have been taken for a request
	yielded bool

	writing sync.Mutex
	begun   bool // a write since the request was given this connection
	cut     bool // a write did not take all its bytes
}

func (c *conn) Close() error {
	c.owner.mu.Lock()
	first := !c.closed
	c.closed = true
	if c.at != nil {
		c.owner.idle[c.of].Remove(c.at)
		c.at = nil
	}
	c.owner.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.owner.give(c.of)
	}
	return err
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
