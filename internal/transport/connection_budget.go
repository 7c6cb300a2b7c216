// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// connectionSide is the kind of peer of a connection.
type connectionSide int

const (
	clientSide connectionSide = iota
	serverSide
)

// String returns the side's name in log lines.
func (s connectionSide) String() string { return [...]string{"clients", "executors"}[s] }

const (
	// reservedDescriptors is the number of file descriptors for uses outside the budget: standard files, the
	// poller, the listener, discovery, files of the runtime and an accepted connection that waits for its
	// permit.
	reservedDescriptors = 16
	// minBudget is the minimum number of connections in a budget, regardless of the number of descriptors.
	minBudget = 4
	// maxSideFraction is the maximum fraction of the budget for one side. Each client request needs one
	// connection to the client and one connection to a server, or two with a hedge.
	maxSideFraction = 0.6
	// maxPendingFraction is the maximum fraction of the budget for pending client connections.
	maxPendingFraction = 0.25
	// rejectReserveFraction is the fraction of the budget reserved for clients whose requests are only
	// rejected.
	rejectReserveFraction = maxSideFraction / 8
	// maxEvictionsPerAccept is the maximum number of pending connections evicted for one new connection.
	maxEvictionsPerAccept = 8
)

// ConnectionBudget limits the file descriptors used by connections. Each connection acquires one permit when
// it is established and releases it when it is closed. If no permit is available, the connection that has
// been idle longest is closed first.
//
// A client connection is pending until its first complete request has been read, and again while it lingers
// after its last response. Pending connections have a separate limit and evict each other. Otherwise
// hundreds of connections that send nothing, or only part of a request, would displace clients that send
// complete requests.
type ConnectionBudget struct {
	log       zerolog.Logger
	messages  peerMemory // for bodies of requests, results of servers, and responses
	readAhead peerMemory // for data that clients send behind a request

	mu            sync.Mutex
	changed       sync.Cond      // signaled when a permit may be free or the last request may have ended
	sockets       int            // descriptors that the process may open
	memoryLimit   int            // memory that the process may use, in bytes
	total         int            // maximum permits of both sides
	maxInUse      [2]int         // maximum permits by side
	inUse         [2]int         // permits in use by side
	maxPending    int            // limit of pending connections; those within evictionGrace may exceed it
	evictionGrace time.Duration  // see defaultEvictionGrace
	rejectReserve int            // client permits reserved for clients whose requests are only rejected
	idle          [2]list.List   // of *trackedConn by side, longest idle first
	idleByAddress map[string]int // number of idle connections by server address
	pending       list.List      // of *clientConn, oldest first
	reclaiming    int            // client connections that were reclaimed and have not closed yet
	active        int            // client connections with a request in progress
	lingering     int            // client connections that wait for the client to read its response and close
	idleDisabled  bool           // idle client connections are closed immediately
	closed        bool           // no further request is accepted
}

// NewConnectionBudget returns a budget for a process that may open the given number of file descriptors.
func NewConnectionBudget(sockets int) *ConnectionBudget {
	b := &ConnectionBudget{
		log:           zerolog.Nop(),
		evictionGrace: defaultEvictionGrace,
		idleByAddress: map[string]int{},
	}
	b.changed.L = &b.mu
	b.memoryLimit = defaultMemoryLimit
	b.Resize(sockets)
	return b
}

// SetLogger sets the logger for evictions. It must be called before the node serves requests.
func (b *ConnectionBudget) SetLogger(log zerolog.Logger) {
	b.log = log
	b.messages.log = log
	b.readAhead.log = log
}

// Resize sets the number of file descriptors that this process may open. Idle connections in excess are
// closed.
func (b *ConnectionBudget) Resize(sockets int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sockets = sockets
	b.applyLimits()
}

// SetMemoryLimit sets the memory that this process may use, in bytes. Idle connections in excess are closed.
func (b *ConnectionBudget) SetMemoryLimit(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memoryLimit = bytes
	b.applyLimits()
}

// applyLimits derives the limits on connections and messages from those of the process. The caller holds mu.
func (b *ConnectionBudget) applyLimits() {
	b.messages.setLimit(int(messageMemoryFraction * float64(b.memoryLimit)))
	b.readAhead.setLimit(int(readAheadMemoryFraction * float64(b.memoryLimit)))
	inMemory := int(connectionMemoryFraction*float64(b.memoryLimit)) / connectionMemory
	b.total = max(min(b.sockets-reservedDescriptors, inMemory), minBudget)
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

// fraction returns a fraction of the budget in connections, at least one. The caller holds mu.
func (b *ConnectionBudget) fraction(ratio float64) int {
	return max(int(ratio*float64(b.total)), 1)
}

// excess returns the number of connections above the budget, without those being reclaimed. The caller holds
// mu.
func (b *ConnectionBudget) excess() int {
	return b.inUse[clientSide] + b.inUse[serverSide] - b.reclaiming - b.total
}

// available returns the number of permits that a side can still acquire. The caller holds mu.
func (b *ConnectionBudget) available(side connectionSide) int {
	return min(b.maxInUse[side]-b.inUse[side], b.total-b.inUse[clientSide]-b.inUse[serverSide])
}

// acquire acquires a permit and reports whether one was available. If none is, it first tries to free one by
// closing an idle or a pending connection.
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

// acceptClient waits for a permit for a new client connection and returns the connection as pending. If only
// the reserve remains, it marks the connection as reject-only and reclaims an idle connection for the next
// client.
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

// waitForPermit returns when a permit may be available.
func (b *ConnectionBudget) waitForPermit(side connectionSide) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available(side) <= 0 {
		b.changed.Wait()
	}
}

// onlyReserveRemains reports whether the client permits that are available, or can be freed, have fallen
// below rejectReserve. The caller holds mu.
func (b *ConnectionBudget) onlyReserveRemains() bool {
	return b.available(clientSide)+b.reclaiming+b.pending.Len() < b.rejectReserve
}

// release releases a permit for which no connection was established.
func (b *ConnectionBudget) release(side connectionSide) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(side)
}

// releaseLocked releases a permit. The caller holds mu.
func (b *ConnectionBudget) releaseLocked(side connectionSide) {
	b.inUse[side]--
	b.changed.Broadcast()
}

// IdleConnections returns the number of idle connections to a server.
func (b *ConnectionBudget) IdleConnections(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.idleByAddress[address]
}
