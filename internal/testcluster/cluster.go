// SPDX-License-Identifier: Apache-2.0

// Package testcluster is for tests: it starts several real processes of the program with stand-ins for executors, discovery and
// clients on loopback, puts a relay between each pair of them, plays faults between and on them, and counts on one clock
// what arrives at the stand-ins. It knows nothing of what goes on inside a process.
package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Cluster is one fleet of processes and all round it.
type Cluster struct {
	testing.TB
	Servers   []*StandInServer
	Nodes     []*Node
	plan      Plan
	created   time.Time
	discovery net.Listener
	client    *http.Client

	mu            sync.Mutex
	version       int64            // of the list
	changed       chan struct{}    // closed with the next version
	drained       map[string]bool  // executors
	changedIn     map[string]int64 // the version with which each executor last changed; absent: it never did
	discoveryDown bool             // discovery answers that it can't
	polls         []int64          // when it was asked
}

// Plan is what a fleet is like.
type Plan struct {
	Program        []string       // the program and its arguments
	Env            []string       // for each process, beside the rig's own
	Nodes          int            // that may be started
	Voters         int            // of these, the first
	Servers        int            // stand-ins
	Settings       map[string]any // of the platform, as in a node's file
	Fleet          map[string]any // the fleet section, but for listen, seats and dir; nil: none
	Disk           bool           // seats have a directory
	Gossip         bool           // nodes hear of each other, by relays for datagrams and streams between each pair
	ServeTime      time.Duration  // of an executor
	JobCost        time.Duration  // that clients say each job takes; 0: they say nothing
	ServersStarted time.Time      // of the executors, as discovery tells it; zero: long ago
	Cores          float64        // share of a core that each process is told of and held to; 0: neither
	Sockets        int            // descriptors that each process is told of; 0: 400
	Quiet          bool           // processes log nothing below warnings
	StartNotices   bool           // executors tell of each job's start
}

// New makes the stand-ins. Nothing is started yet. All of it ends with the test.
func New(t testing.TB, plan Plan) *Cluster {
	r := &Cluster{TB: t, plan: plan, created: time.Now(), version: 1, changed: make(chan struct{}), drained: map[string]bool{}, changedIn: map[string]int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(r.client.CloseIdleConnections)
	for i := range plan.Servers {
		r.Servers = append(r.Servers, newStandInServer(r, fmt.Sprint("e", i)))
	}
	r.discovery = r.listen()
	discovery := &http.Server{Handler: http.HandlerFunc(r.serveDiscovery)}
	go discovery.Serve(r.discovery)
	t.Cleanup(func() { discovery.Close() })
	for i := range plan.Nodes {
		r.Nodes = append(r.Nodes, r.newNode(i))
	}
	for i, n := range r.Nodes {
		for j := range plan.Nodes {
			if plan.Gossip && j != i {
				n.gossipRelays = append(n.gossipRelays, newRelay(t, r.unusedAddress, r.Nodes[j].gossipAddress))
			} else {
				n.gossipRelays = append(n.gossipRelays, nil)
			}
		}
		for j := range plan.Voters {
			if j != i {
				n.voterRelays = append(n.voterRelays, newRelay(t, func() string { return "127.0.0.1:0" }, r.Nodes[j].VoterAddress))
			} else {
				n.voterRelays = append(n.voterRelays, nil)
			}
		}
	}
	return r
}

// Now is the rig's one clock: nanoseconds since it was made.
func (r *Cluster) Now() int64 { return int64(time.Since(r.created)) }

func (r *Cluster) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal(err)
	}
	return l
}

// Until waits for something that the rig can see, looking many times a second.
func (r *Cluster) Until(what string, within time.Duration, is func() bool) time.Duration {
	r.Helper()
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !is() {
		if <-tick.C; time.Since(began) > within {
			for _, n := range r.Nodes {
				log := n.Log()
				r.Logf("%s, the end of its log:\n%s", n.Name, log[max(len(log)-1500, 0):])
			}
			r.Fatalf("not within %v: %s", within, what)
		}
	}
	return time.Since(began)
}

// RunFor lets traffic run for so long.
func (r *Cluster) RunFor(span time.Duration) {
	r.Helper()
	from := r.Now()
	r.Until("some time has passed", 2*span+10*time.Second, func() bool { return r.Now()-from >= int64(span) })
}
