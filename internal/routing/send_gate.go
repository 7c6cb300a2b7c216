// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"sync/atomic"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// sendGate implements protocol.SendGate: the connection asks it at the first byte of an attempt.
//
// An attempt that was decided may have waited since for a connection, the processor or a
// descriptor. Its server may be draining or gone by then, or its request answered. As nothing of it
// has been sent, it certainly has not run and can be dropped.
type sendGate struct {
	router      *Router
	attempt     *dispatch.Attempt
	outgoing    *protocol.Attempt
	ctx         context.Context // of the attempt; it ends when the attempt is canceled or timed out
	reservation Reservation     // nil: the attempt reserves nothing
	sentAt      atomic.Int64    // when the first byte was admitted, by the node's clock, ns; 0: it was not
}

// MaySend says whether the first byte may be sent now.
func (g *sendGate) MaySend() bool {
	if !g.moduleAllows() || g.ctx.Err() != nil || g.outgoing.TimeoutOverstated(time.Now()) {
		return false
	}
	// At an overloaded node the notice of a closed client waits behind other work, and a server
	// would work for nobody.
	if g.outgoing.Request.ClientGone() {
		g.router.event(func() { g.router.clientClosed(g.attempt.Request) })
		return false
	}
	if g.reservation != nil && !g.reservation.MaySend() {
		return false
	}
	g.sentAt.Store(g.router.clock())
	return true
}

// moduleAllows says whether the module still wants the attempt, and its server is still at the
// address that it goes to.
func (g *sendGate) moduleAllows() bool {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.module.SetSchedulingDelay(g.router.delay.Delay())
	return g.router.module.MaySend(g.attempt) && g.router.address(g.attempt.Server) == g.outgoing.Address
}

// Sent is called when the first byte has been sent.
func (g *sendGate) Sent() {
	if g.reservation != nil {
		g.reservation.Sent()
	}
}
