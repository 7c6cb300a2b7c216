// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// faultPool is the servers of a node, of which one meets a fault. All servers are alike, on pipes.
type faultPool struct {
	fault attemptFault

	mu       sync.Mutex
	armed    bool // the next connection or request meets the fault
	open     int  // requests that servers have now
	maxOpen  int
	arrivals []arrival
	written  int // requests whose last byte was written
}

// takeFault reports whether this is what meets the fault.
func (p *faultPool) takeFault() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	bad := p.armed
	p.armed = false
	return bad
}

// rearm starts to count anew, with the fault ahead.
func (p *faultPool) rearm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
	p.arrivals = nil
	p.written = 0
	p.maxOpen = 0
}

func (p *faultPool) requestWritten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written++
}

// dial opens a connection to a server.
func (p *faultPool) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	meetsFault := p.fault.dialError != nil || p.fault.neverConnects
	if meetsFault && p.takeFault() {
		return nil, p.failDial(ctx)
	}
	here, there := net.Pipe()
	go p.serve(there)
	return here, nil
}

// failDial returns the error of a connection that does not come up.
func (p *faultPool) failDial(ctx context.Context) error {
	if !p.fault.neverConnects {
		return p.fault.dialError
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return errors.New("timed out")
}

// serve serves the requests on a connection.
func (p *faultPool) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(singleByteConn{c, p.fault.readBytes >= 0})
	for p.serveNext(c, in) {
	}
}

// serveNext serves one request, and reports whether the connection goes on.
func (p *faultPool) serveNext(c net.Conn, in *bufio.Reader) bool {
	f := p.fault
	if !f.reusedConnection && f.readBytes == 0 && p.takeFault() {
		return false
	}
	if _, err := in.Peek(1); err != nil {
		return false
	}
	bad := p.takeFault()
	if bad && f.readBytes >= 0 {
		io.ReadFull(in, make([]byte, f.readBytes))
		return false
	}
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	id := r.Header.Get("X-Call-Id")
	p.arrived(arrival{id, bad})
	defer p.ended()
	if !bad {
		time.Sleep(10 * time.Millisecond)
		respond(chunkedHead+updateLine("started")+updateLine("done")+chunkedEnd)(c, id, nil)
		return true
	}
	if f.respond != nil {
		f.respond(c, id, func() bool { _, err := in.Peek(1); return err != nil })
	}
	return false
}

func (p *faultPool) arrived(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, a)
	p.open++
	p.maxOpen = max(p.maxOpen, p.open)
}

func (p *faultPool) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}
