// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"maps"
	"slices"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// endpoint is a server of the endpoint list with its current address.
type endpoint struct {
	server  *dispatch.Server
	listed  protocol.Endpoint // the latest entry from discovery
	address string
}

// address returns the current address of a server. It is checked again once a connection has been
// established, because the address may have changed in the meantime. The caller must hold r.mu.
func (r *Router) address(server *dispatch.Server) string {
	if e := r.endpoints[server.Tag]; e != nil {
		return e.address
	}
	return ""
}

// applyEndpoints passes a list to the module and updates the addresses. The caller must hold r.mu.
func (r *Router) applyEndpoints(list *protocol.EndpointList) {
	var updates []dispatch.Endpoint
	for _, listed := range list.Endpoints {
		updates = append(updates, r.updateEndpoint(listed))
	}
	r.module.UpdateEndpoints(list.Complete, updates)
	// A change of one server must not require a scan of thousands.
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

// updateEndpoint stores an entry from discovery and returns it in the form of the module.
func (r *Router) updateEndpoint(listed protocol.Endpoint) dispatch.Endpoint {
	e := r.endpoints[listed.ID]
	if e == nil {
		e = &endpoint{server: r.newServer(listed.ID)}
		r.endpoints[listed.ID] = e
		r.notifyEndpointsChanged()
	}
	// A removed server is listed without an address. Attempts in flight still compare their address
	// with the last known one.
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

// moduleEndpoint returns an endpoint in the form of the module. An excluded server that discovery lists
// as up is draining for the module.
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
		StartedAt:   e.listed.StartedAt,
		Capacity:    e.listed.Capacity,
	}
}

// dropIfRemoved deletes a server that the module has marked as removed.
func (r *Router) dropIfRemoved(id string) {
	if e := r.endpoints[id]; e != nil && e.server.State == dispatch.Removed {
		delete(r.endpoints, id)
		r.notifyEndpointsChanged()
	}
}

// notifyEndpointsChanged sends a notification to EndpointsChanged. It never blocks: one pending
// notification covers all changes until it is received.
func (r *Router) notifyEndpointsChanged() {
	select {
	case r.endpointsChanged <- struct{}{}:
	default:
	}
}

// EndpointsChanged returns a channel that delivers a notification after servers were added to the list
// or removed from it.
func (r *Router) EndpointsChanged() <-chan struct{} { return r.endpointsChanged }

// Endpoints returns the latest discovery entries of the listed servers in the order of their ids.
func (r *Router) Endpoints() (entries []protocol.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		entries = append(entries, r.endpoints[id].listed)
	}
	return entries
}

// IsListed reports whether a server is in the current list.
func (r *Router) IsListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[id] != nil
}

// WasListed reports whether a server is or ever was in the list.
func (r *Router) WasListed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedIDs[id]
}

// ListedIDs returns the ids that were ever listed, in the order of their first listing and without the
// first skip ids.
func (r *Router) ListedIDs(skip int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.listedOrder[skip:])
}
