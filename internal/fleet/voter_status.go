// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"maps"
	"strings"

	"fernrail/internal/fleet/budget"
)

// VoterStatus is the status of a voter for operators.
type VoterStatus struct {
	ID         string                  `json:"id"`
	State      string                  `json:"state"`   // of raft: follower, candidate, leader or shutdown
	IsLeader   bool                    `json:"grants"`  // whether it answers lease requests
	Leader     string                  `json:"granter"` // name of the leader's node; empty: unknown
	Epoch      uint64                  `json:"epoch"`   // of the leader term in the ledger
	Voters     []string                `json:"seats"`   // ids of the cluster's members
	Budgets    map[string]LedgerStatus `json:"budgets"`
	Holders    []HolderStatus          `json:"holders"`
	ClockRates map[string]float64      `json:"clocks,omitempty"` // by node, if beyond the margin
	Error      string                  `json:"fault,omitempty"`  // disk error, or why the latest term ended
}

// LedgerStatus is the status of one budget or partition in a voter's ledger, in units.
type LedgerStatus struct {
	Total       int64 `json:"whole"`
	Floors      int64 `json:"floors"` // of the maximum number of nodes
	Granted     int64 `json:"granted"`
	CoolingDown int64 `json:"resting"`
	Free        int64 `json:"free"`
}

// HolderStatus is the lease of one process in a voter's ledger.
type HolderStatus struct {
	Node   string           `json:"node"`
	Units  map[string]int64 `json:"units"` // leased units, by budget or partition
	Demand map[string]int64 `json:"want"`  // requested units, by budget or partition
}

// status returns the status of this voter.
func (v *voter) status() *VoterStatus {
	_, leader := v.raft.LeaderWithID()
	out := &VoterStatus{
		ID:      v.id,
		State:   strings.ToLower(v.raft.State().String()),
		Leader:  nodeName(string(leader)),
		Budgets: map[string]LedgerStatus{},
	}
	if members := v.raft.GetConfiguration(); members.Error() == nil {
		for _, server := range members.Configuration().Servers {
			out.Voters = append(out.Voters, string(server.ID))
		}
	}
	v.addLeaderStatus(out)
	v.state.withLedger(out.addLedger)
	return out
}

func (v *voter) addLeaderStatus(out *VoterStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out.IsLeader = v.serving
	out.ClockRates = maps.Clone(v.skewedClocks)
	out.Error = v.diskError
	// The reason why this voter's latest term ended is irrelevant while another voter is the leader.
	if out.Error == "" && (out.Leader == "" || out.Leader == v.name) {
		out.Error = v.termError
	}
}

func (s *VoterStatus) addLedger(ledger *budget.Ledger) {
	s.Epoch = ledger.Epoch
	for name, account := range ledger.Budgets {
		floors := ledger.Outstanding(name) - account.Granted
		s.Budgets[name] = LedgerStatus{
			Total:       account.Total,
			Floors:      floors,
			Granted:     account.Granted,
			CoolingDown: account.CoolingDownTotal,
			Free:        account.Total - floors - account.Granted - account.CoolingDownTotal,
		}
	}
	for _, name := range ledger.HolderNames() {
		lease := ledger.Holders[name]
		s.Holders = append(s.Holders, HolderStatus{
			Node:   lease.Node,
			Units:  maps.Clone(lease.Units),
			Demand: maps.Clone(lease.Demand),
		})
	}
}
