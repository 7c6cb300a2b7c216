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

// poll is one poll for the full list, or for changes since a version.
type poll struct {
	since     int64 // version without the agent's baseVersion
	full      bool
	deadline  time.Time     // end of its wait for changes
	abandoned chan struct{} // closed when the caller has closed the connection
	done      chan struct{} // closed when the caller has closed the connection or sends the next poll
}

// readPoll reads the next poll on a connection.
func (a *fakeAgent) readPoll(reader *bufio.Reader) (*poll, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	p := &poll{
		since:     since - a.baseVersion,
		full:      err != nil,
		abandoned: make(chan struct{}),
		done:      make(chan struct{}),
	}
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	p.deadline = time.Now().Add(wait)
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(p.abandoned)
		}
		close(p.done)
	}()
	return p, nil
}

// serve answers polls on one connection, one after the other.
func (a *fakeAgent) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		p, err := a.readPoll(reader)
		if err != nil {
			return
		}
		a.sim.mu.Lock()
		a.openPolls[c] = p.deadline
		a.sim.mu.Unlock()
		text, fault := a.awaitResponse(c, p)
		io.WriteString(c, text)
		if text == "" || fault == "truncated" {
			return
		}
		select {
		case <-p.done:
		case <-p.abandoned:
		}
	}
}

// awaitResponse waits for the response to a poll and returns it with its fault. It returns no text when the
// caller has closed the connection.
func (a *fakeAgent) awaitResponse(c net.Conn, p *poll) (text, fault string) {
	for {
		a.sim.mu.Lock()
		if _, open := a.openPolls[c]; !open { // lost: never answered
			a.sim.mu.Unlock()
			<-p.abandoned
			return "", ""
		}
		down, changed := a.outageEnded, a.changed
		hasUpdate := p.full || a.version > p.since
		if down == nil && (hasUpdate || !time.Now().Before(p.deadline)) {
			text, fault = a.respond(c, p)
		}
		a.sim.mu.Unlock()
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
		case <-p.abandoned:
			a.sim.mu.Lock()
			delete(a.openPolls, c)
			a.sim.mu.Unlock()
			return "", ""
		}
	}
}

// respond returns the response to a poll, with the next fault, and records the notifications that it
// contains. The caller holds world.mu.
func (a *fakeAgent) respond(c net.Conn, p *poll) (text, fault string) {
	body := a.list(p.since, p.full)
	fault = a.takeFault()
	delete(a.openPolls, c)
	if fault == "" && a.sim.conns[c] {
		a.recordSent(p.since, p.full)
	}
	sent := body
	switch fault {
	case "busy":
		return busyResponse, fault
	case "truncated":
		sent = body[:len(body)/2]
	case "garbage":
		body = "<html>"
		sent = body
	case "stale": // a stale list with all servers in their initial state
		version := strconv.FormatInt(a.baseVersion+a.version, 10)
		body = strings.NewReplacer("Terminating", "Ready", "Gone", "Ready", version, "1").Replace(body)
		sent = body
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), sent), fault
}

// takeFault returns and clears the fault of the next response. It returns no fault instead of a second
// consecutive "busy". The caller holds world.mu.
func (a *fakeAgent) takeFault() string {
	fault := a.nextFault
	a.nextFault = ""
	busy := fault == "busy" && !a.lastFaultWasBusy
	if fault == "busy" && !busy {
		fault = ""
	}
	a.lastFaultWasBusy = busy
	return fault
}
