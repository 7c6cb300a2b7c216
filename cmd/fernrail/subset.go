// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"

	"fernrail/internal/fleet"
	"fernrail/internal/fleet/subset"
)

// assignSubsets divides the servers among the nodes whenever either change, as far as this node knows of them, until
// the context ends.
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

// assignSubset divides the servers among the nodes once.
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

// subsetServers returns the listed servers as they are divided.
func (n *node) subsetServers() []subset.Server {
	endpoints := n.router.Endpoints()
	servers := make([]subset.Server, len(endpoints))
	for i, e := range endpoints {
		servers[i] = subset.Server{Name: e.ID, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell}
		// Where the list's units move with the load, they are no size.
		if !n.config.Settings.LiveCapacity {
			servers[i].Size = e.Capacity
		}
	}
	return servers
}
