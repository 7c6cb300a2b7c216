// SPDX-License-Identifier: Apache-2.0

package dispatch

// Budget is a limited resource that all nodes use together, each up to its quota.
type Budget int

// The budgets that nodes share.
const (
	BudgetRetries        Budget = iota // attempts of a request after its first
	BudgetConnections                  // new connections to a server
	BudgetSlowStart                    // work for a server in slow start; 1 is the total of a window
	BudgetTenantAttempts               // attempts in flight for one tenant
	BudgetPolls                        // polls of the endpoint list
	BudgetCount                        // the number of budgets
)

// QuotaSource provides this node's quotas of the shared budgets.
type QuotaSource interface {
	// Allow reports whether this node may use the given number of additional units of a budget now. A budget
	// that exists per server or per tenant is that of the server or of the request's tenant. Allow only
	// reads: the units are reserved when the attempt is sent.
	Allow(budget Budget, server *Server, request *Request, units float64) bool
	// Quota is this node's share of the total budget, from 0 to 1.
	Quota(budget Budget, server *Server) float64
}

// withinQuotas reports whether one more attempt of a request at a server fits into this node's quotas,
// except for the slow start budget.
func (s *Settings) withinQuotas(request *Request, server *Server) bool {
	quotas := s.Quotas
	if quotas == nil {
		return true
	}
	if len(request.Attempts) > 0 && !quotas.Allow(BudgetRetries, server, request, 1) {
		return false
	}
	return quotas.Allow(BudgetTenantAttempts, server, request, 1) &&
		quotas.Allow(BudgetConnections, server, request, 1)
}
