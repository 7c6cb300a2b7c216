// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Node is one node's place: its addresses stay when its process is started anew.
type Node struct {
	cluster             *Cluster
	Index               int
	socket              *os.File // of clients, inherited by each process of the node
	Name, Listen, Admin string
	VoterAddress        string // of its seat; empty: it has none
	dir                 string
	voterRelays         []*Relay                   // to the seats; nil: itself
	gossipAddress       string                     // where it hears of others
	gossipRelays        []*Relay                   // to each other node\'s such address
	Env                 []string                   // for its next start
	ChangeFleet         func(fleet map[string]any) // of its own fleet section; nil: none
	pauses              chan time.Duration         // for which its process is to stand still
	VoterDir            string                     // its seat's directory; a part of its own unless told

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	logFile *os.File
	logPath string
}

func (r *Cluster) newNode(i int) *Node {
	n := &Node{cluster: r, Index: i, Name: fmt.Sprint("n", i), Admin: r.unusedAddress(), dir: r.TempDir(), pauses: make(chan time.Duration, 1)}
	l := r.listen()
	defer l.Close()
	var err error
	if n.socket, err = l.(*net.TCPListener).File(); err != nil {
		r.Fatal(err)
	}
	n.Listen = l.Addr().String()
	r.Cleanup(func() { n.socket.Close() })
	if i < r.plan.Voters {
		n.VoterAddress = r.unusedAddress()
	}
	if r.plan.Gossip {
		n.gossipAddress = r.unusedAddress()
	}
	r.Cleanup(n.Kill)
	return n
}

// Log is what the node's processes have told.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	return string(text)
}

// GossipRelay gives the relay by which the node's gossip reaches another; nil: itself.
func (n *Node) GossipRelay(other int) *Relay { return n.gossipRelays[other] }

// VoterRelay gives the relay by which the node calls a seat.
func (n *Node) VoterRelay(seat int) *Relay { return n.voterRelays[seat] }
