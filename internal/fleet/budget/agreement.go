// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxPartitions bounds the size of a request, which names each partition.
	maxPartitions = 64
	// maxTotalUnits bounds a total, so that sums of units can't overflow.
	maxTotalUnits = 1 << 40
	// digestBytes is how much of its hash makes an agreement's digest.
	digestBytes = 8
)

// Limits are what is agreed on for one budget, in units.
type Limits struct {
	// Total is what all nodes may use together in each window.
	Total int64 `json:"whole"`
	// Floor is the part of the total that each node has without a lease.
	Floor int64 `json:"floor"`
	// Reserve is the part of the total that is granted only to holders that have nothing yet.
	Reserve int64 `json:"reserve"`
	// Step is by how many units a lease changes, at least 1.
	Step int64 `json:"step"`
	// Window is the time in nanoseconds over which use is counted. Units given back are granted again after it.
	Window int64 `json:"window"`
	// FirstAttemptRatio, if not 0, makes the total this ratio of the first attempts of all nodes, and Total its
	// maximum.
	FirstAttemptRatio float64 `json:"share"`
	// Partitions above 1 divide the servers into so many parts by name. Each has the limits and is shared by itself.
	Partitions int64 `json:"parts"`
}

// minTotal is the least total that covers the floors of all nodes and the reserve.
func (l Limits) minTotal(maxNodes int64) int64 { return l.Floor*maxNodes + l.Reserve }

// Agreement is what all nodes of a fleet have to agree on before any of them starts.
type Agreement struct {
	// MaxNodes is how many nodes there may ever be. The floors of all of them are set aside.
	MaxNodes int64 `json:"most"`
	// Lease is how long a lease lasts by its holder's clock, in nanoseconds.
	Lease int64 `json:"lease"`
	// ClockMargin is by how much the rates of any two clocks may differ, from 0 to below 1.
	ClockMargin float64           `json:"margin"`
	Budgets     map[string]Limits `json:"budgets"`
}

// Validate returns an error that names the first key that is out of bounds.
func (a *Agreement) Validate() error {
	switch {
	case a.MaxNodes < 1:
		return fmt.Errorf("most: %d is not a number of nodes", a.MaxNodes)
	case a.Lease <= 0:
		return fmt.Errorf("lease: %d ns is no time", a.Lease)
	case !(a.ClockMargin >= 0 && a.ClockMargin < 1):
		return fmt.Errorf("margin: %v is not a share from 0 to under 1", a.ClockMargin)
	}
	for _, name := range slices.Sorted(maps.Keys(a.Budgets)) {
		if err := a.Budgets[name].validate(name, a.MaxNodes); err != nil {
			return err
		}
	}
	return nil
}

func (l Limits) validate(name string, maxNodes int64) error {
	isTotalValid := l.Total >= 1 && l.Total <= maxTotalUnits
	areOthersValid := l.Floor >= 0 && l.Reserve >= 0 && l.Window > 0 && l.Step >= 1
	switch {
	case l.Partitions < 0 || l.Partitions > maxPartitions:
		return fmt.Errorf("budgets.%s.parts: %d is not from 1 to %d", name, l.Partitions, maxPartitions)
	case !(l.FirstAttemptRatio >= 0 && l.FirstAttemptRatio <= 1):
		return fmt.Errorf("budgets.%s.share: %v is no share from 0 to 1", name, l.FirstAttemptRatio)
	case !isTotalValid || !areOthersValid:
		return fmt.Errorf("budgets.%s: whole %d, floor %d, reserve %d, step %d, window %d: out of bounds",
			name, l.Total, l.Floor, l.Reserve, l.Step, l.Window)
	case l.Floor > l.Total/maxNodes || l.minTotal(maxNodes) > l.Total:
		return fmt.Errorf("budgets.%s.whole: %d is under the floors of %d nodes, %d each, and the reserve of %d",
			name, l.Total, maxNodes, l.Floor, l.Reserve)
	}
	return nil
}

// PartitionNames returns the names that a budget is shared by: its own, or one for each of its partitions.
func (a *Agreement) PartitionNames(budget string) []string {
	limits := a.Budgets[budget]
	if limits.Partitions <= 1 {
		return []string{budget}
	}
	names := make([]string, 0, limits.Partitions)
	for i := range limits.Partitions {
		names = append(names, numberedPartition(budget, i))
	}
	return names
}

// PartitionName returns the partition that a server falls into, by a hash of its name that is the same at all nodes.
func (a *Agreement) PartitionName(budget string, hash uint64) string {
	limits := a.Budgets[budget]
	if limits.Partitions <= 1 {
		return budget
	}
	return numberedPartition(budget, int64(hash%uint64(limits.Partitions)))
}

func numberedPartition(budget string, number int64) string {
	return budget + "." + strconv.FormatInt(number, 10)
}

// limits returns the limits of a budget or of one of its partitions.
func (a *Agreement) limits(name string) Limits {
	budget, _, _ := strings.Cut(name, ".")
	return a.Budgets[budget]
}

// Digest tells agreements apart.
func (a *Agreement) Digest() string {
	text, err := json.Marshal(a) // the keys of maps come in order
	if err != nil {
		panic(err) // numbers and names always have an encoding
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}

// withMargin returns a duration by this node's clock after which at least the given one has passed by any other clock.
func (a *Agreement) withMargin(duration int64) int64 {
	return duration + int64(float64(duration)*a.ClockMargin) + 1
}
