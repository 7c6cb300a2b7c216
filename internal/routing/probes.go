// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// ProbeCapacity implements dispatch.Actions: it asks a server for its free capacity. A probe
// without an answer within the probe timeout counts as none. The probe runs on a goroutine of its
// own, which that timeout ends.
func (r *Router) ProbeCapacity(server *dispatch.Server) {
	address := r.address(server)
	go func() {
		report, err := r.probe(address)
		r.event(func() { r.module.CapacityReported(server, err == nil, report.FreeSlots, report.FreeMemory) })
	}()
}

func (r *Router) probe(address string) (report protocol.LoadReport, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.probeTimeout)
	defer cancel()
	panicked := r.recoverPanic(func() { report, err = r.forwarder.Probe(ctx, address) })
	if panicked != nil {
		return protocol.LoadReport{}, panicked
	}
	return report, err
}

// NotifyPeers implements dispatch.Actions. The protocol has no messages between nodes, and the
// settings tell the module so.
func (r *Router) NotifyPeers(*dispatch.Server, float64) {}
