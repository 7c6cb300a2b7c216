// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Forwarder takes postings to executors.
type Forwarder interface {
	Forward(ctx context.Context, job *protocol.Attempt, heard func(protocol.JobUpdate), ended func(protocol.AttemptResult))
	Probe(ctx context.Context, address string) (protocol.LoadReport, error)
}

// EndpointSource asks discovery.
type EndpointSource interface {
	Poll(ctx context.Context, since int64, whole bool) (*protocol.EndpointList, error)
}

// QuotaSource is this node's share of what all nodes hold together. It is asked under the module's lock and never calls back.
type QuotaSource interface {
	// Allow says whether so many units more may be used now; key is an executor's address for connections, a tenant's name for its
	// jobs, an executor's name for the rest, and empty for what there is one share of.
	Allow(b dispatch.Budget, key string, units float64) bool
	// Quota is what this node has of all there is, by the same key.
	Quota(b dispatch.Budget, key string) float64
	// Reserve reserves what a posting takes; nil: there is none left, and it may not go out.
	Reserve(executor, tenant string, again bool, cold float64) Reservation
	// AllowPoll takes one call for the list at the moment at which it would be sent; one that is overdue goes in any case.
	AllowPoll(overdue bool) bool
}

// Reservation is what one posting takes. End gives it back if it never left, and where its executor said that it is over, what is
// taken only as long as a job may run.
type Reservation interface {
	protocol.SendGate
	Release(over bool)
}
