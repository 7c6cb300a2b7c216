// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernrail/internal/protocol"
)

const (
	// readAheadLimit is the maximum number of bytes buffered behind a request while it is served. Later bytes stay
	// in the socket: they may be requests whose responses the client waits for.
	readAheadLimit = 256 << 10
	// readAheadChunk is the size of a single read, in bytes.
	readAheadChunk = 2 << 10
	// settledBytes is the number of bytes that surely fit into the smallest receive window. After more bytes than
	// that at once, the client may have had to wait with the next ones, or with its close.
	settledBytes = 32 << 10
	// settleTime is how long bytes that the client could not send before may take to arrive.
	settleTime = 5 * time.Millisecond
	// arrivalResolution is the time within which bytes count as arrived together.
	arrivalResolution = 10 * time.Millisecond
	// backlogPause is the pause after which new bytes had not been waiting for room in the socket. It is longer than
	// the pacer delays a read.
	backlogPause = 50 * time.Millisecond
)

// dataArrival is when a number of bytes arrived.
type dataArrival struct {
	bytes int
	at    time.Time
}

// readAhead reads what a client sends while its request is being served, to detect that the client closes.
//
// The close arrives behind all data that the client sent before. The client is known to be connected only while
// the socket is read to its end; once the buffer is full, it is not. http.Server itself stops its check at the
// first byte behind a request.
type readAhead struct {
	memory *memoryHolder // of the buffer beyond its first chunk

	mu         sync.Mutex
	onFull     func() // called once when the buffer is full; nil: no request in progress, or already called
	inProgress bool   // a request is being served
	buffer     []byte // data received behind the request and not read by http.Server yet
	acquired   int    // bytes of memory acquired for buffer
	full       bool   // the last read ended because the buffer cannot grow
	readError  error  // io.EOF or the error that ended the client's data; nil: more may follow

	arrivals     []dataArrival // of the bytes in buffer, oldest first
	backlogSince time.Time     // since when bytes have been left in the socket behind a full buffer; zero: there are none
	drainedAt    time.Time     // since when the socket has had no bytes; zero: some were read since
	lastArrival  time.Time     // when the byte that http.Server has read last had arrived, or may have

	burstBytes int       // bytes received without a pause of settleTime
	receivedAt time.Time // when the latest bytes were received
}

// readBuffered reads data that was received behind the previous request. It returns no bytes if there is none.
func (r *readAhead) readBuffered(b []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := copy(b, r.buffer)
	r.buffer = r.buffer[n:]
	r.takeArrivals(n)
	if len(r.buffer) == 0 {
		r.freeBuffer()
	}
	return n
}

// takeArrivals sets lastArrival to the time at which the last of the given number of bytes arrived. The caller holds
// mu.
func (r *readAhead) takeArrivals(bytes int) {
	for bytes > 0 {
		first := &r.arrivals[0]
		taken := min(bytes, first.bytes)
		first.bytes -= taken
		bytes -= taken
		r.lastArrival = first.at
		if first.bytes == 0 {
			r.arrivals = r.arrivals[1:]
		}
	}
}

// waited returns how long ago the last byte that http.Server has read arrived, or 0 if it was read at once.
func (r *readAhead) waited() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := time.Since(r.lastArrival)
	if age < arrivalResolution {
		return 0
	}
	return age
}

// freeBuffer frees the memory of the buffer and its contents. The caller holds mu.
func (r *readAhead) freeBuffer() {
	r.buffer = nil
	r.arrivals = nil
	r.memory.shrink(r.acquired)
	r.acquired = 0
}

// close frees the memory of a closed connection. Data that arrived behind the last request are dropped.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readError = net.ErrClosed
	r.freeBuffer()
}

// received records that bytes were read from the socket for http.Server. drained reports whether the read took all
// that the socket had.
func (r *readAhead) received(bytes int, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countReceived(bytes)
	r.lastArrival = cmp.Or(r.backlogSince, r.receivedAt)
	if drained {
		r.drainedAt = time.Now()
	}
}

