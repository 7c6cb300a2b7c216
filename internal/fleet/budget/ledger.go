// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	// initialCooldown is the number of the cooldown with which a new ledger begins. It lasts one lease
	// duration longer than other cooldowns.
	initialCooldown = 0
	// maxFirstAttempts bounds the number of first attempts per window that is accepted from one node.
	maxFirstAttempts = 1 << 24
)

// Ledger records the granted leases. It is replicated: applying the same entries in the same order yields the
// same ledger on every voter. Only Apply changes it.
type Ledger struct {
	Agreement Agreement           `json:"pact"`
	ClusterID string              `json:"group"` // random, set by the first leader term
	Epoch     uint64              `json:"epoch"` // of the current leader term
	Budgets   map[string]*Account `json:"budgets"`
	Holders   map[string]*Lease   `json:"holders"`
}

// Account is the state of one budget or partition, in units.
type Account struct {
	// MaxTotal is the total set by the agreement or by operators.
	MaxTotal int64 `json:"most"`
	// Total is the number of units for leases and floors together. After the total was lowered, more units
	// may remain granted until leases expire.
	Total   int64 `json:"whole"`
	Granted int64 `json:"granted"` // by leases that are in force or may still be
	// CoolingDown is the number of returned units that may still count in their former holder's window, by
	// cooldown number.
	CoolingDown      map[int64]int64 `json:"resting"`
	CoolingDownTotal int64           `json:"pause"`
	LatestCooldown   int64           `json:"rested"` // the number of the latest cooldown
}

// Lease records the units granted to one process. Maps are by budget or partition.
type Lease struct {
	Node          string           `json:"node"`
	Seq           uint64           `json:"seq"`   // of its latest request
	FirstAttempts int64            `json:"first"` // reported by its latest request
	Units         map[string]int64 `json:"units"`
	Demand        map[string]int64 `json:"want"`
}

// StaleEpochError is returned for an entry of a leader term that has ended.
type StaleEpochError struct {
	Epoch, Current uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is over, the current one is %d", e.Epoch, e.Current)
}

// NewLedger returns an empty ledger. The entry that begins the first leader term sets its agreement.
func NewLedger() *Ledger {
	return &Ledger{Budgets: map[string]*Account{}, Holders: map[string]*Lease{}}
}

// Apply applies one entry and returns the response to each of its requests. The response to a late or
// duplicate request is nil.
func (l *Ledger) Apply(entry *LogEntry) ([]*LeaseResponse, error) {
	if entry.NewTerm {
		return nil, l.beginTerm(entry)
	}
	// A leader that was paused may continue with earlier decisions after another term has begun.
	if entry.Epoch != l.Epoch {
		return nil, &StaleEpochError{Epoch: entry.Epoch, Current: l.Epoch}
	}
	l.setTotals(entry.Totals)
	l.releaseCooldowns(entry.ReleasedAfterCooldown)
	l.expire(entry.Expired)
	responses := make([]*LeaseResponse, len(entry.Requests))
	for i := range entry.Requests {
		if l.recordRequest(&entry.Requests[i]) {
			responses[i] = l.newResponse(entry.Requests[i].Seq)
		}
	}
	l.adjustTotals()
	for _, name := range slices.Sorted(maps.Keys(l.Budgets)) {
		l.grant(name, entry.Requests, responses)
	}
	return responses, nil
}

func (l *Ledger) beginTerm(entry *LogEntry) error {
	if entry.Epoch <= l.Epoch {
		return &StaleEpochError{Epoch: entry.Epoch, Current: l.Epoch}
	}
	if l.Epoch == 0 && entry.Agreement != nil {
		l.initialize(entry.Agreement)
		l.ClusterID = entry.ClusterID
	}
	l.Epoch = entry.Epoch
	return nil
}

// initialize creates the accounts. All units begin in a cooldown: an earlier cluster, of which no voter has
// kept any state, may have granted them a moment ago.
func (l *Ledger) initialize(agreement *Agreement) {
	l.Agreement = *agreement
	for budget, limits := range agreement.Budgets {
		pool := limits.Total - limits.Floor*agreement.MaxNodes
		for _, name := range agreement.PartitionNames(budget) {
			l.Budgets[name] = &Account{
				MaxTotal:         limits.Total,
				Total:            limits.Total,
				CoolingDown:      map[int64]int64{initialCooldown: pool},
				CoolingDownTotal: pool,
			}
		}
	}
}

