// SPDX-License-Identifier: Apache-2.0

package fleet

// Status is what operators see of a node's part.
type Status struct {
	Epoch       uint64                  `json:"epoch"`
	LeaseMillis int64                   `json:"lease_ms"`        // what is left of it; 0: the node lives on its floors
	ClockRate   float64                 `json:"clock,omitempty"` // this node's rate by the granter's, where that is beyond the margin
	Budgets     map[string]BudgetStatus `json:"budgets"`
	Members     []MemberStatus          `json:"members,omitempty"`
	Subset      *SubsetStatus           `json:"subset,omitempty"`
	Outliers    *OutlierStatus          `json:"signals,omitempty"`
	Voter       *VoterStatus            `json:"seat,omitempty"`
}

// SubsetStatus are of the executors that a node uses before the others.
type SubsetStatus struct {
	Nodes    int `json:"nodes"` // among which executors were divided last
	Listed   int `json:"listed"`
	Assigned int `json:"near"` // of these, those that the node is to use
}

// BudgetStatus is one budget at one node.
type BudgetStatus struct {
	Total           int64   `json:"whole"`
	Floor           int64   `json:"floor"`
	Quota           int64   `json:"mine"` // floor and lease, now
	Used            float64 `json:"used"` // of it, the most by any one executor
	Demand          float64 `json:"want"`
	Sent            int64   `json:"sent"`
	HeldBack        int64   `json:"lapsed"`
	SentAfterExpiry int64   `json:"slipped"`
}

// Status gives the figures as they stand.
func (f *Fleet) Status() *Status {
	out := &Status{Budgets: map[string]BudgetStatus{}}
	f.mu.Lock()
	now := f.clock()
	out.Epoch, out.LeaseMillis = f.holder.Epoch(), max(f.holder.LeaseExpiry()-now, 0)/1e6
	out.ClockRate = f.holder.ClockRate()
	for name, s := range f.quotas {
		out.Budgets[name] = BudgetStatus{s.total, s.limits.Floor, f.holder.Units(name, now), s.meter.Peak(now), f.demand.LastEstimate(name), s.sent, s.heldBack, s.sentAfterExpiry}
	}
	seat, members := f.voter, f.membership
	f.mu.Unlock()
	if members != nil {
		out.Members = members.status()
	}
	if f.gossip != nil {
		out.Outliers = f.gossip.status()
	}
	if seat != nil {
		out.Voter = seat.status()
	}
	return out
}
