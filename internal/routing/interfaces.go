// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Forwarder sends attempts and probes to servers.
type Forwarder interface {
	// Forward sends an attempt. It calls update for each update of the job that the server reports, and
	// end exactly once with the result.
	Forward(
		ctx context.Context,
		attempt *protocol.Attempt,
		update func(protocol.JobUpdate),
		end func(protocol.AttemptResult),
	)
	// Probe fetches the load report of the server at an address.
	Probe(ctx context.Context, address string) (protocol.LoadReport, error)
}

// EndpointSource is a source of endpoint lists, such as service discovery.
type EndpointSource interface {
	// Poll returns the complete endpoint list, or waits for changes to it since a version.
	Poll(ctx context.Context, since int64, complete bool) (*protocol.EndpointList, error)
}

// QuotaSource provides this node's quotas of the budgets that all nodes share. Allow, Quota and Reserve are
// called with the router's lock held; no method may call the Router.
type QuotaSource interface {
	// Allow reports whether the given number of additional units may be used now. For the slow-start
	// budget, units is a fraction of the total. key is the address of a server for the connection budget,
	// the name of a tenant for the budget of its attempts, empty for a budget that exists once, and the id
	// of a server for every other budget.
	Allow(budget dispatch.Budget, key string, units float64) bool
	// Quota returns this node's quota of a budget as a fraction of the total, from 0 to 1. key is that of
	// Allow.
	Quota(budget dispatch.Budget, key string) float64
	// Reserve reserves the units that one attempt uses. It returns nil if the quota is not sufficient;
	// the attempt must not be sent then. slowStartFraction is the fraction of the server's slow-start
	// budget that the attempt uses.
	Reserve(serverID, tenant string, isRetry bool, slowStartFraction float64) Reservation
	// AllowPoll takes one poll of discovery from its budget, immediately before the poll is sent, and
	// reports whether it may be sent. An overdue poll is always allowed.
	AllowPoll(overdue bool) bool
}

// Reservation holds the budget units that one attempt uses.
type Reservation interface {
	protocol.SendGate
	// Release returns all units if the attempt was never sent. serverFinished means that the attempt no
	// longer runs at its server; the units that are reserved while a job may run are returned as well.
	Release(serverFinished bool)
}

// IDRegistry reserves request ids among all processes of the node.
type IDRegistry interface {
	// Reserve reserves an id for a request that will be open for at most the given time. It reports false
	// if another process has reserved the id, and an error if that cannot be determined.
	Reserve(id string, atMost time.Duration) (reserved bool, err error)
	// Release ends the reservation of a finished request's id after the given time.
	Release(id string, after time.Duration)
}
