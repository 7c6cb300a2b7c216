// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

// Status is what operators see of a node's part in sharing budgets.
type Status struct {
	Epoch       uint64                  `json:"epoch"`           // of the leader term that the lease is of
	LeaseMillis int64                   `json:"lease_ms"`        // until the lease expires; 0: it has none
	ClockRate   float64                 `json:"clock,omitempty"` // by the leader's clock, if beyond the margin
	Budgets     map[string]BudgetStatus `json:"budgets"`
	Members     []MemberStatus          `json:"members,omitempty"`
	Subset      *SubsetStatus           `json:"subset,omitempty"`
	Outliers    *OutlierStatus          `json:"signals,omitempty"`
	Voter       *VoterStatus            `json:"seat,omitempty"`
}

// SubsetStatus counts the servers that a node prefers to the others.
type SubsetStatus struct {
	Nodes    int `json:"nodes"`  // that servers were assigned to last
	Listed   int `json:"listed"` // servers
	Assigned int `json:"near"`   // of these, the servers assigned to this node
}

// BudgetStatus is one budget at one node, in units.
type BudgetStatus struct {
	Total           int64   `json:"whole"`
	Floor           int64   `json:"floor"`
	Quota           int64   `json:"mine"` // floor and lease, now
	Used            float64 `json:"used"` // the most for any one key
	Demand          float64 `json:"want"`
	Sent            int64   `json:"sent"`    // sends that were charged
	HeldBack        int64   `json:"lapsed"`  // sends held back, as the lease had expired or shrunk
	SentAfterExpiry int64   `json:"slipped"` // sends whose lease had expired, or that could not wait for one
}

// Status returns the state of this node's leases, and of its voter and gossip if it takes part in them.
func (f *Fleet) Status() *Status {
	out := &Status{}
	v, m := f.addLeaseStatus(out)
	if m != nil {
		out.Members = m.status()
	}
	if f.gossip != nil {
		out.Outliers = f.gossip.status()
	}
	if v != nil {
		out.Voter = v.status()
	}
	return out
}

// addLeaseStatus fills in what the lease is, and returns the voter and the membership of the same moment.
func (f *Fleet) addLeaseStatus(out *Status) (*voter, *membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	out.Epoch = f.holder.Epoch()
	out.LeaseMillis = max(f.holder.LeaseExpiry()-now, 0) / int64(time.Millisecond)
	out.ClockRate = f.holder.ClockRate()
	out.Budgets = make(map[string]BudgetStatus, len(f.quotas))
	for name, q := range f.quotas {
		out.Budgets[name] = BudgetStatus{
			Total:           q.total,
			Floor:           q.limits.Floor,
			Quota:           f.holder.Units(name, now),
			Used:            q.meter.Peak(now),
			Demand:          f.demand.LastEstimate(name),
			Sent:            q.sent,
			HeldBack:        q.heldBack,
			SentAfterExpiry: q.sentAfterExpiry,
		}
	}
	return f.voter, f.membership
}
