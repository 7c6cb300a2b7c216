// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"sync/atomic"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// sendGate implements protocol.SendGate: it admits the first byte of an attempt.
//
// Between the decision for an attempt and its first byte, the attempt may wait for a connection, the
// processor or a file descriptor. By then its server may be draining or removed, its request may have
// its response, or the servers may have forgotten an earlier attempt of the request. As no byte has been
// sent, the job has certainly not run and the attempt can be dropped.
type sendGate struct {
	router      *Router
	attempt     *dispatch.Attempt
	outgoing    *protocol.Attempt
	ctx         context.Context // of the attempt; ends when the attempt is canceled or times out
	reservation Reservation     // nil: the node uses no quotas
	sentAt      atomic.Int64    // when the first byte was admitted, by the node's clock, ns; 0: not admitted
}

const (
	// maxSettleWait bounds the wait for a client that has just sent much data.
	maxSettleWait = 50 * time.Millisecond
	// settlePollInterval is the time between two checks of such a client.
	settlePollInterval = time.Millisecond
)

// The reasons for which an attempt is not sent, as they appear in the log.
const (
	deniedByModule        = "request, server or group has changed"
	deniedByEnd           = "attempt has ended"
	deniedByTimeout       = "remaining time is overstated"
	deniedByClient        = "client has closed"
	deniedByUnknownClient = "client not verified"
	deniedByQuota         = "no quota"
)

// MaySend reports whether the first byte may be sent now, and logs why it may not.
func (g *sendGate) MaySend() bool {
	if reason := g.denial(); reason != "" {
		g.router.log.Debug().
			Str("id", g.attempt.Request.Tag).
			Int("number", g.attempt.Number).
			Str("executor", g.attempt.Server.Tag).
			Str("reason", reason).
			Int64("lag_ms", g.router.delay.Delay()/1e6).
			Msg("attempt not sent")
		return false
	}
	g.sentAt.Store(g.router.clock())
	return true
}

// denial returns the reason for which the first byte must not be sent now, or "" if it may be sent.
func (g *sendGate) denial() string {
	// On an overloaded node the notification that the client has closed waits behind other work. The
	// server must not be given a job without a client.
	switch g.settledClientState() {
	case protocol.ClientClosed:
		g.router.event(func() { g.router.clientClosed(g.attempt.Request) })
		return deniedByClient
	case protocol.ClientUnknown, protocol.ClientUnsettled:
		g.router.event(func() { g.router.clientUnverified(g.attempt.Request) })
		return deniedByUnknownClient
	}
	switch {
	case !g.moduleAllows():
		return deniedByModule
	case g.ctx.Err() != nil:
		return deniedByEnd
	case g.outgoing.TimeoutOverstated(time.Now()):
		return deniedByTimeout
	}
	if g.reservation != nil && !g.reservation.MaySend() {
		return deniedByQuota
	}
	return ""
}

// settledClientState returns what is known about the client, after a short wait if it has just sent much data. A
// client that never stops sending stays ClientUnsettled.
func (g *sendGate) settledClientState() protocol.ClientState {
	state := g.outgoing.Request.CurrentClientState()
	for start := time.Now(); state == protocol.ClientUnsettled && time.Since(start) < maxSettleWait; {
		time.Sleep(settlePollInterval)
		state = g.outgoing.Request.CurrentClientState()
	}
	return state
}

// moduleAllows reports whether the module still allows the attempt and the address of its server has
// not changed since the decision.
func (g *sendGate) moduleAllows() bool {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.module.Advance(g.router.clock())
	g.router.module.SetSchedulingDelay(g.router.delay.Delay())
	return g.router.module.MaySend(g.attempt) && g.router.address(g.attempt.Server) == g.outgoing.Address
}

// Sent records with the reservation that the first byte has been sent.
func (g *sendGate) Sent() {
	if g.reservation != nil {
		g.reservation.Sent()
	}
}
