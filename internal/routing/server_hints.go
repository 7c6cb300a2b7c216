// SPDX-License-Identifier: Apache-2.0

package routing

// SetDistances has the module use executors by how far they are from this node; those listed later come after the near ones until they are
// placed. Danger: a new executor that all nodes use at once.
func (r *Router) SetDistances(far map[string]int) {
	r.event(func() {
		r.unplacedDistance = 1
		for id, m := range r.endpoints {
			if at, is := far[id]; is {
				m.server.Distance = at
			}
		}
	})
}

// OnOutcome has each job's end told: whether its executor failed it. It is called before the node serves.
func (r *Router) OnOutcome(tell func(executor string, failed bool)) { r.onOutcome = tell }

// SetOutlierScores has the module know how bad many nodes say that executors are; nothing is said of the rest.
func (r *Router) SetOutlierScores(bad map[string]float64) {
	r.event(func() {
		r.outlierScores = bad
		for id, m := range r.endpoints {
			m.server.OutlierScore = bad[id]
		}
	})
}
