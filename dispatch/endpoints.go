// SPDX-License-Identifier: Apache-2.0

package dispatch

// minCapacity is the least capacity that a server counts with.
const minCapacity = 0.01

// UpdateEndpoints applies changes of the endpoint list, or a complete list: servers that are not in it are gone
// then.
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
	// Each of many nodes sees next to nothing of a server's load: without this factor the draw would fill the
	// small and the slow.
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

// machineTypeOf returns what is known of the endpoint's machine type.
func (d *Dispatcher) machineTypeOf(endpoint *Endpoint) *machineTypeStats {
	stats := d.machineTypes[endpoint.MachineType]
	if stats == nil {
		stats = &machineTypeStats{required: d.settings.requiresMachineType(endpoint.MachineType)}
		d.machineTypes[endpoint.MachineType] = stats
	}
	return stats
}

// dropRemoved forgets the servers that are gone.
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

// sumLoad adds up the load of all servers where the list tells it. Elsewhere a list of thousands is not walked
// at each change of one.
func (d *Dispatcher) sumLoad() {
	d.load = 0
	if !d.settings.LiveCapacity {
		return
	}
	for _, server := range d.servers.all {
		d.load += server.load()
	}
}

// load is what a server holds for each unit of its size, by the endpoint list.
func (s *Server) load() float64 { return s.size/s.spareFactor - 1 }

// ServerCounts counts the listed servers, and those of them that no request is sent to now: those that drain,
// and the outliers while others remain.
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
