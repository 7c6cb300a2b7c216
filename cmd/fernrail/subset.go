// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"

	"fernrail/internal/fleet"
	"fernrail/internal/fleet/subset"
)

// divide keeps executors divided among the nodes that are there, as far as this one knows of either.
func (d *desk) divide(ctx context.Context) {
	for {
		nodes, entries := d.share.Peers(), d.node.Endpoints()
		executors := make([]subset.Server, len(entries))
		for i, e := range entries {
			executors[i] = subset.Server{Name: e.ID, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell}
			// Where the list tells of load its units move with that, and are no size.
			if !d.config.Settings.LiveCapacity {
				executors[i].Size = e.Capacity
			}
		}
		far, near := subset.Assign(append(nodes, d.config.Name), executors, *d.config.Fleet.Subset).Distances(d.config.Name), 0
		for _, at := range far {
			if at == 0 {
				near++
			}
		}
		d.node.SetDistances(far)
		d.subset.Store(&fleet.SubsetStatus{Nodes: max(len(nodes), 1), Listed: len(far), Assigned: near})
		select {
		case <-ctx.Done():
			return
		case <-d.share.MembershipChanges():
		case <-d.node.EndpointsChanged():
		}
	}
}
