// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// ProbeCapacity implements dispatch.Actions: it requests the free capacity of a server. A probe without
// a response within the probe timeout is reported as failed. The probe runs on its own goroutine, which
// the timeout ends.
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

// NotifyPeers implements dispatch.Actions. It does nothing: the protocol has no messages between nodes,
// and the settings do not allow the module to send any.
func (r *Router) NotifyPeers(*dispatch.Server, float64) {}
