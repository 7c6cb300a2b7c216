// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Ledger are what was granted, the same at every seat. They change by Apply alone.
type Ledger struct {
	Agreement Agreement           `json:"pact"`
	ClusterID string              `json:"group"` // by chance, as the books were begun
	Epoch     uint64              `json:"epoch"` // of the grantor that reigns
	Budgets   map[string]*Account `json:"budgets"`
	Holders   map[string]*Lease   `json:"holders"`
}

// Account is one budget as it stands.
type Account struct {
	MaxTotal         int64           `json:"most"`    // of Whole, by the pact or operators
	Total            int64           `json:"whole"`   // aimed at; more may be out while it is being lowered
	Granted          int64           `json:"granted"` // in force or believed to be
	CoolingDown      map[int64]int64 `json:"resting"` // units given back, by the number of their rest
	CoolingDownTotal int64           `json:"pause"`   // of these, all together
	LatestCooldown   int64           `json:"rested"`  // the latest of those numbers
}

// Lease is what one process of a node has been granted.
type Lease struct {
	Node          string           `json:"node"`
	Seq           uint64           `json:"seq"`   // of its latest request
	FirstAttempts int64            `json:"first"` // as it told with that
	Units         map[string]int64 `json:"units"`
	Demand        map[string]int64 `json:"want"`
}

// foundingCooldown is the number of the rest with which books begin; it lasts a lease longer than others.
const foundingCooldown = 0

// maxFirstAttempts bounds what is believed of one node's first postings in a window.
const maxFirstAttempts = 1 << 24

// NewLedger are empty; the first reign brings the pact.
func NewLedger() *Ledger {
	return &Ledger{Budgets: map[string]*Account{}, Holders: map[string]*Lease{}}
}

// Apply takes a step, and gives the answer to each request in it, nil where that is not due one.
func (b *Ledger) Apply(e *LogEntry) (answers []*LeaseResponse, err error) {
	if e.NewTerm {
		if e.Epoch <= b.Epoch {
			return nil, fmt.Errorf("epoch %d has passed, %d reigns", e.Epoch, b.Epoch)
		}
		if b.Epoch == 0 && e.Agreement != nil {
			b.initialize(e.Agreement)
			b.ClusterID = e.ClusterID
		}
		b.Epoch = e.Epoch
		return nil, nil
	}
	// Danger: a grantor that was stopped goes on with what it had decided, after another one has reigned.
	if e.Epoch != b.Epoch {
		return nil, fmt.Errorf("epoch %d has passed, %d reigns", e.Epoch, b.Epoch)
	}
	for budget, whole := range e.Totals {
		if t, found := b.Agreement.Budgets[budget]; found && whole >= t.Floor*b.Agreement.MaxNodes+t.Reserve {
			for _, name := range b.Agreement.PartitionNames(budget) {
				b.Budgets[name].MaxTotal, b.Budgets[name].Total = whole, whole
			}
		}
	}
	for name, upTo := range e.ReleasedAfterCooldown {
		if a := b.Budgets[name]; a != nil {
			for number, units := range a.CoolingDown {
				if number <= upTo {
					a.CoolingDownTotal -= units
					delete(a.CoolingDown, number)
				}
			}
		}
	}
	for _, x := range e.Expired {
		if h := b.Holders[x.Holder]; h != nil && h.Seq == x.Seq {
			for name := range h.Units {
				b.reduceUnits(h, name, 0)
			}
			delete(b.Holders, x.Holder)
		}
	}
	answers = make([]*LeaseResponse, len(e.Requests))
	for i := range e.Requests {
		if b.recordRequest(&e.Requests[i]) {
			answers[i] = &LeaseResponse{ClusterID: b.ClusterID, Epoch: b.Epoch, Seq: e.Requests[i].Seq, Lease: b.Agreement.Lease, ActiveHolders: len(b.Holders), Units: map[string]int64{}, Target: map[string]int64{}, Totals: map[string]int64{}}
		}
	}
	b.adjustTotals()
	for _, name := range slices.Sorted(maps.Keys(b.Budgets)) {
		b.grant(name, e.Requests, answers)
	}
	return answers, nil
}

// adjustTotals has wholes that are a share of first postings go up and down with them. A whole that falls waits for what is out.
func (b *Ledger) adjustTotals() {
	first := int64(0)
	for _, h := range b.Holders {
		first += h.FirstAttempts
	}
	for name, a := range b.Budgets {
		if t := b.Agreement.limits(name); t.FirstAttemptRatio > 0 {
			a.Total = max(min(int64(t.FirstAttemptRatio*float64(first)), a.MaxTotal), t.Floor*b.Agreement.MaxNodes+t.Reserve)
		}
	}
}

