// SPDX-License-Identifier: Apache-2.0

// Package transport owns the sockets: the server that clients reach, the connections to executors, and the one
// budget of descriptors that both draw on.
package transport

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

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

// establish takes a client's connection for a known one, with its first whole request; false: it had to go.
func (d *ConnectionBudget) establish(c *trackedConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.closed && c.list == &d.pending {
		c.moveTo(nil)
	}
	return !c.closed && !d.closed
}

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

func (d *ConnectionBudget) release(of connectionSide) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[of]--
	d.changed.Broadcast()
}

// markActive marks a connection as in use and numbers the use.
func (d *ConnectionBudget) markActive(c *trackedConn) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearState(c)
	c.uses++
	if c.side == clientSide && !c.active {
		c.active = true
		d.active++
	}
	return c.uses
}

// clearState takes a connection out of all that is counted, but for the strangers. Under mu.
func (d *ConnectionBudget) clearState(c *trackedConn) {
	if c.active {
		c.active = false
		d.active--
		d.changed.Broadcast()
	}
	if c.list == &d.idle[c.side] {
		c.moveTo(nil)
		if c.side == clientSide {
			c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout)) // the server's own limit waits for some bytes more
		}
	}
	if c.reclaimed && c.side == clientSide {
		c.reclaimed = false
		d.reclaiming--
		d.changed.Broadcast()
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
}

// markIdle marks a connection as idle after a use.
// Danger: the library tells late that a connection rests; by then the next request may have it.
func (d *ConnectionBudget) markIdle(c *trackedConn, use int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if use != c.uses || c.list != nil || c.closed {
		return
	}
	d.clearState(c)
	if c.moveTo(&d.idle[c.side]); d.idleDisabled && c.side == clientSide {
		d.reclaimIdleClient()
	}
}

// disableIdle closes clients' connections that are idle, now and from now on.
func (d *ConnectionBudget) disableIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleDisabled = true
	for d.idle[clientSide].Len() > 0 {
		d.reclaimIdleClient()
	}
}

// enableIdle lets clients' connections be idle again.
func (d *ConnectionBudget) enableIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleDisabled = false
}

// waitForNoClients waits until no client's connection is left, or there is no more time.
func (d *ConnectionBudget) waitForNoClients(ctx context.Context) {
	defer d.broadcastWhenDone(ctx)()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.held[clientSide] > 0 && ctx.Err() == nil {
		d.changed.Wait()
	}
}

// broadcastWhenDone ends waits for changes with their context.
func (d *ConnectionBudget) broadcastWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.changed.Broadcast()
	})
}

// waitForRequests waits until no client's request is left, no idle connection, and no answer that may not have been read. Halves of
// requests by strangers are nobody's loss when time is up. Nothing is taken from then on.
// Danger: a request that is read between the last look and the end of the process; it is sent on, and nobody answers it.
func (d *ConnectionBudget) waitForRequests(ctx context.Context) error {
	defer d.broadcastWhenDone(ctx)()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.active+d.lingering+d.reclaiming > 0 && ctx.Err() == nil {
		d.changed.Wait()
	}
	d.closed = true
	owed := d.active
	for e := d.pending.Front(); e != nil; e = e.Next() {
		if e.Value.(*trackedConn).active {
			owed--
		}
	}
	if owed > 0 {
		return ctx.Err()
	}
	return nil
}

// IdleConnections counts the connections to an executor that could be used at once.
func (d *ConnectionBudget) IdleConnections(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idleByAddress[address]
}

// trackedConn is a connection with its place in the budget. For those to executors it also keeps what proves that a
// request was never sent whole.
type trackedConn struct {
	net.Conn
	budget     *ConnectionBudget
	side       connectionSide
	address    string // of the executor
	openedAt   time.Time
	rejectOnly bool // a client's that can only be turned away
	active     bool // under owner.mu, as are those up to yielded
	list       *list.List
	element    *list.Element // of in
	uses       int
	closed     bool
	// reclaimed: told to make room, when it may just have been taken for a request
	reclaimed     bool
	lingerStarted bool // it has been given its time to be read

	head            requestHeadScanner // of a client's request
	responseStarted atomic.Bool        // something was written to a client

	readAheadMu       sync.Mutex
	requestInProgress bool   // a request is at work; under looking, as are those below
	readAhead         []byte // what came behind it and is not handed on yet
	discardedBytes    int    // bytes behind that were thrown away
	readError         error  // how the client's sending ended; nil: it has not

	writeMu        sync.Mutex
	exchangeState  atomic.Int32 // how far a request has come that was given this connection
	writeStarted   bool         // a write since the request was given this connection
	writeTruncated bool         // a write did not take all its bytes
	writeDenied    bool         // a write was not made: the share that it needed was gone
	sendGate       protocol.SendGate
}

