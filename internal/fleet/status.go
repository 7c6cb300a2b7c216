// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

// Status is the status of a node's leases, voter and gossip for operators.
type Status struct {
	Epoch       uint64                  `json:"epoch"`           // of the leader term that granted the lease
	LeaseMillis int64                   `json:"lease_ms"`        // until the lease expires; 0: no lease
	ClockRate   float64                 `json:"clock,omitempty"` // by the leader's; 0: within the margin
	Budgets     map[string]BudgetStatus `json:"budgets"`
	Members     []MemberStatus          `json:"members,omitempty"`
	Subset      *SubsetStatus           `json:"subset,omitempty"`
	Outliers    *OutlierStatus          `json:"signals,omitempty"`
	Voter       *VoterStatus            `json:"seat,omitempty"`
}

// SubsetStatus counts the servers that are assigned to a node.
type SubsetStatus struct {
	Nodes    int `json:"nodes"`  // nodes in the latest assignment
	Listed   int `json:"listed"` // servers in the endpoint list
	Assigned int `json:"near"`   // listed servers that are assigned to this node
}

// BudgetStatus is the status of one budget or partition on one node. Amounts are in units.
type BudgetStatus struct {
	Total           int64   `json:"whole"`
	Floor           int64   `json:"floor"`
	Quota           int64   `json:"mine"` // current floor and lease
	Used            float64 `json:"used"` // highest usage of any single key
	Demand          float64 `json:"want"`
	Sent            int64   `json:"sent"`    // number of charged sends
	BlockedSends    int64   `json:"lapsed"`  // sends prevented, since the lease had expired or been reduced
	SentAfterExpiry int64   `json:"slipped"` // sends whose lease had expired, or that could not wait for one
}

// Status returns the status of this node's leases, and of its voter and gossip if this process runs them.
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

// addLeaseStatus adds the status of the lease and of the budgets. It returns the current voter and
// membership.
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
			BlockedSends:    q.blocked,
			SentAfterExpiry: q.sentAfterExpiry,
		}
	}
	return f.voter, f.membership
}
