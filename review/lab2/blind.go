// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// outage is how long discovery is down.
	outage = 20 * time.Second
	// drainAt is the time from the beginning of the outage to the beginning of the drain.
	drainAt = 10 * time.Second
	// latestSend is how long after discovery can be reached again a draining executor may get work: 6 s until a
	// change counts as told, the grace of 2 s, 50 ms on sockets and 150 ms for a node that is held up.
	latestSend = 8200 * time.Millisecond
	blindPause = 50 * time.Millisecond
)

// playBlind has an executor drain while discovery is down. The disruption: the agent closes its open
// connections and takes no new ones for a while.
func playBlind(p *platform) error {
	var executors []*executor
	var listed []endpoint
	for i := range 2 {
		e, err := startExecutor(p.rec, fmt.Sprintf("s-%d", i), 30*time.Millisecond)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		executors = append(executors, e)
		listed = append(listed, e.endpoint())
	}
	l, err := newLateListener()
	if err != nil {
		return errors.Join(errSetup, err)
	}
	d := &discovery{address: l.Addr().String(), version: 1, servers: listed}
	agent := &http.Server{Handler: d}
	go func() { _ = agent.Serve(l) }()
	_, listen, err := startSingleNode(p, d, smallDeployment(1, scheme("render", "idempotent", 5*s)))
	if err != nil {
		return errors.Join(errSetup, err)
	}
	stop := make(chan struct{})
	clients := startSteadyClient(p.rec, listen, stop)
	time.Sleep(5 * time.Second)
	if p.trouble {
		l.beginLate()
		d.breakWatches()
		p.rec.add("discovery: is down")
	}
	time.Sleep(drainAt)
	d.drain(0)
	p.rec.add("discovery: s-0 drains")
	time.Sleep(outage - drainAt)
	if p.trouble {
		l.endLate()
	}
	p.rec.add("discovery: can be reached")
	limit := time.Now().Add(latestSend)
	time.Sleep(outage)
	close(stop)
	clients.Wait()
	if late := executors[0].arrivedAfter(limit); late > 0 {
		return fmt.Errorf("%w: s-0 got %d requests more than %v after discovery could be reached",
			errBroken, late, latestSend)
	}
	return nil
}

// startSteadyClient sends requests until stop is closed.
func startSteadyClient(rec *record, listen string, stop chan struct{}) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	clients.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(blindPause):
			}
			clients.Go(func() {
				id := fmt.Sprintf("r%d", number)
				got, _ := sendOnce(listen, id, "render", 5*time.Second)
				rec.add("client: %s gets %s", id, got)
			})
		}
	})
	return clients
}
