// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"time"
)

const (
	// defaultEvictionGrace is how long a pending connection is left alone while there are places: a node that is short
	// of processor time accepts many connections before it reads the requests that wait on them.
	defaultEvictionGrace = 100 * time.Millisecond
	// evictionScanLimit is how many pending connections are examined at for one to evict; each costs a system call.
	evictionScanLimit = 32
)

// expiredDeadline is a read deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// enforcePendingLimit evicts pending connections beyond their limit, before a new one comes. More than one may have to go,
// since those accepted before had not been read when the next ones came. The caller holds mu.
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

// makeRoom closes one connection, or tells one to close, so that a side may get a place. Idle connections to servers go
// first, then idle clients, then pending ones. The caller holds mu.
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

// evictPending evicts the pending connection that is missed least. The caller holds mu.
func (b *ConnectionBudget) evictPending() {
	c := b.evictionCandidate()
	if c == nil {
		c = frontOf[*clientConn](&b.pending)
	}
	if c != nil {
		b.evictClient(c)
	}
}

// evictionCandidate returns the oldest pending connection that can be closed without loss: it has its response, has
// sent nothing, or no more than part of a request head. It returns nil where there is none among those examined at. A
// connection with unread bytes stays, since at a process that is behind whole requests wait there. The caller holds
// mu.
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

// evictIdleServer closes the longest idle connection to a server, if there is one. The caller holds mu.
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

// evict closes a connection and logs it. The caller holds mu, which is released meanwhile.
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
	_ = c.closeAndRelease() // its place is free whatever the close reports
}

// reclaimIdleClient tells the longest idle client connection to close, if there is one. The caller holds mu.
func (b *ConnectionBudget) reclaimIdleClient() {
	if c := frontOf[*trackedConn](&b.idle[clientSide]); c != nil {
		b.reclaim(c)
	}
}

// reclaim has the HTTP server close a client connection that has no request on it. Closing it here would lose a request
// that is being read at this moment. So only its read is ended: if the first bytes of a request have come by then, the
// request is served instead. The caller holds mu.
func (b *ConnectionBudget) reclaim(c *trackedConn) {
	c.removeFromList()
	c.reclaimed = true
	b.reclaiming++
	c.socket.SetReadDeadline(expiredDeadline)
}

// reclaimSilent tells client connections to close that have not sent a byte for a time since they were opened.
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

// frontOf returns the value at the front of a list, nil where the list is empty.
func frontOf[C *trackedConn | *clientConn](l *list.List) C {
	front := l.Front()
	if front == nil {
		return nil
	}
	return front.Value.(C)
}
