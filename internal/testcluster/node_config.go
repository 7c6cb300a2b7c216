// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"path/filepath"
)

// processLimits are what each process is told.
func (r *Cluster) processLimits() map[string]any {
	told := map[string]any{"sockets": cmp.Or(r.plan.Sockets, 400)}
	if r.plan.Cores > 0 {
		told["cores"] = r.plan.Cores
	}
	return told
}

// configuration is the node's file. Each node calls the seats through relays of its own.
func (n *Node) configuration() []byte {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	file := map[string]any{"name": n.Name, "listen": n.Listen, "admin_addr": n.Admin, "discovery": n.cluster.discovery.Addr().String(),
		"seed": fmt.Sprint(n.Index + 1), "limits": n.cluster.processLimits(), "known": n.cluster.endpointList(0), "settings": n.cluster.plan.Settings}
	if n.cluster.plan.Fleet != nil {
		section := map[string]any{}
		for key, value := range n.cluster.plan.Fleet {
			section[key] = value
		}
		var seats []map[string]any
		for i := range n.cluster.plan.Voters {
			address := n.VoterAddress
			if i != n.Index {
				address = n.voterRelays[i].Address
			}
			seats = append(seats, map[string]any{"name": n.cluster.Nodes[i].Name, "address": address})
		}
		if section["seats"] = seats; n.VoterAddress != "" {
			section["listen"] = n.VoterAddress
			if n.cluster.plan.Disk {
				section["dir"] = cmp.Or(n.VoterDir, filepath.Join(n.dir, "seat"))
			}
		}
		if n.cluster.plan.Gossip {
			routes := map[string]any{}
			for j, relay := range n.gossipRelays {
				if relay != nil {
					routes[n.cluster.Nodes[j].gossipAddress] = relay.Address
				}
			}
			section["gossip"], section["join"], section["routes"] = n.gossipAddress, []string{n.cluster.Nodes[0].gossipAddress, n.cluster.Nodes[1].gossipAddress}, routes
		}
		if n.ChangeFleet != nil {
			n.ChangeFleet(section)
		}
		file["fleet"] = section
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		n.cluster.Fatal(err)
	}
	return text
}
