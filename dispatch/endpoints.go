// SPDX-License-Identifier: Apache-2.0

package dispatch

// minCapacity is the lower bound on a server's capacity.
const minCapacity = 0.01

// UpdateEndpoints applies changes of the endpoint list, or a complete list. A complete list removes all
// servers that it does not contain.
func (d *Dispatcher) UpdateEndpoints(complete bool, endpoints []Endpoint) {
	d.polls.recordSuccess()
	if complete {
		for _, server := range d.servers.all {
			server.State = Removed
		}
	}
	removed := complete
	for i := range endpoints {
		d.updateEndpoint(&endpoints[i])
		removed = removed || endpoints[i].State == Removed
	}
	if removed {
		d.dropRemoved()
	}
	d.sumLoad()
}

// updateEndpoint applies one entry of the list.
func (d *Dispatcher) updateEndpoint(endpoint *Endpoint) {
	server := endpoint.Server
	if !server.listed || endpoint.StartedAt > server.startedAt {
		server.reliability = reliability{1, d.now}
		server.limit = initialLimit
		server.size = 1
	}
	d.servers.add(server)
	server.listed = true
	server.State = endpoint.State
	server.startedAt = endpoint.StartedAt
	server.zone, server.machineType, server.cell = endpoint.Zone, endpoint.MachineType, endpoint.Cell
	server.typeStats = d.machineTypeOf(endpoint)
	// With many nodes, each one observes only a small part of a server's load. Without this factor, the draw
	// would overload small and slow servers.
	server.spareFactor = 1
	if d.settings.LiveCapacity {
		server.spareFactor = max(endpoint.Capacity, minCapacity)
		server.size = max(endpoint.Capacity, server.size)
	}
	if d.settings.warmUpFactor(server, d.now) < 1 {
		server.turnUntil = 0
		d.inSlowStart.add(server)
	}
}

// machineTypeOf returns the statistics of the endpoint's machine type.
func (d *Dispatcher) machineTypeOf(endpoint *Endpoint) *machineTypeStats {
	stats := d.machineTypes[endpoint.MachineType]
	if stats == nil {
		stats = &machineTypeStats{required: d.settings.requiresMachineType(endpoint.MachineType)}
		d.machineTypes[endpoint.MachineType] = stats
	}
	return stats
}

// dropRemoved deletes the removed servers from all sets.
func (d *Dispatcher) dropRemoved() {
	d.servers.retain(func(server *Server) bool {
		server.listed = server.State != Removed
		if !server.listed {
			d.withIdleConnection.remove(server)
			d.inSlowStart.remove(server)
			d.lowLimit.remove(server)
		}
		return server.listed
	})
}

// sumLoad adds up the load of all servers if the endpoint list reports it. Otherwise the list is not
// traversed: it may have thousands of entries and change one at a time.
func (d *Dispatcher) sumLoad() {
	d.load = 0
	if !d.settings.LiveCapacity {
		return
	}
	for _, server := range d.servers.all {
		d.load += server.load()
	}
}

// load is the load of a server per unit of its size, from the endpoint list.
func (s *Server) load() float64 { return s.size/s.spareFactor - 1 }

// ServerCounts returns the number of listed servers, and the number of those that currently receive no
// requests: servers that are not up, and outliers while other servers remain.
func (d *Dispatcher) ServerCounts() (listed, excluded int) {
	outliers := 0
	for _, server := range d.servers.all {
		switch {
		case server.State != Up:
			excluded++
		case d.outlier(server):
			outliers++
		}
	}
	if outliers+excluded < len(d.servers.all) {
		excluded += outliers
	}
	return len(d.servers.all), excluded
}
