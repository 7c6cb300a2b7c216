// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	// foundingCooldown is the number of the cooldown that a ledger begins with. It lasts a lease longer than others.
	foundingCooldown = 0
	// maxFirstAttempts bounds what is believed of one node's first attempts in a window.
	maxFirstAttempts = 1 << 24
)

// Ledger is what was granted. It is replicated: applying the same entries in the same order makes the same ledger at
// every voter. Only Apply changes it.
type Ledger struct {
	Agreement Agreement           `json:"pact"`
	ClusterID string              `json:"group"` // a random one, from the first leader term
	Epoch     uint64              `json:"epoch"` // of the current leader term
	Budgets   map[string]*Account `json:"budgets"`
	Holders   map[string]*Lease   `json:"holders"`
}

// Account is the state of one budget or partition, in units.
type Account struct {
	// MaxTotal is the total by the agreement or by operators.
	MaxTotal int64 `json:"most"`
	// Total is what may be granted and used as floors. While it is being lowered more may be granted still.
	Total   int64 `json:"whole"`
	Granted int64 `json:"granted"` // by leases that are in force or have to be taken for that
	// CoolingDown is what was given back and may still count at its former holder, by the number of the cooldown.
	CoolingDown      map[int64]int64 `json:"resting"`
	CoolingDownTotal int64           `json:"pause"`
	LatestCooldown   int64           `json:"rested"` // the number of the latest cooldown
}

// Lease is what one process has been granted. Maps are by budget or partition.
type Lease struct {
	Node          string           `json:"node"`
	Seq           uint64           `json:"seq"`   // of its latest request
	FirstAttempts int64            `json:"first"` // by its latest request
	Units         map[string]int64 `json:"units"`
	Demand        map[string]int64 `json:"want"`
}

// StaleEpochError is returned for an entry of a leader term that is over.
type StaleEpochError struct {
	Epoch, Current uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is over, the current one is %d", e.Epoch, e.Current)
}

// NewLedger returns an empty ledger. The first leader term brings the agreement.
func NewLedger() *Ledger {
	return &Ledger{Budgets: map[string]*Account{}, Holders: map[string]*Lease{}}
}

// Apply applies one entry. It returns the response to each request in it, nil for those that were seen before.
func (l *Ledger) Apply(entry *LogEntry) ([]*LeaseResponse, error) {
	if entry.NewTerm {
		return nil, l.beginTerm(entry)
	}
	// A leader that was stopped may go on with what it had decided after another term has begun.
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

// initialize opens the accounts. All units begin in a cooldown: a cluster before this one, of which no voter has any
// state left, may have granted them a moment ago.
func (l *Ledger) initialize(agreement *Agreement) {
	l.Agreement = *agreement
	for budget, limits := range agreement.Budgets {
		pool := limits.Total - limits.Floor*agreement.MaxNodes
		for _, name := range agreement.PartitionNames(budget) {
			l.Budgets[name] = &Account{
				MaxTotal:         limits.Total,
				Total:            limits.Total,
				CoolingDown:      map[int64]int64{foundingCooldown: pool},
				CoolingDownTotal: pool,
			}
		}
	}
}

// setTotals takes operators' totals of budgets that exist, if they cover the floors and the reserve.
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

// releaseCooldowns ends the cooldowns of each budget up to a number.
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

// expire ends leases, unless their holders have sent requests since.
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

// recordRequest takes what a holder says of itself. It returns false for a request that arrived late or twice: what it
// gave back may be in use elsewhere by now, and would be granted twice.
func (l *Ledger) recordRequest(request *LeaseRequest) bool {
	lease := l.Holders[request.Holder]
	if lease == nil {
		// A late request of a process whose lease has expired gets here too. It is granted units for one lease at most.
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

// reduceUnits takes units that the holder uses no more from its lease. They cool down before they are granted again,
// since what was sent on them still counts for a window, and a second holder would fill that window as well.
func (l *Ledger) reduceUnits(lease *Lease, name string, remaining int64) {
	units := lease.Units[name] - remaining
	if units <= 0 {
		return
	}
	// Each account numbers its own cooldowns. Numbers for all of them would depend on the order of a map, and differ
	// from voter to voter.
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

// adjustTotals has the totals that are a ratio of first attempts follow these.
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

// Outstanding returns the most units that may be in use of a budget: all leases and the floors of all nodes.
func (l *Ledger) Outstanding(name string) int64 {
	return l.Budgets[name].Granted + l.Agreement.limits(name).Floor*l.Agreement.MaxNodes
}

// HolderNames returns the holders, ordered by node and name.
func (l *Ledger) HolderNames() []string {
	return slices.SortedFunc(maps.Keys(l.Holders), func(x, y string) int {
		return cmp.Or(cmp.Compare(l.Holders[x].Node, l.Holders[y].Node), cmp.Compare(x, y))
	})
}
