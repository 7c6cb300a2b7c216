// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"net"
	"testing"
)

// TestUnsentProof checks that a truncated write, or the absence of any write, proves that a request was not
// sent completely, and that nothing can be written after the check.
func TestUnsentProof(t *testing.T) {
	for name, test := range map[string]struct {
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
		local, peer := net.Pipe()
		conn := newServerConn(local, NewConnectionBudget(64), "")
		conn.beginExchange(nil)
		test.use(conn, peer)
		if unsent, _ := conn.closeAndCheckUnsent(0); unsent != test.want {
			t.Errorf("%s: %v", name, unsent)
		}
		if _, err := conn.Write([]byte("late")); err == nil {
			t.Errorf("%s: written after the proof", name)
		}
	}
}

func readByteAndClose(c net.Conn) { io.ReadFull(c, make([]byte, 1)); c.Close() }

// TestMarkIdleIgnoresEarlierUse checks that a late idle report of an earlier use does not mark a connection
// as idle that the next request is already using.
func TestMarkIdleIgnoresEarlierUse(t *testing.T) {
	budget := NewConnectionBudget(64)
	local, _ := net.Pipe()
	c := newServerConn(local, budget, "")
	firstUse := budget.markActive(&c.trackedConn)
	secondUse := budget.markActive(&c.trackedConn)
	if budget.markIdle(&c.trackedConn, firstUse); budget.idle[serverSide].Len() != 0 {
		t.Error("a connection in use counts as idle")
	}
	if budget.markIdle(&c.trackedConn, secondUse); budget.idle[serverSide].Len() != 1 {
		t.Error("an idle connection is not known")
	}
}
