// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fernrail/dispatch"
)

// The router is the dispatch.QuotaSource of its module: it gives servers and tenants the names
// under which its own QuotaSource knows them. The methods are called under mu.

// Allow implements dispatch.QuotaSource.
func (r *Router) Allow(
	budget dispatch.Budget, server *dispatch.Server, request *dispatch.Request, units float64,
) bool {
	switch budget {
	case dispatch.BudgetTenantAttempts:
		return r.quotaSource.Allow(budget, r.tenantName(request), units)
	case dispatch.BudgetRetries, dispatch.BudgetPolls:
		return r.quotaSource.Allow(budget, "", units)
	}
	return r.quotaSource.Allow(budget, r.quotaKey(budget, server), units)
}

// Quota implements dispatch.QuotaSource.
func (r *Router) Quota(budget dispatch.Budget, server *dispatch.Server) float64 {
	return r.quotaSource.Quota(budget, r.quotaKey(budget, server))
}

// reserve reserves what an attempt uses; nil: there is not enough of it.
func (r *Router) reserve(attempt *dispatch.Attempt) Reservation {
	isRetry := attempt.Number > 0
	tenant := r.tenantName(attempt.Request)
	return r.quotaSource.Reserve(attempt.Server.Tag, tenant, isRetry, attempt.SlowStartShare)
}

// tenantName is the name of a request's tenant; empty where the node has no tenants.
func (r *Router) tenantName(request *dispatch.Request) string {
	if request.Tenant >= len(r.settings.Tenants) {
		return ""
	}
	return r.settings.Tenants[request.Tenant].Tag
}

// quotaKey is the address of a server for connections and its id for all else.
func (r *Router) quotaKey(budget dispatch.Budget, server *dispatch.Server) string {
	if budget != dispatch.BudgetConnections {
		return server.Tag
	}
	if e := r.endpoints[server.Tag]; e != nil {
		return e.address
	}
	return server.Tag
}
