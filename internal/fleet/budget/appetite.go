// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// demandDecay is what is left of a node's demand from one request to the next when it uses less; a lease outlasts three.
	demandDecay = 0.8
	// demandHeadroom over what was used, so that a node that grows seldom waits for more.
	demandHeadroom = 1.25
)

// DemandEstimator is what a node could use, as its requests tell. A guess of it can waste units and never breaks a whole.
type DemandEstimator struct {
	agreement       *Agreement
	partitions      map[string]*partitionDemand
	partitionOrder  map[string][]string // of a budget in parts: its shares, those first that this node asks for first
	extraPartitions map[string]int      // how many of them it asks for beyond its due, having got none
	activeHolders   int
}

type partitionDemand struct {
	limits   Limits
	estimate float64
}

// NewDemandEstimator of a node, by its name: who asks for which parts first is drawn from names, so that nodes differ in it.
func NewDemandEstimator(node string, pact *Agreement) *DemandEstimator {
	a := &DemandEstimator{agreement: pact, partitions: map[string]*partitionDemand{}, partitionOrder: map[string][]string{}, extraPartitions: map[string]int{}, activeHolders: 1}
	for budget, t := range pact.Budgets {
		names := pact.PartitionNames(budget)
		for _, name := range names {
			a.partitions[name] = &partitionDemand{limits: t}
		}
		a.partitionOrder[budget] = names
		slices.SortFunc(names, func(x, y string) int { return cmp.Compare(orderHash(node, x), orderHash(node, y)) })
	}
	return a
}

func orderHash(node, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64() // its last bytes are hardly mixed into the first bits
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ObserveResponse notes how many ask.
func (a *DemandEstimator) ObserveResponse(answer *LeaseResponse) {
	a.activeHolders = max(answer.ActiveHolders, 1)
}

// Estimate is what the node asks for beyond its floors. Demand gives what was used of a share since the last call, at most, and
// whether some was refused; units what it has.
//
// Danger: an even part of many is less than one sending takes, and the whole lies idle though all of it is granted. So a
// budget in parts is asked for by steps, of as many parts as there are steps for each who asks.
func (a *DemandEstimator) Estimate(demand func(name string) (peak float64, refused bool), units func(name string) int64) map[string]int64 {
	want := map[string]int64{}
	for budget, ranks := range a.partitionOrder {
		t := a.agreement.Budgets[budget]
		steps := (t.Total - t.Reserve - t.Floor*a.agreement.MaxNodes) / t.Step * int64(len(ranks))
		due := min(max(int(steps)/a.activeHolders, 1)+a.extraPartitions[budget], len(ranks))
		hungry, fed := false, false
		for i, name := range ranks {
			h := a.partitions[name]
			peak, refused := demand(name)
			peak *= demandHeadroom
			if refused {
				peak = max(peak, float64(2*units(name)+t.Step))
			}
			h.estimate = min(max(peak, h.estimate*demandDecay), float64(t.Total))
			beyond := h.estimate - float64(t.Floor)
			hungry, fed = hungry || beyond > 0.5, fed || units(name) > t.Floor
			// Danger: what was got by asking further than is due, given back at once, and resting more than it is used.
			if (i < due || units(name) > t.Floor) && beyond > 0.5 {
				if want[name] = int64(beyond + 0.99); len(ranks) > 1 {
					want[name] = (want[name] + t.Step - 1) / t.Step * t.Step
				}
			}
		}
		if a.extraPartitions[budget] = 0; hungry && !fed && len(ranks) > 1 {
			a.extraPartitions[budget] = due
		}
	}
	return want
}

// LastEstimate is what it last wanted of a share, with its floor.
func (a *DemandEstimator) LastEstimate(name string) float64 { return a.partitions[name].estimate }
