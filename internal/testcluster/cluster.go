// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// pollInterval is the time between two looks of Until.
	pollInterval = 10 * time.Millisecond
	// logTail is how many bytes of each node's log are shown when Until fails.
	logTail = 1500
	// clientConns is how many idle connections the clients keep to each node.
	clientConns = 64
)

// Plan says what a cluster is like.
type Plan struct {
	Program        []string       // the program and its arguments
	Env            []string       // for each process, beside the cluster's own
	Nodes          int            // that may be started
	Voters         int            // nodes with a voter: the first so many
	Servers        int            // stand-ins
	Settings       map[string]any // of the platform, as in a node's file
	Fleet          map[string]any // the fleet section, but for listen, seats and dir; nil: none
	Disk           bool           // voters have a directory
	Gossip         bool           // nodes gossip, by relays for datagrams and streams between each pair
	ServeTime      time.Duration  // of a server for a job
	JobCost        time.Duration  // that clients say each job takes; 0: they say nothing
	ServersStarted time.Time      // start of the servers, as discovery tells it; zero: long ago
	Cores          float64        // share of a core that each process is told of and held to; 0: neither
	Sockets        int            // file descriptors that each process is told of; 0: 400
	Quiet          bool           // processes log nothing below warnings
	StartNotices   bool           // servers report each job's start
}

// Cluster is some nodes and all that they connect to.
type Cluster struct {
	testing.TB
	Servers   []*StandInServer
	Nodes     []*Node
	plan      Plan
	created   time.Time
	discovery net.Listener
	client    *http.Client

	mu            sync.Mutex
	version       int64            // of the endpoint list
	changed       chan struct{}    // closed with the next version
	drained       map[string]bool  // servers by name
	changedIn     map[string]int64 // the version in which each server last changed; absent: it never did
	discoveryDown bool             // discovery answers that it can't
	polls         []int64          // when discovery was polled
}

// New starts the stand-ins, and no node yet. Everything ends with the test.
func New(t testing.TB, plan Plan) *Cluster {
	t.Helper()
	c := &Cluster{
		TB:        t,
		plan:      plan,
		created:   time.Now(),
		version:   1,
		changed:   make(chan struct{}),
		drained:   map[string]bool{},
		changedIn: map[string]int64{},
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}},
	}
	t.Cleanup(c.client.CloseIdleConnections)
	for i := range plan.Servers {
		c.Servers = append(c.Servers, newStandInServer(c, fmt.Sprint("e", i)))
	}
	c.discovery = c.listen()
	c.serveHTTP(c.discovery, http.HandlerFunc(c.serveDiscovery))
	for i := range plan.Nodes {
		c.Nodes = append(c.Nodes, c.newNode(i))
	}
	for _, n := range c.Nodes {
		c.connect(n)
	}
	return c
}

// serveHTTP serves on a listener until the test ends.
func (c *Cluster) serveHTTP(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.Errorf("a stand-in at %s ended: %v", l.Addr(), err)
		}
	}()
	c.Cleanup(func() {
		server.Close()
		<-ended
	})
}

// connect makes the relays by which a node reaches the others.
func (c *Cluster) connect(n *Node) {
	n.gossipRelays = make([]*Relay, len(c.Nodes))
	n.voterRelays = make([]*Relay, c.plan.Voters)
	for i, other := range c.Nodes {
		if other == n {
			continue
		}
		if c.plan.Gossip {
			n.gossipRelays[i] = newRelay(c.TB, c.unusedAddress, other.gossipAddress)
		}
		if i < c.plan.Voters {
			n.voterRelays[i] = newRelay(c.TB, anyAddress, other.VoterAddress)
		}
	}
}

// Now is the cluster's one clock: nanoseconds since it was made.
func (c *Cluster) Now() int64 { return int64(time.Since(c.created)) }

// listen opens a listener on loopback.
func (c *Cluster) listen() net.Listener {
	c.Helper()
	l, err := net.Listen("tcp", anyAddress())
	if err != nil {
		c.Fatal(err)
	}
	return l
}

// Until waits until a condition holds, and returns how long that took. It ends the test if that takes longer than
// within.
func (c *Cluster) Until(what string, within time.Duration, holds func() bool) time.Duration {
	c.Helper()
	began := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		<-tick.C
		if time.Since(began) > within {
			c.logNodes()
			c.Fatalf("not within %v: %s", within, what)
		}
	}
	return time.Since(began)
}

// logNodes writes the end of each node's log to the test's.
func (c *Cluster) logNodes() {
	c.Helper()
	for _, n := range c.Nodes {
		log := n.Log()
		c.Logf("%s, the end of its log:\n%s", n.Name, log[max(len(log)-logTail, 0):])
	}
}

// RunFor lets a time pass, with whatever load and faults there are.
func (c *Cluster) RunFor(span time.Duration) {
	c.Helper()
	from := c.Now()
	c.Until("some time has passed", 2*span+10*time.Second, func() bool { return c.Now()-from >= int64(span) })
}
