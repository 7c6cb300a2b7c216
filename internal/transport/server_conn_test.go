// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"net"
	"testing"
)

// TestUnsentProof: a write cut short, and a connection that nothing was written to, prove that a request never ran.
func TestUnsentProof(t *testing.T) {
	for name, c := range map[string]struct {
		use  func(c *serverConn, peer net.Conn)
		want bool
	}{
		"nothing written": {func(c *serverConn, _ net.Conn) {}, true},
		"written": {func(c *serverConn, peer net.Conn) {
			go io.ReadFull(peer, make([]byte, 3))
			c.Write([]byte("abc"))
		}, false},
		"cut short": {func(c *serverConn, peer net.Conn) {
			go readByteAndClose(peer)
			c.Write([]byte("abc"))
		}, true},
		"second part cut": {func(c *serverConn, peer net.Conn) {
			go func() { io.ReadFull(peer, make([]byte, 3)); readByteAndClose(peer) }()
			c.Write([]byte("abc"))
			c.Write([]byte("def"))
		}, true},
	} {
		near, far := net.Pipe()
		u := newServerConn(near, NewConnectionBudget(64), "")
		u.beginExchange(nil)
		c.use(u, far)
		if never, _ := u.closeAndCheckUnsent(0); never != c.want {
			t.Errorf("%s: %v", name, never)
		}
		if _, err := u.Write([]byte("late")); err == nil {
			t.Errorf("%s: written after the proof", name)
		}
	}
}

func readByteAndClose(c net.Conn) { io.ReadFull(c, make([]byte, 1)); c.Close() }

// TestMarkIdleIsOfTheLastUse: word that a connection rests comes late, when the next request has it already.
func TestMarkIdleIsOfTheLastUse(t *testing.T) {
	d := NewConnectionBudget(64)
	near, _ := net.Pipe()
	c := newServerConn(near, d, "")
	first := d.markActive(&c.trackedConn)
	second := d.markActive(&c.trackedConn)
	if d.markIdle(&c.trackedConn, first); d.idle[serverSide].Len() != 0 {
		t.Error("a connection in use counts as idle")
	}
	if d.markIdle(&c.trackedConn, second); d.idle[serverSide].Len() != 1 {
		t.Error("an idle connection is not known")
	}
}
