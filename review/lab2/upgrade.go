// SPDX-License-Identifier: Apache-2.0

//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// nodes 0, 1 and 2 stand in zone a, the others in zone b. Node 0 is upgraded.
	zoneNodes   = 3
	fleetNodes  = 2 * zoneNodes
	fleetSeats  = 3
	upgrades    = 2
	longJobTime = 4800 * time.Millisecond
	// killDelay is the time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// cutTime is how long zone b is cut off; the pages have 18 s.
	cutTime = 17 * time.Second
	// upgradeAfter is the time from the cut to the start of the new process.
	upgradeAfter = 11 * time.Second
	// calmTime is how long all nodes are well before a cut.
	calmTime = 8 * time.Second
	// requestPause is the time between two requests to the node that is upgraded.
	requestPause = 50 * time.Millisecond
)

// fleetCase is the state of the case "upgrade".
type fleetCase struct {
	*platform
	nodes     int
	sockets   int  // limit of descriptors
	inherits  bool // node 0 inherits its clients' listener, as for upgrades
	discovery *discovery
	seats     []string // addresses of the voters
	gossip    []string
	listener  *os.File // of the node that is upgraded
	address   string   // where its clients connect

	mu   sync.Mutex
	lost []string
}

// playUpgrade upgrades one node of a fleet several times. The disruption: the nodes of the other zone are cut off
// during the upgrade and say nothing.
func playUpgrade(p *platform) error {
	c := &fleetCase{platform: p, nodes: fleetNodes, sockets: 1024, inherits: true}
	if err := c.prepare(4); err != nil {
		return errors.Join(errSetup, err)
	}
	current, err := c.startNode(0, 0)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	var others []*process
	for i := 1; i < fleetNodes; i++ {
		other, err := c.startNode(i, 0)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		others = append(others, other)
	}
	if err := current.awaitReady(10 * time.Second); err != nil {
		return err
	}
	stop := make(chan struct{})
	clients := c.startClients(stop)
	for round := 1; round <= upgrades && err == nil; round++ {
		time.Sleep(calmTime)
		began := time.Now()
		c.signalZone(others[zoneNodes-1:], syscall.SIGSTOP)
		time.Sleep(upgradeAfter)
		current, err = c.upgrade(current, round)
		time.Sleep(time.Until(began.Add(cutTime)))
		c.signalZone(others[zoneNodes-1:], syscall.SIGCONT)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return errors.Join(errSetup, err)
	}
	if len(c.lost) > 0 {
		return fmt.Errorf("%w: %d requests were taken and not answered: %s",
			errBroken, len(c.lost), strings.Join(c.lost, " "))
	}
	return nil
}

// signalZone cuts off the nodes of a zone, or connects them again. A stopped process says nothing, and its open
// connections stay open.
func (c *fleetCase) signalZone(nodes []*process, signal syscall.Signal) {
	if !c.trouble {
		return
	}
	for _, node := range nodes {
		node.signal(signal)
	}
}

// prepare starts executors and discovery, and chooses the addresses of the fleet.
func (c *fleetCase) prepare(executors int) error {
	var listed []endpoint
	for i := range executors {
		e, err := startExecutor(c.rec, fmt.Sprintf("s-%d", i), 200*time.Millisecond)
		if err != nil {
			return err
		}
		e.jobTime = func(id string) time.Duration {
			if strings.HasSuffix(id, "-long") {
				return longJobTime
			}
			return e.duration
		}
		listed = append(listed, e.endpoint())
	}
	var err error
	if c.discovery, err = startDiscovery(listed); err != nil {
		return err
	}
	for i := range c.nodes {
		gossip, err := freeAddress()
		if err != nil {
			return err
		}
		c.gossip = append(c.gossip, gossip)
		if i < fleetSeats {
			seat, err := freeAddress()
			if err != nil {
				return err
			}
			c.seats = append(c.seats, seat)
		}
	}
	if c.address, err = freeAddress(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	defer l.Close()
	if c.inherits {
		c.listener, err = l.(*net.TCPListener).File()
	}
	return err
}

// startNode starts a process of a node.
func (c *fleetCase) startNode(index, round int) (*process, error) {
	name := fmt.Sprintf("n%d", index)
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	listen := c.address
	if index > 0 {
		if listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	tmp, err := c.tempDir(name)
	if err != nil {
		return nil, err
	}
	settings := smallDeployment(c.nodes, scheme("render", "idempotent", 5*s))
	settings["Me"] = index
	settings["Dcs"] = []string{"a", "b"}
	settings["MyZone"] = 2 * index / c.nodes
	settings["Limits"].(map[string]any)["MayTell"] = true
	config := configuration(name, listen, admin, c.discovery, settings)
	config["limits"].(map[string]any)["sockets"] = c.sockets
	config["fleet"] = c.fleetSection(index)
	plan := processPlan{name: name, config: config, admin: admin, tmp: tmp, log: fmt.Sprintf("%s-%d", name, round)}
	if index == 0 && c.inherits {
		plan.listener = c.listener
	}
	return c.start(plan)
}

// fleetSection returns the fleet section of a node, after the project's example of a fleet.
func (c *fleetCase) fleetSection(index int) map[string]any {
	var seats []map[string]any
	for i, address := range c.seats {
		seats = append(seats, map[string]any{"name": fmt.Sprintf("n%d", i), "address": address})
	}
	return map[string]any{
		"secret": "walk-through", "seats": seats, "most": c.nodes + 4, "lease_ms": 3000, "margin": 0.05,
		"budgets": map[string]any{
			"cold":    map[string]any{"whole": 4000, "floor": 20, "reserve": 50, "step": 20},
			"connect": map[string]any{"whole": 1600, "floor": 20, "reserve": 4},
			"again":   map[string]any{"whole": 800, "floor": 8, "reserve": 6},
		},
		"gossip": c.gossip[index], "join": c.gossip,
	}
}

// startClients sends requests to the node that is upgraded until stop is closed. One of eight is a long job.
func (c *fleetCase) startClients(stop chan struct{}) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	clients.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(requestPause):
			}
			id := fmt.Sprintf("r%d", number)
			if number%8 == 0 {
				id += "-long"
			}
			clients.Go(func() { c.sendRequest(id) })
		}
	})
	return clients
}

// sendRequest sends a request on a connection of its own and records a lost one.
func (c *fleetCase) sendRequest(id string) {
	c.rec.add("client: sends %s", id)
	got, taken := sendOnce(c.address, id, "render", 5*time.Second)
	c.rec.add("client: %s gets %s", id, got)
	if taken && got.status == 0 {
		c.mu.Lock()
		c.lost = append(c.lost, id)
		c.mu.Unlock()
	}
}

// upgrade starts a second process of node 0, ends the first one as the platform does, and returns the second
// one.
func (c *fleetCase) upgrade(old *process, round int) (*process, error) {
	next, err := c.startNode(0, round)
	if err != nil {
		return nil, err
	}
	if err := next.awaitReady(6 * time.Second); err != nil {
		return nil, err
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		c.rec.add("upgrade %d: the old process has ended by itself", round)
	case <-time.After(killDelay):
		c.rec.add("upgrade %d: the old process has not ended within %v", round, killDelay)
		old.signal(syscall.SIGKILL)
		<-old.exited
	}
	return next, nil
}