func (b *Ledger) initialize(p *Agreement) {
	b.Agreement = *p
	for budget, t := range p.Budgets {
		// Danger: a group before this one, of which no seat remembers anything, may have granted it all a moment ago.
		pool := t.Total - t.Floor*p.MaxNodes
		for _, name := range p.PartitionNames(budget) {
			b.Budgets[name] = &Account{MaxTotal: t.Total, Total: t.Total, CoolingDown: map[int64]int64{foundingCooldown: pool}, CoolingDownTotal: pool}
		}
	}
}

// recordRequest takes down what a holder says of itself; false: it was heard before.
// Danger: a request that comes twice or late. What it gave back then is in use again by now, and would be granted twice.
func (b *Ledger) recordRequest(a *LeaseRequest) bool {
	h := b.Holders[a.Holder]
	if h == nil {
		// Danger: a late request of a process whose lease has run out would have it hold again, for one lease at most.
		h = &Lease{Node: a.Node, Units: map[string]int64{}}
		b.Holders[a.Holder] = h
	} else if a.Seq <= h.Seq {
		return false
	}
	h.Seq, h.FirstAttempts, h.Demand = a.Seq, min(max(a.FirstAttempts, 0), maxFirstAttempts), map[string]int64{}
	for name, account := range b.Budgets {
		b.reduceUnits(h, name, max(a.MaxUnits[name], 0))
		if want := min(max(a.Demand[name], 0), account.Total); want > 0 {
			h.Demand[name] = want
		}
	}
	return true
}

// reduceUnits takes units from a holder that uses them no more, and lets them rest.
// Danger: what was sent on them counts for a window still; granted at once, two would fill the same window.
func (b *Ledger) reduceUnits(h *Lease, name string, to int64) {
	if units := h.Units[name] - to; units > 0 {
		a := b.Budgets[name]
		// Danger: numbers given in the order of a map would differ from seat to seat.
		a.LatestCooldown++
		a.CoolingDown[a.LatestCooldown] = units
		a.Granted, a.CoolingDownTotal, h.Units[name] = a.Granted-units, a.CoolingDownTotal+units, to
	}
}

// grant gives those that ask what they want, as far as it is fair and free.
func (b *Ledger) grant(name string, asks []LeaseRequest, answers []*LeaseResponse) {
	a, t := b.Budgets[name], b.Agreement.limits(name)
	pool := max(a.Total-t.Floor*b.Agreement.MaxNodes, 0)
	level := b.fairLevel(name, max(pool-t.Reserve, 0))
	for i := range asks {
		if answers[i] == nil {
			continue
		}
		h := b.Holders[asks[i].Holder]
		has, free := h.Units[name], pool-a.Granted-a.CoolingDownTotal
		if has > 0 {
			free -= t.Reserve // is for those that come
		}
		target := min(h.Demand[name], max(level, t.Step))
		switch {
		case target > has && free > 0 && (target-has >= t.Step || has == 0 || target == h.Demand[name]):
			more := min(target-has, free)
			a.Granted, h.Units[name] = a.Granted+more, has+more
			target = max(target, has+more)
		// Danger: shares that swing with each breath of demand rest more than they are used.
		case target < has && has-target < t.Step && h.Demand[name] > 0:
			target = has
		}
		if h.Units[name] > 0 {
			answers[i].Units[name], answers[i].Target[name] = h.Units[name], target
		} else {
			delete(h.Units, name)
		}
		answers[i].Totals[name] = a.Total
	}
}

// fairLevel is the most that anyone gets so that the sum of all wants, cut there, fits: max-min fairness.
func (b *Ledger) fairLevel(name string, pool int64) int64 {
	wants := make([]int64, 0, len(b.Holders))
	for _, h := range b.Holders {
		wants = append(wants, h.Demand[name])
	}
	slices.Sort(wants)
	for i, want := range wants {
		if each := pool / int64(len(wants)-i); want >= each {
			return each
		}
		pool -= want
	}
	return math.MaxInt64 // all of it fits
}

// Outstanding is what holders may have in force of a budget at most, with all floors.
func (b *Ledger) Outstanding(name string) int64 {
	return b.Budgets[name].Granted + b.Agreement.limits(name).Floor*b.Agreement.MaxNodes
}

// HolderNames are the holders in order.
func (b *Ledger) HolderNames() []string {
	return slices.SortedFunc(maps.Keys(b.Holders), func(x, y string) int {
		return cmp.Or(cmp.Compare(b.Holders[x].Node, b.Holders[y].Node), cmp.Compare(x, y))
	})
}
