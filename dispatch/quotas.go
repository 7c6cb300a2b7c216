// SPDX-License-Identifier: Apache-2.0

package dispatch

// Budget is something that all nodes use together, each up to its quota.
type Budget int

// The budgets that nodes share.
const (
	BudgetRetries        Budget = iota // attempts of a request after its first
	BudgetConnections                  // new connections to a server
	BudgetSlowStart                    // the work that a server in slow start can take in a window, as a share of it
	BudgetTenantAttempts               // attempts in flight for one tenant
	BudgetPolls                        // of the endpoint list
	BudgetCount                        // the number of budgets
)

// QuotaSource tells how much of the shared budgets this node may use.
type QuotaSource interface {
	// Allow says whether this node may use so many units more of a budget now; of that server or of the
	// request's tenant where each has a budget of its own. It only reads: units are reserved as the attempt is
	// sent.
	Allow(budget Budget, server *Server, request *Request, units float64) bool
	// Quota is this node's share of the whole budget, from 0 to 1.
	Quota(budget Budget, server *Server) float64
}

// withinQuotas says whether one more attempt of a request at a server fits into this node's quotas, but for
// slow start.
func (s *Settings) withinQuotas(request *Request, server *Server) bool {
	quotas := s.Quotas
	if quotas == nil {
		return true
	}
	if len(request.Attempts) > 0 && !quotas.Allow(BudgetRetries, server, request, 1) {
		return false
	}
	return quotas.Allow(BudgetTenantAttempts, server, request, 1) && quotas.Allow(BudgetConnections, server, request, 1)
}
