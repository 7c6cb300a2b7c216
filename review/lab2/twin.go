// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	twinRounds = 3
	// twinJob is the running time of the jobs.
	twinJob = 2500 * time.Millisecond
	// twinDelay is the time from the first request with an id to the second.
	twinDelay = 1500 * time.Millisecond
	// killDelay is the time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
	killDelay = 3700 * time.Millisecond
)

// twinCase is the state of the case "twin".
type twinCase struct {
	*platform
	discovery *discovery
	listener  *os.File
	address   string
	tmp       string
}

// playTwin has bad clients send the ids of other clients' open requests. The disruption: the node is upgraded
// between the two, so that its second process gets the second request.
func playTwin(p *platform) error {
	c := &twinCase{platform: p}
	e, err := c.prepare()
	if err != nil {
		return errors.Join(errSetup, err)
	}
	current, err := c.start(0)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	for round := 1; round <= twinRounds; round++ {
		if current, err = c.playRound(current, round); err != nil {
			return errors.Join(errSetup, err)
		}
	}
	ids := e.ran("open-")
	slices.Sort(ids)
	runs := len(ids)
	if once := len(slices.Compact(ids)); once < runs {
		return fmt.Errorf("%w: %d requests that must not run twice ran %d times", errBroken, once, runs)
	}
	return nil
}

// prepare starts the executor and discovery, and opens the clients' listener.
func (c *twinCase) prepare() (*executor, error) {
	e, err := startExecutor(c.rec, "s-0", twinJob)
	if err != nil {
		return nil, err
	}
	if c.discovery, err = startDiscovery([]endpoint{e.endpoint()}); err != nil {
		return nil, err
	}
	if c.tmp, err = c.tempDir("n0"); err != nil {
		return nil, err
	}
	if c.address, err = freeAddress(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	c.listener, err = l.(*net.TCPListener).File()
	return e, err
}

// start starts a process of the node and waits until it is ready.
func (c *twinCase) start(round int) (*process, error) {
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	settings := smallDeployment(1, scheme("charge", "at_most_once", 5*s))
	started, err := c.platform.start(processPlan{
		name: "n0", config: configuration("n0", c.address, admin, c.discovery, settings), admin: admin, tmp: c.tmp,
		listener: c.listener, log: fmt.Sprintf("n0-%d", round),
	})
	if err != nil {
		return nil, err
	}
	return started, started.awaitReady(6 * time.Second)
}

// playRound sends a request, in trouble upgrades the node, and sends another request with the same id. It
// returns the process that serves then.
func (c *twinCase) playRound(current *process, round int) (*process, error) {
	id := fmt.Sprintf("open-%d", round)
	var clients sync.WaitGroup
	send := func(who string) {
		clients.Go(func() {
			c.rec.add("%s: sends %s", who, id)
			got, _ := sendOnce(c.address, id, "charge", 5*time.Second)
			c.rec.add("%s: %s gets %s", who, id, got)
		})
	}
	began := time.Now()
	send("client")
	next := current
	if c.trouble {
		time.Sleep(100 * time.Millisecond)
		var err error
		if next, err = c.start(round); err != nil {
			return nil, err
		}
		current.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(began.Add(twinDelay)))
	send("bad client")
	clients.Wait()
	if c.trouble {
		c.end(current)
	}
	return next, nil
}

// end waits for the end of the old process of an upgrade, and kills it when its time is over.
func (c *twinCase) end(old *process) {
	select {
	case <-old.exited:
	case <-time.After(killDelay):
		old.signal(syscall.SIGKILL)
		<-old.exited
	}
}
