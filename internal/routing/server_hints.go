// SPDX-License-Identifier: Apache-2.0

package routing

// This file passes information about servers that does not come from discovery to the module, and
// reports the outcomes of attempts to other components.

// SetDistances sets the distances of servers from this node; the module prefers near servers. A server
// that is listed later counts as far, with distance 1, until a later call places it; otherwise all nodes
// would use a new server at the same time.
func (r *Router) SetDistances(byID map[string]int) {
	r.event(func() {
		r.unplacedDistance = 1
		for id, e := range r.endpoints {
			if distance, placed := byID[id]; placed {
				e.server.Distance = distance
			}
		}
	})
}

// SetOutlierScores sets the outlier scores that other nodes agree on, by server id. Other servers have
// the score 0.
func (r *Router) SetOutlierScores(byID map[string]float64) {
	r.event(func() {
		r.outlierScores = byID
		for id, e := range r.endpoints {
			e.server.OutlierScore = byID[id]
		}
	})
}

// OnOutcome registers the callback that receives whether an attempt failed at its server. It must be
// called before Serve.
func (r *Router) OnOutcome(report func(serverID string, failed bool)) { r.onOutcome = report }
