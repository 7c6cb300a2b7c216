// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"maps"
	"slices"
)

// endpoint is a server of the endpoint list with its present address.
type endpoint struct {
	server  *dispatch.Server
	listed  protocol.Endpoint // the latest entry of discovery
	address string
}

// address is a server's present address. It is asked again when a connection is up, as the server
// may have moved meanwhile. Under mu.
func (r *Router) address(server *dispatch.Server) string {
	if e := r.endpoints[server.Tag]; e != nil {
		return e.address
	}
	return ""
}

// applyEndpoints hands a list to the module and keeps the addresses. Under mu.
func (r *Router) applyEndpoints(list *protocol.EndpointList) {
	var updates []dispatch.Endpoint
	for _, listed := range list.Endpoints {
		updates = append(updates, r.updateEndpoint(listed))
	}
	r.module.UpdateEndpoints(list.Complete, updates)
	// A change of one server must not cost a walk through thousands.
	if !list.Complete {
		for _, listed := range list.Endpoints {
			r.dropIfRemoved(listed.ID)
		}
		return
	}
	for id := range r.endpoints {
		r.dropIfRemoved(id)
	}
}

// updateEndpoint keeps what discovery says of a server, and gives the module's form of it.
func (r *Router) updateEndpoint(listed protocol.Endpoint) dispatch.Endpoint {
	e := r.endpoints[listed.ID]
	if e == nil {
		e = &endpoint{server: r.newServer(listed.ID)}
		r.endpoints[listed.ID] = e
		r.notifyEndpointsChanged()
	}
	// A removed server is listed without an address, and attempts that are out still compare theirs.
	if listed.Address != "" {
		e.address = listed.Address
	}
	e.listed = listed
	if !r.listedIDs[listed.ID] {
		r.listedIDs[listed.ID] = true
		r.listedOrder = append(r.listedOrder, listed.ID)
	}
	return r.moduleEndpoint(e)
}

func (r *Router) newServer(id string) *dispatch.Server {
	return &dispatch.Server{
		Tag:          id,
		Hash:         dispatch.HashName(id),
		Distance:     r.unplacedDistance,
		OutlierScore: r.outlierScores[id],
	}
}

// moduleEndpoint is an endpoint as the module is told of it: an excluded server drains, whatever
// discovery says.
func (r *Router) moduleEndpoint(e *endpoint) dispatch.Endpoint {
	state := e.listed.State
	if state == dispatch.Up && r.excluded[e.listed.ID] {
		state = dispatch.Draining
	}
	return dispatch.Endpoint{
		Server:      e.server,
		State:       state,
		Zone:        e.listed.Zone,
		MachineType: e.listed.MachineType,
		Cell:        e.listed.Cell,
		StartedAt:   e.listed.Started,
		Capacity:    e.listed.Capacity,
	}
}

// dropIfRemoved drops a server that the module has marked as removed.
func (r *Router) dropIfRemoved(id string) {
	if e := r.endpoints[id]; e != nil && e.server.State == dispatch.Removed {
		delete(r.endpoints, id)
		r.notifyEndpointsChanged()
	}
}

// notifyEndpointsChanged never blocks: one pending notice stands for all changes until it is received.
func (r *Router) notifyEndpointsChanged() {
	select {
	case r.endpointsChanged <- struct{}{}:
	default:
	}
}

// EndpointsChanged delivers a notice when servers were added to the list or removed since the last one.
func (r *Router) EndpointsChanged() <-chan struct{} { return r.endpointsChanged }

// Endpoints gives the listed servers in the order of their ids, as discovery described them last.
func (r *Router) Endpoints() (entries []protocol.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		entries = append(entries, r.endpoints[id].listed)
	}
	return entries
}

// IsListed says whether a server is in the list now.
func (r *Router) IsListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[id] != nil
}

// WasListed says whether a server is in the list or ever was.
func (r *Router) WasListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedIDs[id]
}

// EverListed gives the ids that were ever listed, in the order in which they first were, without
// the first skip of them.
func (r *Router) EverListed(skip int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.listedOrder[skip:])
}
