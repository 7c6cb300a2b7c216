// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Forwarder takes requests to servers.
type Forwarder interface {
	// Forward sends an attempt. It calls update for what the server reports of the running job, and
	// end exactly once.
	Forward(
		ctx context.Context,
		attempt *protocol.Attempt,
		update func(protocol.JobUpdate),
		end func(protocol.AttemptResult),
	)
	// Probe fetches the load report of the server at an address.
	Probe(ctx context.Context, address string) (protocol.LoadReport, error)
}

// EndpointSource is service discovery.
type EndpointSource interface {
	// Poll gives the complete endpoint list, or waits for its changes since a version.
	Poll(ctx context.Context, since int64, complete bool) (*protocol.EndpointList, error)
}

// QuotaSource holds this node's quotas of the budgets that all nodes use together. It is called
// under the router's lock and must not call back.
type QuotaSource interface {
	// Allow says whether so many units more may be used now. key is a server's address for
	// connections, a tenant's name for its attempts and empty for budgets that exist once; for the
	// rest it is a server's id.
	Allow(budget dispatch.Budget, key string, units float64) bool
	// Quota is this node's part of the whole budget, by the same key.
	Quota(budget dispatch.Budget, key string) float64
	// Reserve reserves what one attempt uses; nil: there is not enough, and it may not be sent.
	// slowStartShare is the part of the server's slow-start budget that it takes.
	Reserve(serverID, tenant string, isRetry bool, slowStartShare float64) Reservation
	// AllowPoll takes one poll of discovery out of its budget, at the moment of sending. An overdue
	// poll is always allowed.
	AllowPoll(overdue bool) bool
}

// Reservation is what one attempt uses of the budgets.
type Reservation interface {
	protocol.SendGate
	// Release returns all of it if the attempt was never sent. serverFinished says that nothing of
	// it runs any more, which also returns what is held only while a job may run.
	Release(serverFinished bool)
}
