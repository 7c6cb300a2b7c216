// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// dialClient opens a client connection and sends a request on it, so that the process that accepted it is the
// only one that can get its later requests.
func (s *upgradedNode) dialClient(id string) net.Conn {
	s.Helper()
	c := s.dial()
	if status := sendRequest(c, "book", id); status != http.StatusOK {
		s.Fatalf("first request of a client: got status %d, want 200", status)
	}
	return c
}

// sendRequest sends a request with a body on a connection and returns the status of the response, or 0 if there
// is none.
func sendRequest(c net.Conn, class, id string) int {
	io.WriteString(c, requestText(class, id, 2500*time.Millisecond, "b"))
	c.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// setHung sets whether the servers hold requests until their connections close.
func (f *serverPool) setHung(hung bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		server.hung = hung
	}
}

// effectsOf returns how often a non-idempotent request took effect.
func (f *serverPool) effectsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.effects[id]
}

// openRequest sends a request that stays open, and waits until a server runs it. The returned function waits for
// the response.
func (s *upgradedNode) openRequest(c net.Conn, id string) (wait func()) {
	s.Helper()
	var client sync.WaitGroup
	client.Go(func() { sendRequest(c, "book", id) })
	for start := time.Now(); s.effectsOf(id) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 2*time.Second {
			s.Fatalf("request %s does not run", id)
		}
	}
	return client.Wait
}

// expectConflict sends a request whose id is in use and fails the test unless it is rejected and does not run.
func (s *upgradedNode) expectConflict(what string, c net.Conn, id string) {
	s.Helper()
	if status := sendRequest(c, "book", id); status != http.StatusConflict {
		s.Errorf("%s: got status %d, want 409", what, status)
	}
	if runs := s.effectsOf(id); runs != 1 {
		s.Errorf("%s: the request ran %d times, want once", what, runs)
	}
}

// TestIDsAreReservedDuringUpgrades: during an upgrade, the id of a request that is open at one process, or was
// finished there a moment ago, arrives at the other, in either direction, at both at one instant, after a second
// upgrade, and after its process was killed. A request that must not run twice would run again there, and another
// client would get its result.
func TestIDsAreReservedDuringUpgrades(t *testing.T) {
	const atOneInstant = 8
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	var atOld []net.Conn
	for i := range atOneInstant + 3 {
		atOld = append(atOld, s.dialClient(fmt.Sprint("old-", i)))
	}
	s.setHung(true)
	waitOld := s.openRequest(atOld[0], "open-at-old")
	fresh := s.startProcess(s.discovery)
	fresh.waitFor("readyz", 6*time.Second)
	old.Process.Signal(syscall.SIGTERM)
	s.setHung(false)
	time.Sleep(100 * time.Millisecond) // until the old process accepts no more connections
	atFresh := func() net.Conn { return s.dialClient(fmt.Sprint("fresh-", time.Now().UnixNano())) }
	s.expectConflict("open at the old process", atFresh(), "open-at-old")
	s.expectConflict("finished at the old process", atFresh(), "old-1")
	if status := sendRequest(atFresh(), "book", "finished-at-fresh"); status != http.StatusOK {
		t.Errorf("request to the new process: got status %d, want 200", status)
	}
	s.expectConflict("finished at the new process", atOld[1], "finished-at-fresh")
	s.setHung(true)
	waitFresh := s.openRequest(s.dial(), "open-at-fresh")
	s.setHung(false)
	s.expectConflict("open at the new process", atOld[2], "open-at-fresh")
	s.checkOneInstant(atOld[3:], atFresh)
	waitOld()
	old.expectExit()

	third := s.startProcess(s.discovery)
	third.waitFor("readyz", 6*time.Second)
	fresh.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	s.expectConflict("open before a second upgrade", s.dial(), "open-at-fresh")
	s.expectConflict("finished two upgrades before", s.dial(), "old-2")
	fresh.Process.Kill()
	<-fresh.exited
	waitFresh()
	s.expectConflict("open at a killed process", s.dial(), "open-at-fresh")
	third.Process.Signal(syscall.SIGTERM)
	third.expectExit()
}

// dial opens a client connection.
func (s *upgradedNode) dial() net.Conn {
	s.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	return c
}

// checkOneInstant sends requests with one id to both processes at the same time, and fails the test unless each
// id is served once and rejected once.
func (s *upgradedNode) checkOneInstant(atOld []net.Conn, atFresh func() net.Conn) {
	s.Helper()
	for i, oldConn := range atOld {
		id, freshConn := fmt.Sprint("instant-", i), atFresh()
		statuses := [2]int{}
		var clients sync.WaitGroup
		for j, c := range []net.Conn{oldConn, freshConn} {
			clients.Go(func() { statuses[j] = sendRequest(c, "book", id) })
		}
		clients.Wait()
		sum, runs := statuses[0]+statuses[1], s.effectsOf(id)
		if sum != http.StatusOK+http.StatusConflict || runs != 1 {
			s.Errorf("%s sent to both processes: got statuses %v and %d runs, want 200, 409 and one run",
				id, statuses, runs)
		}
	}
}
