// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fernrail/dispatch"
)

// Allow implements dispatch.Shares, under the lock as well.
func (r *Router) Allow(b dispatch.Budget, e *dispatch.Server, t *dispatch.Request, units float64) bool {
	switch b {
	case dispatch.BudgetTenantAttempts:
		return r.quotaSource.Allow(b, r.tenantName(t), units)
	case dispatch.BudgetRetries, dispatch.BudgetPolls:
		return r.quotaSource.Allow(b, "", units)
	}
	return r.quotaSource.Allow(b, r.quotaKey(b, e), units)
}

// Quota implements dispatch.Shares, under the lock as well.
func (r *Router) Quota(b dispatch.Budget, e *dispatch.Server) float64 {
	return r.quotaSource.Quota(b, r.quotaKey(b, e))
}

// tenantName is the name of a txn's; empty where there are none.
func (r *Router) tenantName(t *dispatch.Request) string {
	if t.Tenant >= len(r.settings.Tenants) {
		return ""
	}
	return r.settings.Tenants[t.Tenant].Tag
}

func (r *Router) quotaKey(b dispatch.Budget, e *dispatch.Server) string {
	if m := r.endpoints[e.Tag]; b == dispatch.BudgetConnections && m != nil {
		return m.address
	}
	return e.Tag
}
