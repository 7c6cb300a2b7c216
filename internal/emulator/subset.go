// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"

	"fernrail/internal/fleet/subset"
)

// Subset configures the subset of servers that each node uses; the subsets are assigned by the code that real
// nodes run. All nodes have the same view of the other nodes, after a delay.
type Subset struct {
	Size              int      `toml:"size"` // servers that a node uses; 0: all
	MinNodesPerServer int      `toml:"cover"`
	NoticeDelay       Duration `toml:"notice"` // until all nodes have noticed a node's start or stop
}

func (s *Subset) check(servers int) error {
	if s.Size < 0 || s.Size > servers || s.Size > 0 && (s.MinNodesPerServer < 1 || s.NoticeDelay <= 0) {
		return fmt.Errorf("subset: size %d of %d servers, cover %d, notice %d ns: out of bounds",
			s.Size, servers, s.MinNodesPerServer, s.NoticeDelay)
	}
	return nil
}

// scheduleSubsetUpdate assigns new subsets once all nodes have noticed a node's start or stop.
func (w *world) scheduleSubsetUpdate() {
	if w.scenario.Subset.Size == 0 || w.subsetUpdatePending {
		return
	}
	w.subsetUpdatePending = true
	w.after(int64(w.scenario.Subset.NoticeDelay), func() {
		w.subsetUpdatePending = false
		var nodes []string
		for _, n := range w.nodes {
			if n.up {
				nodes = append(nodes, n.name)
			}
		}
		servers := make([]subset.Server, len(w.servers))
		for i, server := range w.servers {
			servers[i] = subset.Server{Name: server.id, Zone: server.zone, MachineType: w.endpoints[i].MachineType,
				Size: float64(server.machineType.Slots)}
		}
		assignment := subset.Assign(nodes, servers, subset.Settings{Size: w.scenario.Subset.Size,
			MinNodesPerServer: w.scenario.Subset.MinNodesPerServer})
		for _, n := range w.nodes {
			if n.up {
				distances := assignment.Distances(n.name)
				for _, server := range n.servers {
					server.Distance = distances[server.Tag]
				}
			}
		}
	})
}

// connectionSampleInterval is the time between two samples of the number of open connections, in nanoseconds.
const connectionSampleInterval = int64(250e6)

// sampleConnections periodically counts the nodes' connections, idle and in use.
func (w *world) sampleConnections() {
	w.connectionSamples++
	for _, n := range w.nodes {
		for _, idle := range n.idleUntil {
			for _, until := range idle {
				if until >= w.now {
					w.connectionSum++
				}
			}
		}
		w.connectionSum += len(n.attempts)
	}
	w.after(connectionSampleInterval, w.sampleConnections)
}
