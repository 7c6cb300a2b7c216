// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// connectionSide says who a connection leads to.
type connectionSide int

const (
	clientSide connectionSide = iota
	serverSide
)

// String returns the name that log lines give the side.
func (s connectionSide) String() string { return [...]string{"clients", "executors"}[s] }

const (
	// reservedDescriptors are kept for what has no place in the budget: standard files, the poller, the listener,
	// discovery, files of the runtime and a new connection that waits for its place.
	reservedDescriptors = 16
	// minBudget is the least number of connections that a budget allows, however few descriptors there are.
	minBudget = 4
	// maxSideFraction is the part of the budget that one side may hold. Each request of a client needs one connection
	// to that client and one or, with a hedge, two to servers.
	maxSideFraction = 0.6
	// maxPendingFraction is the part of the budget that pending client connections may hold.
	maxPendingFraction = 0.25
	// rejectReserveFraction is the part of the budget that is kept for clients that can only be rejected.
	rejectReserveFraction = maxSideFraction / 8
	// maxEvictionsPerAccept is how many pending connections a new one may evict.
	maxEvictionsPerAccept = 8
)

// ConnectionBudget accounts for the file descriptors that connections use. A connection takes one place when it
// comes up and gives it back when it is closed. Where no place is left, the longest idle connection is closed
// first.
//
// A client connection is pending until its first whole request has been read, and again while it lingers after its
// last response. Pending connections have a limit of their own and evict each other: otherwise connections that are
// opened by the hundred and send nothing, or half of a request, would crowd out clients that work.
type ConnectionBudget struct {
	log zerolog.Logger

	mu            sync.Mutex
	changed       sync.Cond      // signaled when a place or the last active request may be gone
	total         int            // connections of both sides
	maxInUse      [2]int         // connections by side
	inUse         [2]int         // places in use by side
	maxPending    int            // pending connections, but for those within evictionGrace
	evictionGrace time.Duration  // see defaultEvictionGrace
	rejectReserve int            // of the clients' places, kept for clients that can only be rejected
	idle          [2]list.List   // of *trackedConn by side, the longest idle first
	idleByAddress map[string]int // idle connections to servers
	pending       list.List      // of *clientConn, the oldest first
	reclaiming    int            // client connections that were told to close and have not closed yet
	active        int            // client connections with a request on them
	lingering     int            // client connections that wait for the client to read its response and close
	idleDisabled  bool           // idle client connections are closed at once
	closed        bool           // no further request is taken
}

// NewConnectionBudget returns a budget for a process that may hold that many file descriptors.
func NewConnectionBudget(sockets int) *ConnectionBudget {
	b := &ConnectionBudget{
		log:           zerolog.Nop(),
		evictionGrace: defaultEvictionGrace,
		idleByAddress: map[string]int{},
	}
	b.changed.L = &b.mu
	b.Resize(sockets)
	return b
}

// SetLogger sets where evictions are logged. It must be called before the node serves.
func (b *ConnectionBudget) SetLogger(log zerolog.Logger) { b.log = log }

// Resize sets how many file descriptors this process may hold. Idle connections beyond that are closed.
func (b *ConnectionBudget) Resize(sockets int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = max(sockets-reservedDescriptors, minBudget)
	b.maxInUse = [2]int{b.fraction(maxSideFraction), b.fraction(maxSideFraction)}
	b.maxPending = b.fraction(maxPendingFraction)
	b.rejectReserve = b.fraction(rejectReserveFraction)
	for b.excess() > 0 && b.idle[serverSide].Len() > 0 {
		b.evictIdleServer()
	}
	for b.excess() > 0 && b.idle[clientSide].Len() > 0 {
		b.reclaimIdleClient()
	}
	b.changed.Broadcast()
}

// fraction returns a part of the budget in connections, at least one. The caller holds mu.
func (b *ConnectionBudget) fraction(ratio float64) int {
	return max(int(ratio*float64(b.total)), 1)
}

// excess returns how many connections are held beyond the budget and not about to close. The caller holds mu.
func (b *ConnectionBudget) excess() int {
	return b.inUse[clientSide] + b.inUse[serverSide] - b.reclaiming - b.total
}

// available returns how many more places a side may take. The caller holds mu.
func (b *ConnectionBudget) available(side connectionSide) int {
	return min(b.maxInUse[side]-b.inUse[side], b.total-b.inUse[clientSide]-b.inUse[serverSide])
}

// acquire takes a place and reports whether there was one. Where none is left, an idle or a pending connection is
// closed to make room.
func (b *ConnectionBudget) acquire(side connectionSide) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if side == clientSide {
		b.enforcePendingLimit()
	}
	if b.available(side) <= 0 {
		b.makeRoom(side)
	}
	if b.available(side) <= 0 {
		return false
	}
	b.inUse[side]++
	return true
}

// acceptClient waits for a place for a new client connection and returns it as a pending one. Where so many clients
// are connected that only the reserve is left, it is marked to be rejected; an idle connection is told to close for
// the next.
func (b *ConnectionBudget) acceptClient(conn net.Conn) *clientConn {
	for !b.acquire(clientSide) {
		b.waitForPermit(clientSide)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onlyReserveRemains() {
		b.reclaimIdleClient()
	}
	c := newClientConn(conn, b)
	c.rejectOnly = b.onlyReserveRemains()
	c.moveTo(&b.pending, c)
	return c
}

// waitForPermit returns when a place may be available.
func (b *ConnectionBudget) waitForPermit(side connectionSide) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available(side) <= 0 {
		b.changed.Wait()
	}
}

// onlyReserveRemains reports whether no more than the places for clients to be rejected can be had. The caller holds mu.
func (b *ConnectionBudget) onlyReserveRemains() bool {
	return b.available(clientSide)+b.reclaiming+b.pending.Len() < b.rejectReserve
}

// release gives back a place that no connection came up for.
func (b *ConnectionBudget) release(side connectionSide) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(side)
}

// releaseLocked gives a place back. The caller holds mu.
func (b *ConnectionBudget) releaseLocked(side connectionSide) {
	b.inUse[side]--
	b.changed.Broadcast()
}

// IdleConnections returns the number of connections to a server that could be used at once.
func (b *ConnectionBudget) IdleConnections(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.idleByAddress[address]
}
