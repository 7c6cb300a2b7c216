// SPDX-License-Identifier: Apache-2.0

package dispatch

// UpdateEndpoints takes the list or changes to it; whole says that absent executors are gone.
func (d *Dispatcher) UpdateEndpoints(whole bool, members []Endpoint) {
	d.failedPolls, d.lastPollCost = 0, 0
	gone := whole
	for i := 0; whole && i < len(d.servers.servers); i++ {
		d.servers.servers[i].State = Removed
	}
	for _, m := range members {
		server := m.Server
		if !server.listed || m.StartedAt > server.startedAt {
			server.reliability = reliability{1, d.now}
			server.limit, server.size = initialLimit, 1
		}
		d.servers.add(server)
		if d.machineTypes[m.MachineType] == nil {
			d.machineTypes[m.MachineType] = &machineTypeStats{required: d.settings.requiresMachineType(m.MachineType)}
		}
		// Danger: of many nodes each sees next to nothing of load; the draw alone fills the small and the slow.
		if server.spareFactor = 1; d.settings.LiveCapacity {
			server.spareFactor, server.size = max(m.Capacity, 0.01), max(m.Capacity, server.size)
		}
		server.listed, server.State, server.startedAt, server.typeStats = true, m.State, m.StartedAt, d.machineTypes[m.MachineType]
		server.zone, server.machineType, server.cell = m.Zone, m.MachineType, m.Cell
		if gone = gone || m.State == Removed; d.settings.warmUpFactor(server, d.now) < 1 {
			server.turnUntil = 0
			d.inSlowStart.add(server)
		}
	}
	if gone {
		d.removeGone()
	}
	// Danger: a list of thousands that is walked at each change of one of them. Load is told where weights are live.
	d.load = 0
	for i := 0; d.settings.LiveCapacity && i < len(d.servers.servers); i++ {
		server := d.servers.servers[i]
		d.load += server.size/server.spareFactor - 1
	}
}

// removeGone drops the servers that are gone.
func (d *Dispatcher) removeGone() {
	left := d.servers.servers[:0]
	for _, server := range d.servers.servers {
		if server.listed = server.State != Removed; server.listed {
			left = append(left, server)
			server.indexInAll = len(left)
		} else {
			server.indexInAll = 0
			d.withIdleConnection.remove(server)
			d.inSlowStart.remove(server)
			d.lowLimit.remove(server)
		}
	}
	clear(d.servers.servers[len(left):])
	d.servers.servers = left
}

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
