// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"maps"
	"slices"
)

// endpoint is an executor of the list with its present address.
type endpoint struct {
	server  *dispatch.Server
	listed  protocol.Endpoint // what discovery said last
	address string
}

// address is an executor's present address. Under mu.
// Danger: one that came back elsewhere while a connection to where it was is still under way.
func (r *Router) address(e *dispatch.Server) string {
	if m := r.endpoints[e.Tag]; m != nil {
		return m.address
	}
	return ""
}

// applyEndpoints hands the list to the module and keeps the addresses.
func (r *Router) applyEndpoints(l *protocol.EndpointList) {
	var members []dispatch.Endpoint
	for _, e := range l.Endpoints {
		m := r.endpoints[e.ID]
		if m == nil {
			m = &endpoint{server: &dispatch.Server{Tag: e.ID, Hash: dispatch.HashName(e.ID), Distance: r.unplacedDistance, OutlierScore: r.outlierScores[e.ID]}}
			r.endpoints[e.ID] = m
			r.notifyEndpointsChanged()
		}
		if e.Address != "" {
			m.address = e.Address
		}
		if m.listed = e; !r.listedIDs[e.ID] {
			r.listedIDs[e.ID], r.listedOrder = true, append(r.listedOrder, e.ID)
		}
		members = append(members, r.moduleEndpoint(m))
	}
	r.module.UpdateEndpoints(l.Complete, members)
	// Danger: a map of thousands that is walked at each change of one of them.
	if !l.Complete {
		for _, e := range l.Endpoints {
			r.dropIfRemoved(e.ID)
		}
		return
	}
	for id := range r.endpoints {
		r.dropIfRemoved(id)
	}
}

// dropIfRemoved drops a server that is gone.
func (r *Router) dropIfRemoved(id string) {
	if m := r.endpoints[id]; m != nil && m.server.State == dispatch.Removed {
		delete(r.endpoints, id)
		r.notifyEndpointsChanged()
	}
}

func (r *Router) notifyEndpointsChanged() {
	select {
	case r.endpointsChanged <- struct{}{}:
	default:
	}
}

// EndpointsChanged comes when other executors are listed than were when it came last.
func (r *Router) EndpointsChanged() <-chan struct{} { return r.endpointsChanged }

// Endpoints are the executors that are listed, as discovery told them last.
func (r *Router) Endpoints() (entries []protocol.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		entries = append(entries, r.endpoints[id].listed)
	}
	return entries
}

// moduleEndpoint is an executor as the module is told of it: a banned one drains, whatever discovery says.
func (r *Router) moduleEndpoint(m *endpoint) dispatch.Endpoint {
	e := &m.listed
	state := e.State
	if state == dispatch.Up && r.excluded[e.ID] {
		state = dispatch.Draining
	}
	return dispatch.Endpoint{Server: m.server, State: state, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, StartedAt: e.Started, Capacity: e.Capacity}
}

// IsListed says whether an executor is in the list now.
func (r *Router) IsListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[id] != nil
}

// WasListed says whether an executor is in the list or ever was.
func (r *Router) WasListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedIDs[id]
}

// EverListed gives the executors that were ever listed, but for the first so many.
func (r *Router) EverListed(but int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.listedOrder[but:])
}
