// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"

	"fernrail/internal/fleet/subset"
)

// Subset says which part of the executors each node uses, with the code that real ones use. What nodes know of each other is
// the same at all of them, some time late.
type Subset struct {
	Size   int  `toml:"size"` // 0: each uses all
	Cover  int  `toml:"cover"`
	Notice Span `toml:"notice"` // until all know that a node came or went
}

func (s *Subset) check(executors int) error {
	if s.Size < 0 || s.Size > executors || s.Size > 0 && (s.Cover < 1 || s.Notice <= 0) {
		return fmt.Errorf("subset: size %d of %d executors, cover %d, notice %d: out of bounds", s.Size, executors, s.Cover, s.Notice)
	}
	return nil
}

// regroup has executors divided anew once all know of a node that came or went.
func (w *world) regroup() {
	if w.s.Subset.Size == 0 || w.regroups {
		return
	}
	w.regroups = true
	w.after(int64(w.s.Subset.Notice), func() {
		w.regroups = false
		var nodes []string
		for _, n := range w.nodes {
			if n.up {
				nodes = append(nodes, n.name)
			}
		}
		executors := make([]subset.Server, len(w.executors))
		for i, e := range w.executors {
			executors[i] = subset.Server{Name: e.id, Zone: e.zone, MachineType: w.listing[i].MachineType, Size: float64(e.kind.Slots)}
		}
		d := subset.Assign(nodes, executors, subset.Settings{Size: w.s.Subset.Size, MinNodesPerServer: w.s.Subset.Cover})
		for _, n := range w.nodes {
			if n.up {
				far := d.Distances(n.name)
				for _, e := range n.fleet {
					e.Distance = far[e.Tag]
				}
			}
		}
	})
}

// look is between two counts of what connections there are.
const look = int64(250e6)

// open counts the connections that nodes hold, kept and in use, from time to time.
func (w *world) open() {
	w.looks++
	for _, n := range w.nodes {
		for _, kept := range n.idle {
			for _, till := range kept {
				if till >= w.now {
					w.held++
				}
			}
		}
		w.held += len(n.out)
	}
	w.after(look, w.open)
}
