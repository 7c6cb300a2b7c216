// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	goneRounds = 5
	// muchData is what a client sends behind its request before it goes, in bytes; the pages have 60 MB.
	muchData = 8 << 20
	// goneSlack is what the pages allow from a client's close to the beginning of an attempt, 0.1 s, and 0.2 s
	// more: 50 ms on sockets, and 150 ms for a node that is held up.
	goneSlack = 300 * time.Millisecond
	// slotJobs is the number of jobs that keep the executor busy, for slotTime each.
	slotJobs = 10
	slotTime = time.Second
)

// playGone has clients go while their requests wait for an executor. The disruption: they send much at once
// behind their requests before they go.
func playGone(p *platform) error {
	e, err := startExecutor(p.rec, "s-0", slotTime)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	d, err := startDiscovery([]endpoint{e.endpoint()})
	if err != nil {
		return errors.Join(errSetup, err)
	}
	_, listen, err := startSingleNode(p, d, smallDeployment(1, scheme("render", "idempotent", 5*s)))
	if err != nil {
		return errors.Join(errSetup, err)
	}
	var late []string
	for round := range goneRounds {
		var busy sync.WaitGroup
		for i := range slotJobs {
			busy.Go(func() {
				id := fmt.Sprintf("slot-%d-%d", round, i)
				got, _ := sendOnce(listen, id, "render", 5*time.Second)
				p.rec.add("client: %s gets %s", id, got)
			})
		}
		time.Sleep(200 * time.Millisecond)
		id := fmt.Sprintf("gone-%d", round)
		closed, err := sendAndGo(p, listen, id)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		busy.Wait()
		time.Sleep(2 * time.Second)
		if e.arrivedLater(id, closed.Add(goneSlack)) {
			late = append(late, id)
		}
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: sent to the executor more than %v after the client had gone: %s",
			errBroken, goneSlack, strings.Join(late, " "))
	}
	return nil
}

// sendAndGo sends a request, in trouble much data behind it, and closes the connection. It returns the time of
// the close.
func sendAndGo(p *platform, listen, id string) (closed time.Time, err error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return closed, err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, requestHead(id, "render", 5*time.Second, 5)+"\r\nhello"); err != nil {
		return closed, err
	}
	p.rec.add("client: has sent %s", id)
	if p.trouble {
		conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
		n, err := conn.Write(bytes.Repeat([]byte("x"), muchData))
		p.rec.add("client: has sent %d bytes behind %s: %v", n, id, err)
	}
	time.Sleep(100 * time.Millisecond)
	err = conn.Close()
	p.rec.add("client: of %s has closed its connection", id)
	return time.Now(), err
}
