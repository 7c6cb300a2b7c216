// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"

	"fernrail/internal/fleet/subset"
)

// Subset says which part of the executors each node uses, with the code that real ones use. What nodes know of each other is
// the same at all of them, some time late.
type Subset struct {
	Size              int      `toml:"size"` // 0: each uses all
	MinNodesPerServer int      `toml:"cover"`
	NoticeDelay       Duration `toml:"notice"` // until all know that a node came or went
}

func (s *Subset) check(executors int) error {
	if s.Size < 0 || s.Size > executors || s.Size > 0 && (s.MinNodesPerServer < 1 || s.NoticeDelay <= 0) {
		return fmt.Errorf("subset: size %d of %d executors, cover %d, notice %d: out of bounds", s.Size, executors, s.MinNodesPerServer, s.NoticeDelay)
	}
	return nil
}

// scheduleSubsetUpdate has executors divided anew once all know of a node that came or went.
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
		executors := make([]subset.Server, len(w.servers))
		for i, e := range w.servers {
			executors[i] = subset.Server{Name: e.id, Zone: e.zone, MachineType: w.endpoints[i].MachineType, Size: float64(e.machineType.Slots)}
		}
		d := subset.Assign(nodes, executors, subset.Settings{Size: w.scenario.Subset.Size, MinNodesPerServer: w.scenario.Subset.MinNodesPerServer})
		for _, n := range w.nodes {
			if n.up {
				far := d.Distances(n.name)
				for _, e := range n.servers {
					e.Distance = far[e.Tag]
				}
			}
		}
	})
}

// connectionSampleInterval is between two counts of what connections there are.
const connectionSampleInterval = int64(250e6)

// sampleConnections counts the connections that nodes hold, kept and in use, from time to time.
func (w *world) sampleConnections() {
	w.connectionSamples++
	for _, n := range w.nodes {
		for _, kept := range n.idleUntil {
			for _, till := range kept {
				if till >= w.now {
					w.connectionSum++
				}
			}
		}
		w.connectionSum += len(n.attempts)
	}
	w.after(connectionSampleInterval, w.sampleConnections)
}
