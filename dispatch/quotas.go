// SPDX-License-Identifier: Apache-2.0

package dispatch

// Budget is something that all nodes use together, each its share.
type Budget int

const (
	BudgetRetries        Budget = iota // second and later postings
	BudgetConnections                  // new connections to an executor
	BudgetSlowStart                    // the work that a cold executor bears in a window, as a part of it
	BudgetTenantAttempts               // postings of one tenant that are out
	BudgetPolls                        // for the list
	BudgetCount
)

// QuotaSource tells whether this node may use so much more of a budget now, for an executor or a txn's tenant where each has its
// own. It is a read: what counts is taken at the moment of sending.
type QuotaSource interface {
	Allow(b Budget, e *Server, t *Request, units float64) bool
	// Quota is what this node has of all there is.
	Quota(b Budget, e *Server) float64
}

// withinQuotas says whether one more posting of a txn to an executor that is warm fits into this node's shares.
func (t *Settings) withinQuotas(request *Request, server *Server) bool {
	s := t.Quotas
	return s == nil || (len(request.Attempts) == 0 || s.Allow(BudgetRetries, server, request, 1)) && s.Allow(BudgetTenantAttempts, server, request, 1) && s.Allow(BudgetConnections, server, request, 1)
}
