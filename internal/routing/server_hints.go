// SPDX-License-Identifier: Apache-2.0

package routing

// This file hands the module what is known of servers from elsewhere than discovery, and tells
// others what this node saw of them.

// SetDistances has the module prefer servers by how far they are from this node. Servers that are
// listed later count as far until they are placed; otherwise all nodes would use a new server at
// once.
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

// SetOutlierScores hands the module the outlier scores that other nodes agree on. Servers that are
// not named have none.
func (r *Router) SetOutlierScores(byID map[string]float64) {
	r.event(func() {
		r.outlierScores = byID
		for id, e := range r.endpoints {
			e.server.OutlierScore = byID[id]
		}
	})
}

// OnOutcome registers who is told how each attempt went at its server. It must be called before Serve.
func (r *Router) OnOutcome(report func(serverID string, failed bool)) { r.onOutcome = report }
