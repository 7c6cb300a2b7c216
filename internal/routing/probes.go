// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// ProbeCapacity asks an executor for its load. What does not come while the longest probe may last tells of no room.
func (r *Router) ProbeCapacity(e *dispatch.Server) {
	address := r.address(e)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.probeTimeout)
		defer cancel()
		var load protocol.LoadReport
		var err error
		if fault := r.recoverPanic(func() { load, err = r.forwarder.Probe(ctx, address) }); fault != nil {
			err = fault
		}
		r.event(func() { r.module.CapacityReported(e, err == nil, load.FreeSlots, load.FreeMemory) })
	}()
}

// NotifyPeers implements dispatch.Door. The protocol has no messages between nodes, so the module is told that there are none.
func (r *Router) NotifyPeers(*dispatch.Server, float64) {}