// A request's turn on a connection to an executor. What is read before the last of these belongs to an earlier one.
const (
	exchangeAssigned        = iota
	exchangeRequestStarted  // its first byte has been written
	exchangeResponseStarted // something has been read since
)

// moveTo moves the connection to the end of a list, or out of all. Under owner.mu.
func (c *trackedConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
		if c.side == serverSide {
			if c.budget.idleByAddress[c.address]--; c.budget.idleByAddress[c.address] == 0 {
				delete(c.budget.idleByAddress, c.address)
			}
		}
	}
	if to != nil && c.side == serverSide {
		c.budget.idleByAddress[c.address]++
	}
	if c.list, c.element = to, nil; to != nil {
		c.element = to.PushBack(c)
	}
}

func (c *trackedConn) Close() error {
	if c.side == clientSide {
		c.waitForClientClose()
	}
	c.budget.mu.Lock()
	first := !c.closed
	c.closed = true
	c.moveTo(nil)
	c.budget.mu.Unlock()
	err := c.Conn.Close()
	// Danger: who waits for the last connection goes on while it is still open.
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.budget.clearState(c); first {
		c.budget.held[c.side]--
		c.budget.changed.Broadcast()
	}
	return err
}

// waitForClientClose waits for a client to close first, where its connection ends with an answer. It counts as a stranger meanwhile,
// and gives way. Nothing is begun on what it reads.
// Danger: a close over bytes that were not read is a reset, which takes an answer with it that the client has not read.
func (c *trackedConn) waitForClientClose() {
	half, can := c.Conn.(interface{ CloseWrite() error })
	c.budget.mu.Lock()
	if !can || c.closed || c.lingerStarted || c.reclaimed || c.list == &c.budget.idle[clientSide] || !c.responseStarted.Load() {
		c.budget.mu.Unlock()
		return
	}
	c.lingerStarted = true
	c.budget.clearState(c)
	c.openedAt = time.Time{}
	c.moveTo(&c.budget.pending)
	c.budget.lingering++
	c.budget.mu.Unlock()
	if half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, lingerLimit)
	}
	c.budget.mu.Lock()
	c.budget.lingering--
	c.budget.changed.Broadcast()
	c.budget.mu.Unlock()
}

// Read notes the first bytes of a client's request: from then on the connection is in use, long before the library
// says so.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.side != clientSide {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.exchangeState.CompareAndSwap(exchangeRequestStarted, exchangeResponseStarted)
		}
		return n, err
	}
	// The library reads one byte behind a request that is at work, to learn that its client closes; within heads it may as well.
	if len(b) == 1 && c.head.isComplete() {
		if raw, err := rawConn(c.Conn); err == nil {
			return 0, c.waitForClose(raw)
		}
	}
	if n := c.head.takeHeldBack(b); n > 0 {
		return n, nil
	}
	n, err := c.takeReadAhead(b)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(b)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isReclaimed() {
		if n = readNonBlocking(c.Conn, b); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.budget.markActive(c)
		n = c.head.scan(b[:n])
	}
	return n, err
}

