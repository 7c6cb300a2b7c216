// SPDX-License-Identifier: Apache-2.0

// Package transport owns the sockets: the server that clients reach, the connections to executors, and the one
// budget of descriptors that both draw on.
package transport

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/protocol"
)

// reservedDescriptors is kept for what has no place in the budget: standard files, the poller, the listener, discovery, files of the
// runtime, a client's new connection that waits for its place. A node at rest was seen to hold ten.
const reservedDescriptors = 16

// connectionSide is who a connection leads to.
type connectionSide int

const (
	clientSide connectionSide = iota
	serverSide
)

func (s connectionSide) String() string { return [...]string{"clients", "executors"}[s] }

const (
	// maxSideFraction is the part of the budget that one side may hold. What is left to the other carries a request for each place
	// of a third, which is what clients use, and its second copies.
	maxSideFraction = 0.6
	// maxPendingFraction is the part of the budget that clients' connections may hold before they have handed a request in.
	// Beside a third for requests it leaves executors their part.
	maxPendingFraction = 0.25
	// evictionGrace is how long a stranger is left alone while there are places: a node short of its core takes many connections
	// before it reads the requests that wait on them.
	evictionGrace = 100 * time.Millisecond
	// evictionScanLimit is how many strangers are looked at for one that can go; each costs a system call.
	evictionScanLimit = 32
	// maxEvictionsPerAccept is how many strangers a new one may drive out.
	maxEvictionsPerAccept = 8
	// readAheadLimit is how many bytes behind its request are kept of a client while that is at work: a whole next request. What
	// comes beyond that is thrown away, since the client's close is behind it, and the connection ends with the answer.
	readAheadLimit = protocol.MaxBodyBytes + 32<<10
	// readAheadChunk is how much is read at a time.
	readAheadChunk = 64 << 10
	// floodThreshold is how much may come without pause; then there are glances between two gulps, and the core is not taken.
	floodThreshold = 4 << 20
	floodPause     = 50 * time.Millisecond
	// lingerTimeout is how long a client's connection that ends with an answer waits for the client to close, and discards
	// what still comes, up to lingers bytes.
	lingerTimeout = 500 * time.Millisecond
	lingerLimit   = 256 << 10
)

// ConnectionBudget is the one owner of the descriptor budget. Each connection takes one place when it comes up and gives
// it back when it is closed, there alone. Idle connections give way first, the longest idle one before the others.
// Danger: connections that are opened by the hundred and say nothing, or half of something, crowd out clients that work.
// So a stranger, one that has not handed a request in yet, takes the place of the longest waiting stranger.
type ConnectionBudget struct {
	mu            sync.Mutex
	changed       sync.Cond // a place or the last request may be free
	total         int
	maxHeld       [2]int
	held          [2]int
	maxPending    int // strangers at most, but for young ones
	evictionGrace time.Duration
	rejectReserve int            // of the clients' places, kept for those that can only be turned away
	idle          [2]list.List   // of *conn
	idleByAddress map[string]int // of the idle ones to executors, by address
	pending       list.List      // of *conn, with those whose last answer is given
	reclaiming    int            // clients' connections told to give way and not closed yet
	active        int            // clients' connections with a request on them
	lingering     int            // clients' connections that wait for the client to read its answer and close
	idleDisabled  bool
	closed        bool // nothing is taken any more
	log           zerolog.Logger
}

func NewConnectionBudget(sockets int) *ConnectionBudget {
	d := &ConnectionBudget{evictionGrace: evictionGrace, idleByAddress: map[string]int{}, log: zerolog.Nop()}
	d.changed.L = &d.mu
	d.Resize(sockets)
	return d
}

// SetLogger has each connection told of that is closed to make room. It is called before the node serves.
func (d *ConnectionBudget) SetLogger(log zerolog.Logger) { d.log = log }

// Resize sets how many descriptors this process may hold; what is idle beyond that is closed.
func (d *ConnectionBudget) Resize(sockets int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total = max(sockets-reservedDescriptors, 4)
	part := func(of float64) int { return max(int(of*float64(d.total)), 1) }
	d.maxHeld, d.maxPending, d.rejectReserve = [2]int{part(maxSideFraction), part(maxSideFraction)}, part(maxPendingFraction), part(maxSideFraction/8)
	over := func() int { return d.held[clientSide] + d.held[serverSide] - d.reclaiming - d.total }
	for over() > 0 && d.idle[serverSide].Len() > 0 {
		d.evictFirst(&d.idle[serverSide])
	}
	for over() > 0 && d.idle[clientSide].Len() > 0 {
		d.reclaimIdleClient()
	}
	d.changed.Broadcast()
}

// available is how many more places a side may take. Under mu.
func (d *ConnectionBudget) available(of connectionSide) int {
	return min(d.maxHeld[of]-d.held[of], d.total-d.held[clientSide]-d.held[serverSide])
}

// acquire asks for a place; where none is left an idle connection or a stranger has to give way.
func (d *ConnectionBudget) acquire(of connectionSide) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Those that came before had not been read when the next ones came; so more than one may have to go.
	for range maxEvictionsPerAccept {
		if of != clientSide || d.pending.Len() < d.maxPending {
			break
		}
		c := d.evictionCandidate()
		if c == nil || d.available(of) > 0 && time.Since(c.openedAt) < d.evictionGrace {
			break
		}
		d.evict(c)
	}
	if d.available(of) <= 0 {
		switch {
		case d.idle[serverSide].Len() > 0 && (of == serverSide || d.held[of] < d.maxHeld[of]):
			d.evictFirst(&d.idle[serverSide])
		case of == clientSide && d.reclaiming+d.idle[clientSide].Len() > 0:
			if d.reclaiming == 0 {
				d.reclaimIdleClient()
			}
		case of == clientSide || d.held[of] < d.maxHeld[of]:
			if c := d.evictionCandidate(); c != nil {
				d.evict(c)
			} else {
				d.evictFirst(&d.pending)
			}
		}
	}
	if d.available(of) <= 0 {
		return false
	}
	d.held[of]++
	return true
}

// acceptClient finds a place for a client's new connection, a stranger. It is a spare one if clients have come to the spare
// places, though an idle connection gives way.
func (d *ConnectionBudget) acceptClient(fresh net.Conn) *trackedConn {
	for !d.acquire(clientSide) {
		d.mu.Lock()
		if d.available(clientSide) <= 0 {
			d.changed.Wait()
		}
		d.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	short := func() bool { return d.available(clientSide)+d.reclaiming+d.pending.Len() < d.rejectReserve }
	if short() {
		d.reclaimIdleClient()
	}
	c := &trackedConn{Conn: fresh, budget: d, side: clientSide, rejectOnly: short(), openedAt: time.Now()}
	c.moveTo(&d.pending)
	return c
}

func (d *ConnectionBudget) release(of connectionSide) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[of]--
	d.changed.Broadcast()
}

// IdleConnections counts the connections to an executor that could be used at once.
func (d *ConnectionBudget) IdleConnections(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idleByAddress[address]
}
