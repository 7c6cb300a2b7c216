// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// demandDecay is what is left of a node's demand from one request to the next while it uses less. A lease outlasts
	// three requests.
	demandDecay = 0.8
	// demandHeadroom is what is asked for over what was used, so that a node whose use grows seldom has to wait.
	demandHeadroom = 1.25
	// minDemand is the demand beyond a floor, in units, below which nothing is asked for.
	minDemand = 0.5
	// roundUp is added to a demand before it is cut to whole units.
	roundUp = 0.99
)

// DemandEstimator estimates what a node could use of each budget. A wrong estimate wastes units; it never lets more
// than the total be used.
type DemandEstimator struct {
	agreement  *Agreement
	partitions map[string]*partitionDemand // by budget or partition
	// partitionOrder is the order in which this node asks for the partitions of a budget.
	partitionOrder map[string][]string
	// extraPartitions is how many partitions of a budget it asks for beyond its due, having been granted none.
	extraPartitions map[string]int
	activeHolders   int
}

type partitionDemand struct {
	limits   Limits
	estimate float64 // with the floor, in units
}

// NewDemandEstimator returns the estimator of a node. The order in which it asks for partitions is drawn from its
// name, so that nodes differ in it.
func NewDemandEstimator(node string, agreement *Agreement) *DemandEstimator {
	d := &DemandEstimator{
		agreement:       agreement,
		partitions:      map[string]*partitionDemand{},
		partitionOrder:  map[string][]string{},
		extraPartitions: map[string]int{},
		activeHolders:   1,
	}
	for budget, limits := range agreement.Budgets {
		names := agreement.PartitionNames(budget)
		for _, name := range names {
			d.partitions[name] = &partitionDemand{limits: limits}
		}
		slices.SortFunc(names, func(x, y string) int {
			return cmp.Compare(orderHash(node, x), orderHash(node, y))
		})
		d.partitionOrder[budget] = names
	}
	return d
}

// orderHash returns a number that places a partition in a node's order.
func orderHash(node, partition string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(partition))
	x := h.Sum64()
	// FNV hardly mixes the last bytes into the highest bits, which decide the order.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ObserveResponse takes from a response how many holders there are.
func (d *DemandEstimator) ObserveResponse(response *LeaseResponse) {
	d.activeHolders = max(response.ActiveHolders, 1)
}

// Estimate returns what the node should ask for beyond its floors, by budget or partition. usage returns the most that
// was used of one since the last call and whether some use was rejected, units what the node may use of it now.
//
// An even part of a total is less than one send takes where many nodes share it, so that all of it would be granted
// and none used. A partitioned budget is therefore asked for in whole steps, of as few partitions as give each holder
// a step.
func (d *DemandEstimator) Estimate(
	usage func(name string) (peak float64, rejected bool), units func(name string) int64,
) map[string]int64 {
	requested := map[string]int64{}
	for budget := range d.partitionOrder {
		d.estimateBudget(budget, usage, units, requested)
	}
	return requested
}

func (d *DemandEstimator) estimateBudget(
	budget string,
	usage func(name string) (peak float64, rejected bool),
	units func(name string) int64,
	requested map[string]int64,
) {
	names, limits := d.partitionOrder[budget], d.agreement.Budgets[budget]
	isPartitioned := len(names) > 1
	due := d.duePartitions(budget)
	wantsMore, hasLease := false, false
	for i, name := range names {
		held := units(name)
		peak, rejected := usage(name)
		beyondFloor := d.partitions[name].update(peak, rejected, held) - float64(limits.Floor)
		isWanted, isHeld := beyondFloor > minDemand, held > limits.Floor
		wantsMore = wantsMore || isWanted
		hasLease = hasLease || isHeld
		// What is held beyond the due partitions is kept: given back at once it would be in cooldown more than in use.
		if !isWanted || i >= due && !isHeld {
			continue
		}
		requested[name] = int64(beyondFloor + roundUp)
		if isPartitioned {
			requested[name] = roundUpTo(limits.Step, requested[name])
		}
	}
	d.extraPartitions[budget] = 0
	if wantsMore && !hasLease && isPartitioned {
		d.extraPartitions[budget] = due
	}
}

// duePartitions returns how many partitions of a budget the node asks for: as many as there are steps for each holder,
// at least one, and more after it was granted none.
func (d *DemandEstimator) duePartitions(budget string) int {
	limits, partitions := d.agreement.Budgets[budget], len(d.partitionOrder[budget])
	steps := (limits.Total - limits.minTotal(d.agreement.MaxNodes)) / limits.Step * int64(partitions)
	due := max(int(steps)/d.activeHolders, 1) + d.extraPartitions[budget]
	return min(due, partitions)
}

// update takes the latest use of a partition and returns the new estimate: with headroom at once if use grew, decaying
// if it fell.
func (p *partitionDemand) update(peak float64, rejected bool, held int64) float64 {
	needed := peak * demandHeadroom
	if rejected {
		needed = max(needed, float64(2*held+p.limits.Step))
	}
	p.estimate = min(max(needed, p.estimate*demandDecay), float64(p.limits.Total))
	return p.estimate
}

func roundUpTo(step, units int64) int64 { return (units + step - 1) / step * step }

// LastEstimate returns the latest estimate for a budget or partition, with its floor, in units.
func (d *DemandEstimator) LastEstimate(name string) float64 { return d.partitions[name].estimate }