// takeReadAhead hands on what came behind the request before.
func (c *trackedConn) takeReadAhead(b []byte) (int, error) {
	c.readAheadMu.Lock()
	defer c.readAheadMu.Unlock()
	n := copy(b, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	if n == 0 && c.discardedBytes > 0 {
		return 0, errReadAheadOverflow
	}
	return n, nil
}

// beginRequest begins a request's work, from which on left can tell. The library looks for the client's close by then, or soon.
func (c *trackedConn) beginRequest() {
	c.readAheadMu.Lock()
	c.requestInProgress = true
	c.readAheadMu.Unlock()
}

// waitForClose returns when the client has closed, however much it sent before, or when the library has no more use for that.
// Danger: the library stops to look at the first byte that comes; of a close after that nobody would ever know.
func (c *trackedConn) waitForClose(raw syscall.RawConn) error {
	defer func() {
		c.readAheadMu.Lock()
		c.requestInProgress = false
		c.readAheadMu.Unlock()
	}()
	for {
		if err := raw.Read(func(fd uintptr) bool {
			c.readAheadMu.Lock()
			defer c.readAheadMu.Unlock()
			return c.fillReadAhead(int(fd))
		}); err != nil {
			return err
		}
		c.readAheadMu.Lock()
		over, much := c.readError, c.discardedBytes > floodThreshold
		c.readAheadMu.Unlock()
		if over != nil {
			return over
		}
		if much {
			time.Sleep(floodPause)
		}
	}
}

// fillReadAhead takes what has come behind the request, and says whether that was a gulp, or the client has closed. Under looking.
func (c *trackedConn) fillReadAhead(fd int) (done bool) {
	b := make([]byte, 1<<10)
	for took := 0; c.readError == nil && took < readAheadChunk; {
		n, err := unix.Read(fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		case err != nil:
			c.readError = err
		case n == 0:
			c.readError = io.EOF
		default:
			took += n
			if kept := min(n, readAheadLimit-len(c.readAhead)); kept > 0 && c.discardedBytes == 0 {
				c.readAhead = append(c.readAhead, b[:kept]...)
				n -= kept
			}
			c.discardedBytes += n
		}
	}
	return true
}

// clientClosed says whether the client of the request at work has closed, as far as this machine knows at this moment.
// Danger: a node short of its core that sends on what nobody waits for, since word of the close is in the socket still.
func (c *trackedConn) clientClosed() bool {
	raw, err := rawConn(c.Conn)
	c.readAheadMu.Lock()
	defer c.readAheadMu.Unlock()
	if err == nil && c.requestInProgress {
		raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) })
	}
	return c.readError != nil
}

var (
	errNoSocket          = errors.New("no socket")
	errReadAheadOverflow = errors.New("more came behind a request than is kept")
)

func rawConn(c net.Conn) (syscall.RawConn, error) {
	if s, can := c.(syscall.Conn); can {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}

// hasUnreadData says whether bytes lie in the socket that nobody has read.
func (c *trackedConn) hasUnreadData() (is bool) {
	if raw, err := rawConn(c.Conn); err == nil {
		raw.Control(func(fd uintptr) {
			n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			is = err == nil && n > 0
		})
	}
	return is
}

func (c *trackedConn) isReclaimed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.reclaimed
}

// readNonBlocking reads what a connection holds already.
// Danger: a request that came between the waking and the close is thrown away; a deadline that has passed hides it.
func readNonBlocking(c net.Conn, b []byte) (n int) {
	if raw, err := rawConn(c); err == nil {
		raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) })
	}
	return max(n, 0)
}

// SetReadDeadline keeps a connection awake that has to give way.
// Danger: the server sets its own limit for idle ones just after it calls one idle, and would wait on.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.reclaimed && c.side == clientSide {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets the server send an answer to a request that it did not read to its end. What follows is only to keep
// a reset from wiping that out; the connection gives way as strangers do.
func (c *trackedConn) CloseWrite() error {
	c.budget.mu.Lock()
	if !c.closed {
		c.openedAt = time.Time{}
		c.moveTo(&c.budget.pending)
	}
	c.budget.mu.Unlock()
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Write keeps the proof. Requests are written in order, so one that was cut short was not written to its end.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.side == clientSide {
		c.responseStarted.Store(true)
		return c.Conn.Write(b)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// Danger: a process that was stopped since it decided, and sends on a lease that ran out meanwhile.
	if admit := c.sendGate; admit != nil && !c.writeStarted {
		if c.writeDenied = !admit.MaySend(); c.writeDenied {
			return 0, errSendDenied
		}
		defer admit.Sent()
	}
	c.writeStarted = true
	c.exchangeState.CompareAndSwap(exchangeAssigned, exchangeRequestStarted)
	n, err := c.Conn.Write(b)
	c.writeTruncated = c.writeTruncated || n < len(b)
	return n, err
}

// beginExchange opens the account of a new request.
func (c *trackedConn) beginExchange(admit protocol.SendGate) {
	c.writeMu.Lock()
	c.writeStarted, c.writeTruncated, c.writeDenied, c.sendGate = false, false, false, admit
	c.exchangeState.Store(exchangeAssigned)
	c.writeMu.Unlock()
}

// closeAndCheckUnsent ends the connection and says whether the request's last byte was never written to it, and whether that was
// this node's own doing.
// Danger: a hook that has not fired yet is no proof; the library may write while this looks. So the connection
// is closed first, which lets nothing more through, and a write that is under way is waited for.
// Danger: the library gives a connection back before it hands an answer on, and what is asked about then is the next request's turn.
func (c *trackedConn) closeAndCheckUnsent(use int) (never, yielded bool) {
	c.Close()
	c.writeMu.Lock()
	never = !c.writeStarted || c.writeTruncated
	c.writeMu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return never && c.uses == use, c.reclaimed
}
