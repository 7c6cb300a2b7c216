// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// poll is one call for the list, or for changes of it.
type poll struct {
	since    int64 // by the agent's own count
	whole    bool
	deadline time.Time     // of its wait for changes
	gone     chan struct{} // closed when the caller has given up
	next     chan struct{} // closed when the caller has given up, or has its response and polls again
}

// readPoll reads the next poll on a connection.
func (a *fakeAgent) readPoll(in *bufio.Reader) (*poll, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	p := &poll{
		since: since - a.baseVersion,
		whole: err != nil,
		gone:  make(chan struct{}),
		next:  make(chan struct{}),
	}
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	p.deadline = time.Now().Add(wait)
	go func() {
		if _, err := in.Peek(1); err != nil {
			close(p.gone)
		}
		close(p.next)
	}()
	return p, nil
}

// serve answers polls on one connection, one after the other.
func (a *fakeAgent) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		p, err := a.readPoll(in)
		if err != nil {
			return
		}
		a.world.mu.Lock()
		a.openPolls[c] = p.deadline
		a.world.mu.Unlock()
		text, fault := a.awaitResponse(c, p)
		io.WriteString(c, text)
		if text == "" || fault == "half" {
			return
		}
		select {
		case <-p.next:
		case <-p.gone:
		}
	}
}

// awaitResponse returns the response to a poll when there is one, and the fault that it has. It returns none when the
// caller has given up.
func (a *fakeAgent) awaitResponse(c net.Conn, p *poll) (text, fault string) {
	for {
		a.world.mu.Lock()
		if _, open := a.openPolls[c]; !open { // never answered
			a.world.mu.Unlock()
			<-p.gone
			return "", ""
		}
		down, changed := a.downUntil, a.changed
		fresh := p.whole || a.version > p.since
		if down == nil && (fresh || !time.Now().Before(p.deadline)) {
			text, fault = a.respond(c, p)
		}
		a.world.mu.Unlock()
		if text != "" {
			return text, fault
		}
		wait := time.After(max(time.Until(p.deadline), time.Millisecond))
		if down != nil {
			wait = nil
		}
		select {
		case <-changed:
		case <-down:
		case <-wait:
		case <-p.gone:
			a.world.mu.Lock()
			delete(a.openPolls, c)
			a.world.mu.Unlock()
			return "", ""
		}
	}
}

// respond returns the response to a poll, with the next fault, and records what the node is notified of by it.
// Under mu.
func (a *fakeAgent) respond(c net.Conn, p *poll) (text, fault string) {
	body := a.list(p.since, p.whole)
	fault = a.takeFault()
	delete(a.openPolls, c)
	if fault == "" && a.world.conns[c] {
		a.recordSent(p.since, p.whole)
	}
	sent := body
	switch fault {
	case "busy":
		return busyResponse, fault
	case "half":
		sent = body[:len(body)/2]
	case "garbage":
		body = "<html>"
		sent = body
	case "old": // all as it was at the start
		version := strconv.FormatInt(a.baseVersion+a.version, 10)
		body = strings.NewReplacer("Terminating", "Ready", "Gone", "Ready", version, "1").Replace(body)
		sent = body
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), sent), fault
}

// takeFault returns the fault of the next response. A second refusal in a row is none. Under mu.
func (a *fakeAgent) takeFault() string {
	fault := a.nextFault
	a.nextFault = ""
	refused := fault == "busy" && !a.lastWasBusy
	if fault == "busy" && !refused {
		fault = ""
	}
	a.lastWasBusy = refused
	return fault
}
