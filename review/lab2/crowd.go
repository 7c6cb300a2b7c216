// SPDX-License-Identifier: Apache-2.0

//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crowdNodes     = 30
	crowdExecutors = 30
	// crowdSockets is the limit of descriptors of each process; the pages have 256 to 1,024.
	crowdSockets = 256
	// The idle clients come in waves. Each sends one request at once and then rests. The requests of a wave
	// are under a third of the descriptors, as the pages have it.
	idleWaves = 3
	idleWave  = 75
	wavePause = time.Second
	// crowdTime is how long the idle clients rest.
	crowdTime = 20 * time.Second
	// usualPause is the time between two requests of usual clients.
	usualPause = 100 * time.Millisecond
)

// playCrowd sends usual requests to one node of a fleet, a voter. The disruption: idle clients fill its
// descriptors.
func playCrowd(p *platform) error {
	// The platform's limit of descriptors holds for each process of a node.
	p.command = fmt.Sprintf("ulimit -n %d; %s", crowdSockets, p.command)
	c := &fleetCase{platform: p, nodes: crowdNodes, sockets: crowdSockets}
	if err := c.prepare(crowdExecutors); err != nil {
		return errors.Join(errSetup, err)
	}
	nodes, err := c.startNodes()
	if err != nil {
		return errors.Join(errSetup, err)
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	usual := c.startUsualClients(stop)
	time.Sleep(3 * time.Second)
	if p.trouble {
		for wave := range idleWaves {
			c.startIdleClients(wave * idleWave)
			time.Sleep(wavePause)
		}
	}
	for range crowdTime / time.Second {
		time.Sleep(time.Second)
		if nodes[0].hasExited() {
			break
		}
		c.recordDescriptors(nodes[0])
	}
	close(stop)
	usual.Wait()
	p.rec.add("node n0: telemetry: %.300s", nodes[0].call("telemetry"))
	return c.crowdVerdict(nodes[0])
}

// startNodes starts all nodes and waits until they are ready.
func (c *fleetCase) startNodes() (nodes []*process, err error) {
	for i := range c.nodes {
		node, err := c.startNode(i, 0)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		if err := node.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// crowdVerdict returns whether the node has ended by itself or left requests without an answer.
func (c *fleetCase) crowdVerdict(node *process) error {
	var broken []error
	if node.hasExited() {
		broken = append(broken, fmt.Errorf("%w: the node has crashed: %s", errBroken, node.lastPanic()))
	}
	if len(c.lost) > 0 {
		broken = append(broken, fmt.Errorf("%w: %d requests were taken and neither answered nor shut: %s",
			errBroken, len(c.lost), strings.Join(c.lost, " ")))
	}
	return errors.Join(broken...)
}

// recordDescriptors records how many descriptors a node has open.
func (c *fleetCase) recordDescriptors(node *process) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.cmd.Process.Pid))
	c.rec.add("node %s: %d descriptors (%v)", node.name, len(entries), err)
}

// startUsualClients sends requests, each on a new connection, until stop is closed.
func (c *fleetCase) startUsualClients(stop chan struct{}) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	clients.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(usualPause):
			}
			clients.Go(func() { c.sendUsual(fmt.Sprintf("r%d", number)) })
		}
	})
	return clients
}

// sendUsual sends a request. A connection that is shut unread is allowed while idle clients fill the
// descriptors.
func (c *fleetCase) sendUsual(id string) {
	c.rec.add("client: sends %s", id)
	got, taken := sendOnce(c.address, id, "render", 5*time.Second)
	c.rec.add("client: %s gets %s", id, got)
	if taken && errors.Is(got.err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lost = append(c.lost, id)
	}
}

// startIdleClients connects a wave of idle clients. Each sends one request and then rests until the node ends
// its connection.
func (c *fleetCase) startIdleClients(first int) {
	for number := first; number < first+idleWave; number++ {
		go func() {
			conn, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				c.rec.add("idle client %d: %v", number, err)
				return
			}
			defer conn.Close()
			id := fmt.Sprintf("idle-%d", number)
			_, _ = io.WriteString(conn, requestHead(id, "render", 5*time.Second, 5)+"\r\nhello")
			in := bufio.NewReader(conn)
			c.rec.add("idle client %d: gets %s", number, readAnswer(conn, in, 6*time.Second))
			conn.SetReadDeadline(time.Time{})
			_, err = in.Peek(1)
			c.rec.add("idle client %d: its connection ends: %v", number, err)
		}()
	}
}
