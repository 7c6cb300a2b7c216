// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
)

// defaultSockets is the configured limit of file descriptors of a process if the plan sets none.
const defaultSockets = 400

// configuration returns the text of the node's configuration file.
func (n *Node) configuration() []byte {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	file := map[string]any{
		"name":       n.Name,
		"listen":     n.Listen,
		"admin_addr": n.Admin,
		"discovery":  c.discovery.Addr().String(),
		"seed":       fmt.Sprint(n.Index + 1),
		"limits":     c.processLimits(),
		"known":      c.endpointList(0),
		"settings":   c.plan.Settings,
	}
	if c.plan.Fleet != nil {
		file["fleet"] = n.fleetSection()
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		c.Fatal(err)
	}
	return text
}

// processLimits returns the limits section of each node's configuration.
func (c *Cluster) processLimits() map[string]any {
	limits := map[string]any{"sockets": cmp.Or(c.plan.Sockets, defaultSockets)}
	if c.plan.Cores > 0 {
		limits["cores"] = c.plan.Cores
	}
	return limits
}

// fleetSection returns the fleet section of the node's configuration.
func (n *Node) fleetSection() map[string]any {
	plan := n.cluster.plan
	section := maps.Clone(plan.Fleet)
	section["seats"] = n.voterList()
	if n.VoterAddress != "" {
		section["listen"] = n.VoterAddress
	}
	if n.VoterAddress != "" && plan.Disk {
		section["dir"] = cmp.Or(n.VoterDir, n.defaultVoterDir())
	}
	if plan.Gossip {
		first, second := n.cluster.Nodes[0], n.cluster.Nodes[1]
		section["gossip"] = n.gossipAddress
		section["join"] = []string{first.gossipAddress, second.gossipAddress}
		section["routes"] = n.gossipRoutes()
	}
	if n.ChangeFleet != nil {
		n.ChangeFleet(section)
	}
	return section
}

// defaultVoterDir returns the directory in which the node's voter stores its state, unless the test sets
// VoterDir.
func (n *Node) defaultVoterDir() string { return filepath.Join(n.dir, "seat") }

// voterList returns the names of all voters, each with the address of the relay through which this node
// calls it.
func (n *Node) voterList() []map[string]any {
	var voters []map[string]any
	for i := range n.cluster.plan.Voters {
		address := n.VoterAddress
		if i != n.Index {
			address = n.voterRelays[i].Address
		}
		voters = append(voters, map[string]any{"name": n.cluster.Nodes[i].Name, "address": address})
	}
	return voters
}

// gossipRoutes maps the gossip address of each other node to the relay through which this node reaches it.
func (n *Node) gossipRoutes() map[string]any {
	routes := map[string]any{}
	for i, relay := range n.gossipRelays {
		if relay != nil {
			routes[n.cluster.Nodes[i].gossipAddress] = relay.Address
		}
	}
	return routes
}
