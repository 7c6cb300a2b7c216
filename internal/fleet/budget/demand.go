// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// demandDecay is the factor by which a node's demand decays from one request to the next while usage is
	// lower. A holder sends three requests within a lease.
	demandDecay = 0.8
	// demandHeadroom is the factor by which demand exceeds usage, so that a node with growing usage rarely
	// waits for units.
	demandHeadroom = 1.25
	// minDemand is the demand beyond a floor, in units, below which no units are requested.
	minDemand = 0.5
	// roundUp is added to a demand before it is truncated to an integer number of units.
	roundUp = 0.99
)

// DemandEstimator estimates how many units of each budget a node could use. A wrong estimate wastes units but
// never causes usage above the total.
type DemandEstimator struct {
	agreement  *Agreement
	partitions map[string]*partitionDemand // by budget or partition
	// partitionOrder is the order in which this node requests the partitions of a budget.
	partitionOrder map[string][]string
	// extraPartitions is the number of additional partitions of a budget that the node requests after it was
	// granted none.
	extraPartitions map[string]int
	activeHolders   int
}

type partitionDemand struct {
	limits   Limits
	estimate float64 // including the floor, in units
}

// NewDemandEstimator returns the estimator of a node. The order in which it requests partitions is derived
// from the node's name, so that different nodes prefer different partitions.
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

// orderHash returns the sort key of a partition in a node's partition order.
func orderHash(node, partition string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(partition))
	x := h.Sum64()
	// FNV barely mixes the last bytes into the highest bits, which determine the order.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ObserveResponse reads the number of active holders from a response.
func (d *DemandEstimator) ObserveResponse(response *LeaseResponse) {
	d.activeHolders = max(response.ActiveHolders, 1)
}

// Estimate returns the units that the node should request beyond its floors, by budget or partition. usage
// returns the peak usage of a budget or partition since the last call and whether any use was rejected. units
// returns the units that the node may use of it now.
//
// If many nodes share a total, an even part of it is less than one send needs: all units would be granted and
// none used. A node therefore requests multiples of a step from a partitioned budget, and only as many
// partitions as leave one step for each holder.
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
	partitionCount := d.partitionsToRequest(budget)
	anyDemand, anyLeased := false, false
	for i, name := range names {
		current := units(name)
		peak, rejected := usage(name)
		beyondFloor := d.partitions[name].update(peak, rejected, current) - float64(limits.Floor)
		hasDemand, isLeased := beyondFloor > minDemand, current > limits.Floor
		anyDemand = anyDemand || hasDemand
		anyLeased = anyLeased || isLeased
		// Leased partitions beyond partitionCount are requested again. If their units were returned at once,
		// they would spend more time in cooldown than in use.
		if !hasDemand || i >= partitionCount && !isLeased {
			continue
		}
		requested[name] = int64(beyondFloor + roundUp)
		if isPartitioned {
			requested[name] = roundUpTo(limits.Step, requested[name])
		}
	}
	d.extraPartitions[budget] = 0
	if anyDemand && !anyLeased && isPartitioned {
		d.extraPartitions[budget] = partitionCount
	}
}

// partitionsToRequest returns the number of partitions of a budget that the node requests: the number of
// steps available per holder, at least one, plus the extra partitions after it was granted none.
func (d *DemandEstimator) partitionsToRequest(budget string) int {
	limits, partitions := d.agreement.Budgets[budget], len(d.partitionOrder[budget])
	steps := (limits.Total - limits.minTotal(d.agreement.MaxNodes)) / limits.Step * int64(partitions)
	partitionCount := max(int(steps)/d.activeHolders, 1) + d.extraPartitions[budget]
	return min(partitionCount, partitions)
}

// update sets the estimate from the latest usage of a partition and returns it. The estimate follows growing
// usage at once, with headroom, and decays if usage falls.
func (p *partitionDemand) update(peak float64, rejected bool, current int64) float64 {
	needed := peak * demandHeadroom
	if rejected {
		needed = max(needed, float64(2*current+p.limits.Step))
	}
	p.estimate = min(max(needed, p.estimate*demandDecay), float64(p.limits.Total))
	return p.estimate
}

func roundUpTo(step, units int64) int64 { return (units + step - 1) / step * step }

// LastEstimate returns the latest estimate for a budget or partition, including its floor, in units.
func (d *DemandEstimator) LastEstimate(name string) float64 { return d.partitions[name].estimate }