// setTotals applies the operators' totals. It skips unknown budgets and totals that do not cover the floors
// and the reserve.
func (l *Ledger) setTotals(totals map[string]int64) {
	for budget, total := range totals {
		limits, known := l.Agreement.Budgets[budget]
		if !known || total < limits.minTotal(l.Agreement.MaxNodes) {
			continue
		}
		for _, name := range l.Agreement.PartitionNames(budget) {
			l.Budgets[name].MaxTotal = total
			l.Budgets[name].Total = total
		}
	}
}

// releaseCooldowns ends the cooldowns of each budget up to the given cooldown number.
func (l *Ledger) releaseCooldowns(released map[string]int64) {
	for name, latest := range released {
		account := l.Budgets[name]
		if account == nil {
			continue
		}
		for number, units := range account.CoolingDown {
			if number <= latest {
				account.CoolingDownTotal -= units
				delete(account.CoolingDown, number)
			}
		}
	}
}

// expire ends leases, unless their holders have sent a later request.
func (l *Ledger) expire(expired []Expiry) {
	for _, expiry := range expired {
		lease := l.Holders[expiry.Holder]
		if lease == nil || lease.Seq != expiry.Seq {
			continue
		}
		for name := range lease.Units {
			l.reduceUnits(lease, name, 0)
		}
		delete(l.Holders, expiry.Holder)
	}
}

// recordRequest updates the holder's lease from its request. It returns false for a late or duplicate
// request: units returned since then may already be granted to another holder and would be granted twice.
func (l *Ledger) recordRequest(request *LeaseRequest) bool {
	lease := l.Holders[request.Holder]
	if lease == nil {
		// A late request of a process whose lease has expired also gets here. It ties up units for one lease
		// duration at most.
		lease = &Lease{Node: request.Node, Units: map[string]int64{}}
		l.Holders[request.Holder] = lease
	} else if request.Seq <= lease.Seq {
		return false
	}
	lease.Seq = request.Seq
	lease.FirstAttempts = min(max(request.FirstAttempts, 0), maxFirstAttempts)
	lease.Demand = map[string]int64{}
	for name, account := range l.Budgets {
		l.reduceUnits(lease, name, max(request.MaxUnits[name], 0))
		demand := min(max(request.Demand[name], 0), account.Total)
		if demand > 0 {
			lease.Demand[name] = demand
		}
	}
	return true
}

// reduceUnits removes units from a lease that its holder no longer uses. They cool down before they are
// granted again: the former holder's usage counts for one window, and a second holder would use the same
// units in that window.
func (l *Ledger) reduceUnits(lease *Lease, name string, remaining int64) {
	units := lease.Units[name] - remaining
	if units <= 0 {
		return
	}
	// Each account numbers its own cooldowns. Numbers across accounts would depend on the order of map
	// iteration and differ between voters.
	account := l.Budgets[name]
	account.LatestCooldown++
	account.CoolingDown[account.LatestCooldown] = units
	account.CoolingDownTotal += units
	account.Granted -= units
	lease.Units[name] = remaining
}

func (l *Ledger) newResponse(seq uint64) *LeaseResponse {
	return &LeaseResponse{
		ClusterID:     l.ClusterID,
		Epoch:         l.Epoch,
		Seq:           seq,
		Lease:         l.Agreement.Lease,
		ActiveHolders: len(l.Holders),
		Units:         map[string]int64{},
		Target:        map[string]int64{},
		Totals:        map[string]int64{},
	}
}

// adjustTotals recalculates the totals that are a ratio of the first attempts of all holders.
func (l *Ledger) adjustTotals() {
	firstAttempts := int64(0)
	for _, lease := range l.Holders {
		firstAttempts += lease.FirstAttempts
	}
	for name, account := range l.Budgets {
		limits := l.Agreement.limits(name)
		if limits.FirstAttemptRatio <= 0 {
			continue
		}
		total := min(int64(limits.FirstAttemptRatio*float64(firstAttempts)), account.MaxTotal)
		account.Total = max(total, limits.minTotal(l.Agreement.MaxNodes))
	}
}

// Outstanding returns the largest number of units of a budget that may be in use: all leases and the floors
// of all nodes.
func (l *Ledger) Outstanding(name string) int64 {
	return l.Budgets[name].Granted + l.Agreement.limits(name).Floor*l.Agreement.MaxNodes
}

// HolderNames returns the holders, ordered by node and name.
func (l *Ledger) HolderNames() []string {
	return slices.SortedFunc(maps.Keys(l.Holders), func(x, y string) int {
		return cmp.Or(cmp.Compare(l.Holders[x].Node, l.Holders[y].Node), cmp.Compare(x, y))
	})
}
