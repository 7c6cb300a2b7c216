// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fernrail/dispatch"
)

// Router implements dispatch.QuotaSource for its module: it translates servers and tenants to the keys
// of its own QuotaSource. The module calls these methods with mu held.

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

// reserve reserves the budget units that an attempt uses. It returns nil if the quota is not sufficient.
func (r *Router) reserve(attempt *dispatch.Attempt) Reservation {
	isRetry := attempt.Number > 0
	tenant := r.tenantName(attempt.Request)
	return r.quotaSource.Reserve(attempt.Server.Tag, tenant, isRetry, attempt.SlowStartShare)
}

// tenantName returns the name of a request's tenant, or an empty string if the node has no tenants.
func (r *Router) tenantName(request *dispatch.Request) string {
	if request.Tenant >= len(r.settings.Tenants) {
		return ""
	}
	return r.settings.Tenants[request.Tenant].Tag
}

// quotaKey returns the address of a server for the connection budget and its id for every other budget.
func (r *Router) quotaKey(budget dispatch.Budget, server *dispatch.Server) string {
	if budget != dispatch.BudgetConnections {
		return server.Tag
	}
	if e := r.endpoints[server.Tag]; e != nil {
		return e.address
	}
	return server.Tag
}
