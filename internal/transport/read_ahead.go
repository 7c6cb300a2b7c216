// SPDX-License-Identifier: Apache-2.0

package transport

import (
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
	// readAheadLimit is how many bytes behind a request are kept while it is served: a whole next request. Bytes beyond
	// that are discarded, since the client's close is behind them, and the connection ends with the response.
	readAheadLimit = protocol.MaxBodyBytes + 32<<10
	// readAheadChunk is how many bytes are read before other work gets its turn.
	readAheadChunk = 64 << 10
	// readAheadBuffer is the size of a single read, in bytes.
	readAheadBuffer = 1 << 10
	// floodThreshold is how many bytes may be discarded before reads are floodPause apart, so that a client that never
	// stops sending does not keep a processor busy.
	floodThreshold = 4 << 20
	floodPause     = 50 * time.Millisecond
)

// errReadAheadOverflow says that a client sent more behind a request than is kept, so that its next request is lost.
var errReadAheadOverflow = errors.New("more came behind a request than is kept")

// readAhead reads what a client sends while its request is being served, to find out when the client closes.
//
// http.Server stops looking at the first byte that comes behind a request, and would not learn of a close after that.
type readAhead struct {
	mu                sync.Mutex
	requestInProgress bool
	buffer            []byte // what came behind the request and was not taken yet
	discardedBytes    int
	readError         error // how the client's sending ended; nil: it has not
}

// readBuffered reads what came behind the previous request. It returns no bytes and no error where nothing did.
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

// beginRequest is called when a request is about to be served. From then on clientClosed can tell; http.Server calls
// waitForClose by then or soon after.
func (r *readAhead) beginRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestInProgress = true
}

// endRequest is called when http.Server does not need to know of a close any more.
func (r *readAhead) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestInProgress = false
}

// waitForClose returns when the client has closed, however much it sent before, or when the read deadline passes, by
// which http.Server ends the call.
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

// progress reports whether the client sends without end, and how its sending ended, if it has.
func (r *readAhead) progress() (flooded bool, closed error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discardedBytes > floodThreshold, r.readError
}

// readSocket is fill for syscall.RawConn.
func (r *readAhead) readSocket(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fill(int(fd))
}

// fill reads what the socket holds, up to readAheadChunk bytes. It returns false where there is nothing more to
// read and the client has not closed. The caller holds mu.
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

// store keeps as many bytes as there is room for. Once one was discarded none is kept any more. The caller holds mu.
func (r *readAhead) store(b []byte) {
	stored := 0
	if r.discardedBytes == 0 {
		stored = max(min(len(b), readAheadLimit-len(r.buffer)), 0)
	}
	r.buffer = append(r.buffer, b[:stored]...)
	r.discardedBytes += len(b) - stored
}

// clientClosed reports whether the client of the request being served has closed its side. It looks at the socket
// itself: at a node that is short of processor time, word of the close may still wait there, and a request that
// nobody waits for would be forwarded.
func (r *readAhead) clientClosed(c net.Conn) bool {
	raw, err := rawConn(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.requestInProgress {
		// An error means that this node has closed the connection, which says nothing of the client.
		_ = raw.Control(func(fd uintptr) { r.fill(int(fd)) })
	}
	return r.readError != nil
}
