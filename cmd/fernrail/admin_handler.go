// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// errNoFleet is the reply to commands about budgets if the node shares none with other nodes.
var errNoFleet = errors.New(
	"this node shares no budgets: its configuration has no fleet section, or the settings disable it")

// adminHandler executes operators' commands. It implements admin.Handler.
type adminHandler struct{ node *node }

// Ready reports whether this process serves clients.
func (h *adminHandler) Ready() bool { return h.node.server.Ready() }

// Metrics returns the metrics of this process as JSON.
func (h *adminHandler) Metrics() ([]byte, error) {
	snapshot := h.node.counters.Snapshot()
	snapshot.ServersKnown, snapshot.ServersExcluded = h.node.router.ServerCounts()
	snapshot.MessageMemory, snapshot.ReadAheadMemory = h.node.connections.MemoryUse()
	if h.node.budgets != nil {
		snapshot.Fleet = h.node.budgets.Status()
	}
	return snapshot.JSON()
}

// Exclude stops new requests to a server in all processes of the node.
func (h *adminHandler) Exclude(id string) error { return h.node.processes.exclude(id) }

// Include ends an exclusion.
func (h *adminHandler) Include(id string) error { return h.node.processes.include(id) }

// Evacuate starts a drain of this process's clients.
func (h *adminHandler) Evacuate() error { return h.node.server.Drain() }

// Activate ends a drain.
func (h *adminHandler) Activate() error { return h.node.server.Activate() }

// FleetStatus returns the state of the budgets and nodes as JSON.
func (h *adminHandler) FleetStatus() ([]byte, error) {
	if h.node.budgets == nil {
		return nil, errNoFleet
	}
	status := h.node.budgets.Status()
	status.Subset = h.node.subset.Load()
	return json.Marshal(status)
}

// SetTotal changes the total of a budget, which all nodes share.
func (h *adminHandler) SetTotal(budget, units string) error {
	if h.node.budgets == nil {
		return errNoFleet
	}
	total, err := strconv.ParseInt(units, 10, 64)
	if err != nil {
		return fmt.Errorf("invalid number of units %.20q: want an integer", units)
	}
	return h.node.budgets.SetTotal(budget, total)
}
