// SPDX-License-Identifier: Apache-2.0

// Package budget divides budgets that many nodes hold together. It has both halves, the books that grant and the holder
// that uses, and is free of I/O and of clocks: time is handed in, in nanoseconds. docs/fleet.md says what is safe by what.
package budget

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits are what is agreed of one budget, in whole units.
type Limits struct {
	Total             int64   `json:"whole"`   // what all nodes may use together, in each window
	Floor             int64   `json:"floor"`   // of it, what each node has without a lease
	Reserve           int64   `json:"reserve"` // of it, what is kept for nodes that hold nothing yet
	Step              int64   `json:"step"`    // by which shares move; 1 at least
	Window            int64   `json:"window"`  // ns; what is given back is granted again only when it is past
	FirstAttemptRatio float64 `json:"share"`   // 0: none; else the whole is this part of all first postings that nodes tell of, Whole at most
	Partitions        int64   `json:"parts"`   // 0 or 1: one share holds for all executors; more: executors fall into so many parts, each shared apart
}

// Agreement is what all nodes of a fleet agree on before any of them starts.
type Agreement struct {
	MaxNodes    int64             `json:"most"`   // nodes that may ever be there, each with its floors
	Lease       int64             `json:"lease"`  // ns, by the holder's clock
	ClockMargin float64           `json:"margin"` // by which the rates of any two clocks may differ, as a share
	Budgets     map[string]Limits `json:"budgets"`
}

// Validate says what is wrong with a pact, by key.
func (p *Agreement) Validate() error {
	switch {
	case p.MaxNodes < 1:
		return fmt.Errorf("most: %d is not a number of nodes", p.MaxNodes)
	case p.Lease <= 0:
		return fmt.Errorf("lease: %d ns is no time", p.Lease)
	case !(p.ClockMargin >= 0 && p.ClockMargin < 1):
		return fmt.Errorf("margin: %v is not a share from 0 to under 1", p.ClockMargin)
	}
	for _, name := range slices.Sorted(maps.Keys(p.Budgets)) {
		switch t := p.Budgets[name]; {
		case t.Partitions < 0 || t.Partitions > maxPartitions:
			return fmt.Errorf("budgets.%s.parts: %d is not from 1 to %d", name, t.Partitions, maxPartitions)
		case !(t.FirstAttemptRatio >= 0 && t.FirstAttemptRatio <= 1):
			return fmt.Errorf("budgets.%s.share: %v is no share from 0 to 1", name, t.FirstAttemptRatio)
		case t.Floor < 0 || t.Reserve < 0 || t.Window <= 0 || t.Step < 1 || t.Total < 1 || t.Total > 1<<40:
			return fmt.Errorf("budgets.%s: whole %d, floor %d, reserve %d, step %d, window %d: out of bounds", name, t.Total, t.Floor, t.Reserve, t.Step, t.Window)
		case t.Floor > t.Total/p.MaxNodes || t.Floor*p.MaxNodes+t.Reserve > t.Total:
			return fmt.Errorf("budgets.%s.whole: %d is under the floors of %d nodes, %d each, and the reserve of %d", name, t.Total, p.MaxNodes, t.Floor, t.Reserve)
		}
	}
	return nil
}

// maxFirstAttempts bounds what is believed of one node's first postings in a window.
const maxFirstAttempts = 1 << 24

// maxPartitions bounds what a request holds.
const maxPartitions = 64

// PartitionNames are the shares of a budget: one, or one for each part.
func (p *Agreement) PartitionNames(budget string) (names []string) {
	t := p.Budgets[budget]
	if t.Partitions <= 1 {
		return []string{budget}
	}
	for i := range t.Partitions {
		names = append(names, numberedPartition(budget, i))
	}
	return names
}

func numberedPartition(budget string, part int64) string {
	return budget + "." + strconv.FormatInt(part, 10)
}

// PartitionName is the share that an executor falls to, by a number that all nodes know it by.
func (p *Agreement) PartitionName(budget string, mark uint64) string {
	if t := p.Budgets[budget]; t.Partitions > 1 {
		return numberedPartition(budget, int64(mark%uint64(t.Partitions)))
	}
	return budget
}

// limits are those of a share.
func (p *Agreement) limits(name string) Limits {
	budget, _, _ := strings.Cut(name, ".")
	return p.Budgets[budget]
}

// Digest tells pacts apart.
func (p *Agreement) Digest() string {
	text, err := json.Marshal(p) // with the keys of maps in order
	if err != nil {
		panic(err) // it holds numbers and names alone
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// withMargin is a time by this node's clock after which it has passed by any other's.
func (p *Agreement) withMargin(time int64) int64 {
	return time + int64(float64(time)*p.ClockMargin) + 1
}

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
	ReleasedThrough  int64           `json:"rested"`  // the latest of those numbers
}

// Lease is what one process of a node has been granted.
type Lease struct {
	Node          string           `json:"node"`
	Seq           uint64           `json:"seq"`   // of its latest request
	FirstAttempts int64            `json:"first"` // as it told with that
	Units         map[string]int64 `json:"units"`
	Demand        map[string]int64 `json:"want"`
}

// LeaseRequest is a holder's request.
type LeaseRequest struct {
	Node          string           `json:"node"`
	Holder        string           `json:"holder"` // the process
	Seq           uint64           `json:"seq"`    // rises with each request
	MaxUnits      map[string]int64 `json:"hold"`   // it uses no more than that from now on, until an answer to this very request
	Demand        map[string]int64 `json:"want"`
	FirstAttempts int64            `json:"first"`          // first postings that it sent in a window
	HasLease      bool             `json:"leased"`         // it has a lease, and so has had an answer within that time
	Epoch         uint64           `json:"epoch"`          // of the latest answer that it took
	ClockRate     float64          `json:"rate,omitempty"` // of its clock by the seat's, where that is beyond the margin
}

// LeaseResponse is what becomes of a request: what the holder may use until the lease has run out, counted from when it sent it.
type LeaseResponse struct {
	ClusterID     string           `json:"group"` // epochs are counted in each
	Epoch         uint64           `json:"epoch"`
	Seq           uint64           `json:"seq"`
	Lease         int64            `json:"lease"`
	Units         map[string]int64 `json:"units"`
	Target        map[string]int64 `json:"target"` // what it should come down to
	Totals        map[string]int64 `json:"whole"`
	ActiveHolders int              `json:"peers"` // processes that hold something or asked within a lease; a hint
	LeaderTime    int64            `json:"at"`    // by the seat's clock, between the request's coming and the answer's going
}

// Expiry says that a holder's lease has run out, if it has not asked since.
type Expiry struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// LogEntry is one step of the books. All of it is taken, or nothing where the epoch is not the one that reigns.
type LogEntry struct {
	Epoch                 uint64           `json:"epoch"`
	NewTerm               bool             `json:"reign,omitempty"` // a grantor begins; its epoch is above all before it
	Agreement             *Agreement       `json:"pact,omitempty"`  // with the first reign
	ClusterID             string           `json:"group,omitempty"` // the same
	Requests              []LeaseRequest   `json:"asks,omitempty"`
	Expired               []Expiry         `json:"expired,omitempty"`
	ReleasedAfterCooldown map[string]int64 `json:"rested,omitempty"` // by budget: all rests up to that number are over
	Totals                map[string]int64 `json:"whole,omitempty"`  // by operators
}

// foundingCooldown is the number of the rest with which books begin; it lasts a lease longer than others.
const foundingCooldown = 0

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
		a.ReleasedThrough++
		a.CoolingDown[a.ReleasedThrough] = units
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
