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
	// pollInterval is the time between two checks of the condition in Until.
	pollInterval = 10 * time.Millisecond
	// logTail is how many bytes of the end of each node's log are printed when Until fails.
	logTail = 1500
	// clientConns is the maximum number of idle connections from the clients to each node.
	clientConns = 64
)

// Plan configures a cluster.
type Plan struct {
	Program        []string       // the program and its arguments
	Env            []string       // of each process, in addition to the variables that the cluster sets
	Nodes          int            // number of nodes that can be started
	Voters         int            // number of nodes with a voter; these are the first nodes
	Servers        int            // number of stand-ins for servers
	Settings       map[string]any // section settings of a node's configuration
	Fleet          map[string]any // fleet section without listen, seats and dir; nil: none
	Disk           bool           // voters store their state in a directory
	Gossip         bool           // nodes gossip through a relay for datagrams and streams between each pair
	ServeTime      time.Duration  // time that a server needs for a job
	JobCost        time.Duration  // cost that clients state for each job; 0: none is stated
	ServersStarted time.Time      // start time of the servers that discovery reports; zero: long ago
	Cores          float64        // fraction of a core, configured for and enforced on each process; 0: neither
	Sockets        int            // file descriptors that each process is configured with; 0: 400
	Quiet          bool           // processes log only warnings and errors
	StartNotices   bool           // servers report the start of each job
}

// Cluster is a set of nodes with the stand-ins and relays that they connect to.
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
	changed       chan struct{}    // closed when the next version is published
	drained       map[string]bool  // servers by name
	changedIn     map[string]int64 // version in which each server last changed; absent: never changed
	discoveryDown bool             // discovery responds to polls with 503
	polls         []int64          // times at which discovery was polled, in ns of the cluster's clock
}

// New starts the stand-ins and creates the nodes without starting them. The end of the test stops everything.
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

// serveHTTP serves HTTP on a listener until the test ends.
func (c *Cluster) serveHTTP(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.Errorf("stand-in at %s stopped serving: %v", l.Addr(), err)
		}
	}()
	c.Cleanup(func() {
		server.Close()
		<-stopped
	})
}

// connect creates the relays through which a node reaches the others.
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

// Now returns the time of the cluster's clock: nanoseconds since the cluster was created.
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

// Until waits until a condition holds and returns the time that this took. The test fails at once if the
// condition does not hold within the given time.
func (c *Cluster) Until(description string, within time.Duration, condition func() bool) time.Duration {
	c.Helper()
	began := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		<-tick.C
		if time.Since(began) > within {
			c.logNodes()
			c.Fatalf("condition not met within %v: %s", within, description)
		}
	}
	return time.Since(began)
}

// logNodes writes the end of each node's log to the log of the test.
func (c *Cluster) logNodes() {
	c.Helper()
	for _, n := range c.Nodes {
		log := n.Log()
		c.Logf("end of the log of %s:\n%s", n.Name, log[max(len(log)-logTail, 0):])
	}
}

// RunFor waits for a time while load and faults continue.
func (c *Cluster) RunFor(span time.Duration) {
	c.Helper()
	from := c.Now()
	c.Until("the wait time has passed", 2*span+10*time.Second, func() bool {
		return c.Now()-from >= int64(span)
	})
}
