// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// ServerCounts counts the executors of the list, and those of them that a draw leaves out now: what drains, and the sick
// while others remain.
func (d *Dispatcher) ServerCounts() (known, excluded int) {
	sick := 0
	for _, server := range d.servers.servers {
		switch {
		case server.State != Up:
			excluded++
		case d.outlier(server):
			sick++
		}
	}
	if sick+excluded < len(d.servers.servers) {
		excluded += sick
	}
	return len(d.servers.servers), excluded
}

// SetSlowStartOwner says whether this node's part of cold executors' budgets is this module's to use. Taken over from another process
// of the node it counts as one that knows nothing of what was sent before.
func (d *Dispatcher) SetSlowStartOwner(yes bool) {
	if d.slowStartOwnerSince = math.MaxInt64; yes {
		d.slowStartOwnerSince = d.now
	}
}
