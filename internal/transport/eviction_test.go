// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// TestPendingConnectionsAreEvicted: connections that say nothing, or never stop, take each other's places and not
// those of clients that work; what a connection got an error for is one of them while it lingers.
func TestPendingConnectionsAreEvicted(t *testing.T) {
	d := NewConnectionBudget(64)
	d.evictionGrace = 0
	_, address := startServer(t, d, succeed)
	kept := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, kept); got.StatusCode != 200 {
		t.Fatal(got)
	}
	unfinished := []string{"", requestHead[:40], strings.Replace(requestHead, ": 1", ": 90000000", 1)}
	var silent []net.Conn
	for i := range 100 {
		silent = append(silent, dialAndWrite(t, address, unfinished[i%3]))
	}
	if got := readResponse(t, dialAndWrite(t, address, requestHead+"b")); got.StatusCode != 200 {
		t.Error(got)
	}
	io.WriteString(kept, requestHead+"b")
	if got := readResponse(t, kept); got.StatusCode != 200 {
		t.Error(got)
	}
	start := time.Now()
	for _, c := range silent[:100-2*d.maxPending] {
		io.Copy(io.Discard, c) // until it is closed
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the last was kept for %s", took)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inUse[clientSide] > d.maxPending+3 {
		t.Errorf("%d places are held", d.inUse[clientSide])
	}
}

// TestUnreadRequestsAreNotEvicted: new connections come to a process that has not read what lies in the sockets of
// older ones. One that has sent nothing gives way, and none whose request waits there while there are places.
// At a process that is behind these wait the longest, and would be closed without a response.
func TestUnreadRequestsAreNotEvicted(t *testing.T) {
	d := NewConnectionBudget(64)
	d.evictionGrace = 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var all []*clientConn
	come := func(text string) *clientConn {
		dialAndWrite(t, l.Addr().String(), text)
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		fresh := d.acceptClient(c)
		t.Cleanup(func() { fresh.Close() })
		all = append(all, fresh)
		waitUntil(t, "its bytes", func() bool { return text == "" || fresh.hasUnreadData() })
		return fresh
	}
	for range d.maxPending - 1 {
		come(requestHead + "b")
	}
	silent := come("")
	for range 4 {
		come(requestHead + "b")
	}
	for i, c := range all {
		if c.closed != (c == silent) {
			t.Errorf("connection %d of %d: closed is %v", i, len(all), c.closed)
		}
	}
}

// TestNewConnectionsAreServed: clients that all come at once are not taken for such as say nothing.
func TestNewConnectionsAreServed(t *testing.T) {
	d := NewConnectionBudget(64)
	d.evictionGrace = time.Minute
	_, address := startServer(t, d, succeed)
	var all []net.Conn
	for range 2 * d.maxPending {
		all = append(all, dialAndWrite(t, address, requestHead))
	}
	for _, c := range all {
		io.WriteString(c, "b")
		if got := readResponse(t, c); got.StatusCode != 200 {
			t.Error(got)
		}
	}
}

// TestReclaimSparesARequestBeingRead: a connection told to make room whose next request is being read serves it first.
func TestReclaimSparesARequestBeingRead(t *testing.T) {
	d := NewConnectionBudget(1024)
	_, address := startServer(t, d, succeed)
	c := dialAndWrite(t, address, requestHead+"b")
	if got := readResponse(t, c); got.StatusCode != 200 {
		t.Fatal(got)
	}
	half := len(requestHead) / 2
	io.WriteString(c, requestHead[:half])
	for read := 0; read == 0; time.Sleep(time.Millisecond) { // until its first bytes are read
		d.mu.Lock()
		read = 1 - d.idle[clientSide].Len()
		d.mu.Unlock()
	}
	d.disableIdle()
	io.WriteString(c, requestHead[half:]+"b")
	if got := readResponse(t, c); got.StatusCode != 200 {
		t.Error(got)
	}
}

// TestReclaimIsNotUndone: the server sets its limit for idle connections after it has called one idle.
func TestReclaimIsNotUndone(t *testing.T) {
	d := NewConnectionBudget(64)
	near, far := net.Pipe()
	c := newClientConn(near, d)
	d.markIdle(&c.trackedConn, d.markActive(&c.trackedConn))
	d.disableIdle()
	start := time.Now()
	c.SetReadDeadline(start.Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) > 2*time.Second {
		t.Fatal(err, time.Since(start))
	}
	d.markActive(&c.trackedConn) // had its request's first byte come before
	go far.Write([]byte("x"))
	if _, err := c.Read(make([]byte, 1)); err != nil || d.reclaiming != 0 {
		t.Error(err, d.reclaiming)
	}
}

// TestReclaimServesARequestThatArrived: a request that is there when its connection is waked to be closed is served.
func TestReclaimServesARequestThatArrived(t *testing.T) {
	d := NewConnectionBudget(1024)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := dialAndWrite(t, l.Addr().String(), "")
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := d.acceptClient(far)
	d.mu.Lock()
	d.reclaim(&c.trackedConn)
	d.mu.Unlock()
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("%d bytes from a silent connection, %v", n, err)
	}
	io.WriteString(client, "POST")
	n, start := 0, time.Now()
	for n == 0 && time.Since(start) < 2*time.Second { // until the bytes have come
		n, err = c.Read(buffer)
	}
	if string(buffer[:n]) != "POST" || err != nil {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.reclaimed || d.reclaiming != 0 || !c.active {
		t.Error("a connection with a request on it is still to go")
	}
}
