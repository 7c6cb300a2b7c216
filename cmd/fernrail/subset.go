// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"

	"fernrail/internal/fleet"
	"fernrail/internal/fleet/subset"
)

// assignSubsets assigns subsets of the servers to the nodes again after each change of the known servers or
// nodes, until the context ends.
func (n *node) assignSubsets(ctx context.Context) {
	for {
		n.assignSubset()
		select {
		case <-ctx.Done():
			return
		case <-n.budgets.MembershipChanges():
		case <-n.router.EndpointsChanged():
		}
	}
}

// assignSubset assigns subsets to all known nodes and applies the one of this node.
func (n *node) assignSubset() {
	peers := n.budgets.Peers()
	assignment := subset.Assign(append(peers, n.config.Name), n.subsetServers(), *n.config.Fleet.Subset)
	distances := assignment.Distances(n.config.Name)
	n.router.SetDistances(distances)
	assigned := 0
	for _, distance := range distances {
		if distance == 0 {
			assigned++
		}
	}
	n.subset.Store(&fleet.SubsetStatus{Nodes: max(len(peers), 1), Listed: len(distances), Assigned: assigned})
}

// subsetServers returns the listed servers in the form that the assignment needs.
func (n *node) subsetServers() []subset.Server {
	endpoints := n.router.Endpoints()
	servers := make([]subset.Server, len(endpoints))
	for i, e := range endpoints {
		servers[i] = subset.Server{Name: e.ID, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell}
		// With live capacity, the listed units change with the load and do not measure the size of a server.
		if !n.config.Settings.LiveCapacity {
			servers[i].Size = e.Capacity
		}
	}
	return servers
}
