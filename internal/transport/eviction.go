// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"time"
)

// evictionCandidate is the longest waiting stranger that can go: it has its answer, has sent nothing, or half a head at the most; nil: there is
// none among those that are looked at. Under mu.
// Danger: at a process that is behind, whole requests lie unread in the sockets of strangers, and end with no answer.
func (d *ConnectionBudget) evictionCandidate() *trackedConn {
	e := d.pending.Front()
	for looked := 0; e != nil && looked < evictionScanLimit; looked++ {
		if c := e.Value.(*trackedConn); c.openedAt.IsZero() || (!c.active || !c.head.isComplete()) && !c.hasUnreadData() {
			return c
		}
		e = e.Next()
	}
	return nil
}

// evictFirst closes the first connection of a list, if there is one, to make room. Under mu.
func (d *ConnectionBudget) evictFirst(of *list.List) {
	if first := of.Front(); first != nil {
		d.evict(first.Value.(*trackedConn))
	}
}

// evict closes a connection to make room. Under mu.
func (d *ConnectionBudget) evict(c *trackedConn) {
	c.moveTo(nil)
	c.reclaimed, c.lingerStarted = c.side == serverSide, true
	held := d.held
	d.mu.Unlock()
	d.log.Debug().Stringer("side", c.side).Str("executor", c.address).Int("clients", held[clientSide]).Int("executors", held[serverSide]).
		Int("most", d.total).Msg("connection closed to make room")
	c.Close()
	d.mu.Lock()
}

// reclaimIdleClient has the longest idle of the clients' connections closed, if there is one. Under mu.
func (d *ConnectionBudget) reclaimIdleClient() {
	if first := d.idle[clientSide].Front(); first != nil {
		d.reclaim(first.Value.(*trackedConn))
	}
}

// reclaim has a client's connection closed that has no request on it. Under mu.
// Danger: a request that is being read while its connection is closed is lost. A client's connection is therefore
// only waked, and the server closes it; if a request's first bytes have come by then, it is served instead.
func (d *ConnectionBudget) reclaim(c *trackedConn) {
	c.moveTo(nil)
	c.reclaimed = true
	d.reclaiming++
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// reclaimSilent has clients' connections closed that have not sent a byte for so long.
func (d *ConnectionBudget) reclaimSilent(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.pending.Front(); e != nil; {
		c := e.Value.(*trackedConn)
		if e = e.Next(); !c.active && !c.openedAt.IsZero() && time.Since(c.openedAt) >= after {
			d.reclaim(c)
		}
	}
}
