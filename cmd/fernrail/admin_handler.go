// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// errNoFleet is the reply to commands about budgets where the node holds none with others.
var errNoFleet = errors.New(
	"this node holds no budgets with others: its configuration has no fleet section that is in force")

// adminHandler carries out the operators' commands. It implements admin.Handler.
type adminHandler struct{ node *node }

// Ready reports whether this process serves clients.
func (h *adminHandler) Ready() bool { return h.node.server.Ready() }

// Metrics returns the figures of this process as JSON.
func (h *adminHandler) Metrics() ([]byte, error) {
	snapshot := h.node.counters.Snapshot()
	snapshot.ServersKnown, snapshot.ServersExcluded = h.node.router.ServerCounts()
	if h.node.budgets != nil {
		snapshot.Fleet = h.node.budgets.Status()
	}
	return snapshot.JSON()
}

// Exclude keeps new requests from a server in all processes of the node.
func (h *adminHandler) Exclude(id string) error { return h.node.processes.exclude(id) }

// Include ends an exclusion.
func (h *adminHandler) Include(id string) error { return h.node.processes.include(id) }

// Evacuate starts a drain of this process's clients.
func (h *adminHandler) Evacuate() error { return h.node.server.Drain() }

// Activate ends a drain.
func (h *adminHandler) Activate() error { return h.node.server.Activate() }

// FleetStatus returns what nodes hold together as JSON.
func (h *adminHandler) FleetStatus() ([]byte, error) {
	if h.node.budgets == nil {
		return nil, errNoFleet
	}
	status := h.node.budgets.Status()
	status.Subset = h.node.subset.Load()
	return json.Marshal(status)
}

// SetTotal changes what all nodes have of a budget together.
func (h *adminHandler) SetTotal(budget, units string) error {
	if h.node.budgets == nil {
		return errNoFleet
	}
	total, err := strconv.ParseInt(units, 10, 64)
	if err != nil {
		return fmt.Errorf("%.20q is not a whole number", units)
	}
	return h.node.budgets.SetTotal(budget, total)
}
