// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"maps"
	"strings"
)

// VoterStatus is what operators see of a seat.
type VoterStatus struct {
	ID         string                  `json:"id"`
	State      string                  `json:"state"`
	IsLeader   bool                    `json:"grants"`
	Leader     string                  `json:"granter"`
	Epoch      uint64                  `json:"epoch"`
	Voters     []string                `json:"seats"`
	Budgets    map[string]LedgerStatus `json:"budgets"`
	Holders    []HolderStatus          `json:"holders"`
	ClockRates map[string]float64      `json:"clocks,omitempty"` // beyond the margin, their rates by this seat's
	Error      string                  `json:"fault,omitempty"`
}

// LedgerStatus is one budget in a seat's books.
type LedgerStatus struct {
	Total       int64 `json:"whole"`
	Floors      int64 `json:"floors"`
	Granted     int64 `json:"granted"`
	CoolingDown int64 `json:"resting"`
	Free        int64 `json:"free"`
}

// HolderStatus is one process in a seat's books.
type HolderStatus struct {
	Node   string           `json:"node"`
	Units  map[string]int64 `json:"units"`
	Demand map[string]int64 `json:"want"`
}

func (s *voter) status() *VoterStatus {
	_, granter := s.raft.LeaderWithID()
	out := &VoterStatus{ID: s.id, State: strings.ToLower(s.raft.State().String()), Leader: nodeName(string(granter)), Budgets: map[string]LedgerStatus{}}
	if c := s.raft.GetConfiguration(); c.Error() == nil {
		for _, x := range c.Configuration().Servers {
			out.Voters = append(out.Voters, string(x.ID))
		}
	}
	s.mu.Lock()
	out.IsLeader, out.Error, out.ClockRates = s.serving, s.diskError, maps.Clone(s.skewedClocks)
	if out.Error == "" && (out.Leader == "" || out.Leader == s.name) {
		out.Error = s.termError // why the last reign ended; of no interest once another one grants
	}
	s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	b := s.state.ledger
	out.Epoch = b.Epoch
	for name, a := range b.Budgets {
		floors := b.Outstanding(name) - a.Granted
		out.Budgets[name] = LedgerStatus{a.Total, floors, a.Granted, a.CoolingDownTotal, a.Total - floors - a.Granted - a.CoolingDownTotal}
	}
	for _, name := range b.HolderNames() {
		h := b.Holders[name]
		out.Holders = append(out.Holders, HolderStatus{h.Node, maps.Clone(h.Units), maps.Clone(h.Demand)})
	}
	return out
}
