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

// Node is the place of one node: its addresses stay when its process is started anew. Exported fields may be changed
// before Start.
type Node struct {
	Name         string
	Index        int
	Listen       string // address for clients
	Admin        string // address for admin commands
	VoterAddress string // empty: it has no voter
	VoterDir     string // the directory of its voter; empty: a part of the node's own
	Env          []string
	ChangeFleet  func(fleet map[string]any) // changes its own fleet section; nil: no change

	cluster       *Cluster
	dir           string
	socket        *os.File           // for clients, inherited by each process of the node
	gossipAddress string             // where it receives gossip
	voterRelays   []*Relay           // to each voter; nil: itself
	gossipRelays  []*Relay           // to each other node's gossip address; nil: itself, or there is no gossip
	pauses        chan time.Duration // for which its process is to stand still

	mu      sync.Mutex
	process *exec.Cmd     // nil: none was started, or it was ended by the test
	exited  chan struct{} // closed when process has ended
}

func (c *Cluster) newNode(index int) *Node {
	n := &Node{
		Name:    fmt.Sprint("n", index),
		Index:   index,
		Admin:   c.unusedAddress(),
		cluster: c,
		dir:     c.TempDir(),
		pauses:  make(chan time.Duration, 1),
	}
	n.openSocket()
	if index < c.plan.Voters {
		n.VoterAddress = c.unusedAddress()
	}
	if c.plan.Gossip {
		n.gossipAddress = c.unusedAddress()
	}
	c.Cleanup(n.Kill)
	return n
}

// openSocket opens the socket for clients. It stays open over the starts of the node's processes, so that the
// kernel takes connections also when there is none.
func (n *Node) openSocket() {
	l := n.cluster.listen()
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		n.cluster.Fatal(err)
	}
	n.socket = socket
	n.Listen = l.Addr().String()
	n.cluster.Cleanup(func() { socket.Close() })
}

// logPath is the file that all processes of the node append their logs to.
func (n *Node) logPath() string { return filepath.Join(n.dir, "log") }

// Log returns what the node's processes have logged; nothing before the first start.
func (n *Node) Log() string {
	text, _ := os.ReadFile(n.logPath()) // absent before the first start
	return string(text)
}

// GossipRelay returns the relay by which the node's gossip reaches another; nil: itself.
func (n *Node) GossipRelay(other int) *Relay { return n.gossipRelays[other] }

// VoterRelay returns the relay by which the node calls a voter; nil: itself.
func (n *Node) VoterRelay(voter int) *Relay { return n.voterRelays[voter] }
