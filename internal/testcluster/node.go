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

// Node is one node of a cluster. Its addresses stay the same when its process is restarted. Exported fields
// may be changed before Start.
type Node struct {
	Name         string
	Index        int
	Listen       string // address for clients
	Admin        string // address for admin commands
	VoterAddress string // empty: the node has no voter
	VoterDir     string // directory of its voter; empty: a folder in the node's directory
	Env          []string
	ChangeFleet  func(fleet map[string]any) // modifies the node's fleet section; nil: no change

	cluster       *Cluster
	dir           string
	socket        *os.File           // listens for clients; inherited by each process of the node
	gossipAddress string             // address at which it receives gossip
	voterRelays   []*Relay           // by voter index; nil for the node itself
	gossipRelays  []*Relay           // by node index; nil for the node itself or without gossip
	pauses        chan time.Duration // durations for which its process is to be stopped

	mu      sync.Mutex
	process *exec.Cmd     // nil: not started, or ended by the test
	exited  chan struct{} // closed when process has exited
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

// openSocket opens the socket for clients. It stays open across restarts of the node's process, so that the
// kernel accepts connections also while there is no process.
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

// logPath returns the file to which all processes of the node append their logs.
func (n *Node) logPath() string { return filepath.Join(n.dir, "log") }

// Log returns the log of all processes of the node; empty before the first start.
func (n *Node) Log() string {
	text, _ := os.ReadFile(n.logPath()) // absent before the first start
	return string(text)
}

// GossipRelay returns the relay for gossip from this node to another one; nil for the node itself.
func (n *Node) GossipRelay(other int) *Relay { return n.gossipRelays[other] }

// VoterRelay returns the relay for calls from this node to a voter; nil for the node itself.
func (n *Node) VoterRelay(voter int) *Relay { return n.voterRelays[voter] }