// countReceived adds bytes to the current burst. The caller holds mu.
func (r *readAhead) countReceived(bytes int) {
	now := time.Now()
	if now.Sub(r.receivedAt) >= settleTime {
		r.burstBytes = 0
	}
	r.burstBytes += bytes
	r.receivedAt = now
	if !r.drainedAt.IsZero() && now.Sub(r.drainedAt) >= backlogPause {
		r.backlogSince = time.Time{}
	}
	r.drainedAt = time.Time{}
}

// beginRequest is called when a request is about to be served. From then on clientState reads the socket, and
// onFull is called if it becomes unknown whether the client has closed. http.Server has called waitForClose by
// then, or calls it soon after.
func (r *readAhead) beginRequest(onFull func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress = true
	r.onFull = onFull
}

// endRequest is called when http.Server no longer needs to detect a close.
func (r *readAhead) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress = false
	r.onFull = nil
}

// waitForClose returns when the client has closed, or when the read deadline passes. http.Server uses the deadline
// to end the call. Once the buffer is full, only the deadline ends it.
func (r *readAhead) waitForClose(raw syscall.RawConn) error {
	defer r.endRequest()
	if err := raw.Read(r.readSocket); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readError
}

// readSocket adapts fill to syscall.RawConn.
func (r *readAhead) readSocket(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(int(fd))
	return r.readError != nil
}

// fill reads from the socket until it has no more data, the client has closed or the buffer is full. The caller
// holds mu.
func (r *readAhead) fill(fd int) {
	var chunk [readAheadChunk]byte
	for r.readError == nil {
		room := min(r.room(), len(chunk))
		if room == 0 {
			r.markFull()
			return
		}
		n, err := unix.Read(fd, chunk[:room])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			r.full = false
			if r.drainedAt.IsZero() {
				r.drainedAt = time.Now()
			}
			return
		case err != nil:
			r.readError = err
		case n == 0:
			r.readError = io.EOF
		default:
			r.countReceived(n)
			r.buffer = append(r.buffer, chunk[:n]...)
			r.recordArrival(n)
		}
	}
}

// recordArrival records that bytes were added to the buffer. The caller holds mu.
func (r *readAhead) recordArrival(bytes int) {
	at := cmp.Or(r.backlogSince, r.receivedAt)
	if last := len(r.arrivals) - 1; last >= 0 && at.Sub(r.arrivals[last].at) < arrivalResolution {
		r.arrivals[last].bytes += bytes
		return
	}
	r.arrivals = append(r.arrivals, dataArrival{bytes: bytes, at: at})
}

// markFull records that the client's close cannot be detected. The caller holds mu.
func (r *readAhead) markFull() {
	r.full = true
	r.backlogSince = cmp.Or(r.backlogSince, time.Now())
	if r.onFull != nil {
		go r.onFull()
		r.onFull = nil
	}
}

// room returns the number of bytes that can be buffered, after acquiring more memory if there is none left. The
// first chunk of a connection is part of the memory that each connection is expected to use. The caller holds mu.
func (r *readAhead) room() int {
	if free := readAheadChunk + r.acquired - len(r.buffer); free > 0 {
		return min(free, readAheadLimit-len(r.buffer))
	}
	more := min(max(r.acquired, readAheadChunk), readAheadLimit-len(r.buffer))
	if more <= 0 || !r.memory.acquire(more) {
		return 0
	}
	r.acquired += more
	return more
}

// clientState returns what is known about the client of the request being served. It reads the socket directly: on
// a node that is short of CPU time, the close may not have been read from it yet, and a request whose client has
// disconnected would be forwarded.
func (r *readAhead) clientState(c net.Conn) protocol.ClientState {
	raw, err := rawConn(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.inProgress {
		// An error means that this node has closed the connection, which is no evidence of a close by the
		// client.
		_ = raw.Control(func(fd uintptr) { r.fill(int(fd)) })
	}
	switch {
	case r.readError != nil:
		return protocol.ClientClosed
	case r.full:
		return protocol.ClientUnknown
	case r.burstBytes > settledBytes && time.Since(r.receivedAt) < settleTime:
		return protocol.ClientUnsettled
	default:
		return protocol.ClientConnected
	}
}
