// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernrail/internal/protocol"
)

const (
	// readAheadLimit is the number of bytes buffered behind a request while it is served: one complete next
	// request. Bytes above the limit are discarded, because the client's close can only be detected behind
	// them. The connection then ends with the response.
	readAheadLimit = protocol.MaxBodyBytes + 32<<10
	// readAheadChunk is the number of bytes read before other goroutines can run.
	readAheadChunk = 64 << 10
	// readAheadBuffer is the size of a single read, in bytes.
	readAheadBuffer = 1 << 10
	// floodThreshold is the number of discarded bytes above which reads pause for floodPause, so that a
	// client that never stops sending does not use a full CPU.
	floodThreshold = 4 << 20
	floodPause     = 50 * time.Millisecond
)

// errReadAheadOverflow is returned if a client sent more than readAheadLimit bytes behind a request, so that
// its next request is lost.
var errReadAheadOverflow = fmt.Errorf("data behind a request exceeds the read-ahead limit of %d bytes",
	readAheadLimit)

// readAhead reads what a client sends while its request is being served, to detect that the client closes.
//
// http.Server stops its check at the first byte behind a request and would not detect a close after that
// byte.
type readAhead struct {
	mu                sync.Mutex
	requestInProgress bool
	buffer            []byte // data received behind the request and not read by http.Server yet
	discardedBytes    int
	readError         error // io.EOF or the error that ended the client's data; nil: more may follow
}

// readBuffered reads data that was received behind the previous request. It returns no bytes and no error if
// there is none.
func (r *readAhead) readBuffered(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := copy(b, r.buffer)
	r.buffer = r.buffer[n:]
	if len(r.buffer) == 0 {
		r.buffer = nil // frees the memory
	}
	if n == 0 && r.discardedBytes > 0 {
		return 0, errReadAheadOverflow
	}
	return n, nil
}

// beginRequest is called when a request is about to be served. From then on clientClosed reads the socket.
// http.Server has called waitForClose by then, or calls it soon after.
func (r *readAhead) beginRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestInProgress = true
}

// endRequest is called when http.Server no longer needs to detect a close.
func (r *readAhead) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestInProgress = false
}

// waitForClose returns when the client has closed, regardless of how much data it sent before, or when the
// read deadline passes. http.Server uses the deadline to end the call.
func (r *readAhead) waitForClose(raw syscall.RawConn) error {
	defer r.endRequest()
	for {
		if err := raw.Read(r.readSocket); err != nil {
			return err
		}
		flooded, closed := r.progress()
		if closed != nil {
			return closed
		}
		if flooded {
			time.Sleep(floodPause)
		}
	}
}

// progress reports whether the client has exceeded floodThreshold, and the read error if the client's data
// has ended.
func (r *readAhead) progress() (flooded bool, closed error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discardedBytes > floodThreshold, r.readError
}

// readSocket adapts fill to syscall.RawConn.
func (r *readAhead) readSocket(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fill(int(fd))
}

// fill reads from the socket up to readAheadChunk bytes. It returns false if the socket has no more data and
// the client has not closed. The caller holds mu.
func (r *readAhead) fill(fd int) (done bool) {
	b := make([]byte, readAheadBuffer)
	for total := 0; r.readError == nil && total < readAheadChunk; {
		n, err := unix.Read(fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		case err != nil:
			r.readError = err
		case n == 0:
			r.readError = io.EOF
		default:
			total += n
			r.store(b[:n])
		}
	}
	return true
}

// store buffers bytes up to readAheadLimit and discards the rest. After the first discarded byte, all later
// bytes are discarded. The caller holds mu.
func (r *readAhead) store(b []byte) {
	stored := 0
	if r.discardedBytes == 0 {
		stored = max(min(len(b), readAheadLimit-len(r.buffer)), 0)
	}
	r.buffer = append(r.buffer, b[:stored]...)
	r.discardedBytes += len(b) - stored
}

// clientClosed reports whether the client of the request being served has closed its side. It reads the
// socket directly: on a node that is short of CPU time, the close may not have been read from it yet, and a
// request whose client has disconnected would be forwarded.
func (r *readAhead) clientClosed(c net.Conn) bool {
	raw, err := rawConn(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.requestInProgress {
		// An error means that this node has closed the connection, which is no evidence of a close by the
		// client.
		_ = raw.Control(func(fd uintptr) { r.fill(int(fd)) })
	}
	return r.readError != nil
}
