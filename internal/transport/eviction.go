// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"time"
)

const (
	// defaultEvictionGrace is how long a new pending connection is protected from eviction while permits are
	// available: a node that is short of CPU time accepts many connections before it reads their requests.
	defaultEvictionGrace = 100 * time.Millisecond
	// evictionScanLimit is the maximum number of pending connections examined for eviction; each may cost a
	// system call.
	evictionScanLimit = 32
)

// expiredDeadline is a read deadline in the past, which ends a read immediately.
var expiredDeadline = time.Unix(1, 0)

// enforcePendingLimit evicts pending connections above their limit before a new one is added. It may have to
// evict several: connections accepted earlier had not been read yet and could not be evicted when the next
// ones were accepted. The caller holds mu.
func (b *ConnectionBudget) enforcePendingLimit() {
	for range maxEvictionsPerAccept {
		if b.pending.Len() < b.maxPending {
			return
		}
		c := b.evictionCandidate()
		if c == nil {
			return
		}
		if b.available(clientSide) > 0 && time.Since(c.openedAt) < b.evictionGrace {
			return
		}
		b.evictClient(c)
	}
}

// makeRoom closes or reclaims one connection so that a side can acquire a permit. Idle server connections are
// closed first, then idle client connections, then pending ones. The caller holds mu.
func (b *ConnectionBudget) makeRoom(side connectionSide) {
	belowMax := b.inUse[side] < b.maxInUse[side]
	switch {
	case b.idle[serverSide].Len() > 0 && (side == serverSide || belowMax):
		b.evictIdleServer()
	case side == clientSide && b.reclaiming+b.idle[clientSide].Len() > 0:
		if b.reclaiming == 0 {
			b.reclaimIdleClient()
		}
	case side == clientSide || belowMax:
		b.evictPending()
	}
}

// evictPending evicts the pending connection that evictionCandidate selects. If it selects none, the oldest
// pending connection is evicted. The caller holds mu.
func (b *ConnectionBudget) evictPending() {
	c := b.evictionCandidate()
	if c == nil {
		c = frontOf[*clientConn](&b.pending)
	}
	if c != nil {
		b.evictClient(c)
	}
}

// evictionCandidate returns the oldest pending connection that can be closed without losing a request: its
// last response was sent, or the client has sent nothing or only part of a request head. It returns nil if
// none of the oldest evictionScanLimit connections qualifies. A connection with unread bytes does not
// qualify, because on an overloaded process these can be a complete request. The caller holds mu.
func (b *ConnectionBudget) evictionCandidate() *clientConn {
	element := b.pending.Front()
	for examined := 0; element != nil && examined < evictionScanLimit; examined++ {
		if c := element.Value.(*clientConn); c.evictable() {
			return c
		}
		element = element.Next()
	}
	return nil
}

// evictIdleServer closes the server connection that has been idle longest, if any. The caller holds mu.
func (b *ConnectionBudget) evictIdleServer() {
	c := frontOf[*trackedConn](&b.idle[serverSide])
	if c == nil {
		return
	}
	c.reclaimed = true
	b.evict(c)
}

// evictClient closes a pending client connection without waiting for the client. The caller holds mu.
func (b *ConnectionBudget) evictClient(c *clientConn) {
	c.lingerStarted = true
	b.evict(&c.trackedConn)
}

// evict closes a connection and logs the eviction. The caller holds mu, which is released during the close.
func (b *ConnectionBudget) evict(c *trackedConn) {
	c.removeFromList()
	inUse := b.inUse
	total := b.total
	b.mu.Unlock()
	defer b.mu.Lock()
	b.log.Debug().
		Stringer("side", c.side).
		Str("executor", c.address).
		Int("clients", inUse[clientSide]).
		Int("executors", inUse[serverSide]).
		Int("most", total).
		Msg("connection closed to make room")
	_ = c.closeAndRelease() // the permit is released even if the close fails
}

// reclaimIdleClient reclaims the client connection that has been idle longest, if any. The caller holds mu.
func (b *ConnectionBudget) reclaimIdleClient() {
	if c := frontOf[*trackedConn](&b.idle[clientSide]); c != nil {
		b.reclaim(c)
	}
}

// reclaim makes the HTTP server close a client connection that has no request in progress. Closing it here
// would lose a request that is being read at this moment. Therefore only the pending read is ended: if the
// first bytes of a request have arrived by then, the request is served instead. The caller holds mu.
func (b *ConnectionBudget) reclaim(c *trackedConn) {
	c.removeFromList()
	c.reclaimed = true
	b.reclaiming++
	c.socket.SetReadDeadline(expiredDeadline)
}

// reclaimSilent reclaims client connections that were opened at least minAge ago and have sent no byte.
func (b *ConnectionBudget) reclaimSilent(minAge time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for element := b.pending.Front(); element != nil; {
		c := element.Value.(*clientConn)
		element = element.Next() // reclaim removes c from the list
		if !c.active && !c.lastResponseSent() && time.Since(c.openedAt) >= minAge {
			b.reclaim(&c.trackedConn)
		}
	}
}

// frontOf returns the value at the front of a list, or nil if the list is empty.
func frontOf[C *trackedConn | *clientConn](l *list.List) C {
	front := l.Front()
	if front == nil {
		return nil
	}
	return front.Value.(C)
}
