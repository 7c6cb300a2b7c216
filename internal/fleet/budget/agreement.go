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
	// maxPartitions bounds the size of a lease request, which names each partition.
	maxPartitions = 64
	// maxTotalUnits bounds a total, so that sums of units can't overflow.
	maxTotalUnits = 1 << 40
	// digestBytes is the number of leading bytes of an agreement's hash that form its digest.
	digestBytes = 8
)

// Limits are the agreed limits of one budget, in units.
type Limits struct {
	// Total is the number of units that all nodes together may use in each window.
	Total int64 `json:"whole"`
	// Floor is the part of the total that each node may use without a lease.
	Floor int64 `json:"floor"`
	// Reserve is the part of the total that is granted only to holders without any leased units.
	Reserve int64 `json:"reserve"`
	// Step is the number of units by which a lease usually changes, at least 1.
	Step int64 `json:"step"`
	// Window is the time in nanoseconds over which usage is counted. Returned units are granted again only
	// after one window.
	Window int64 `json:"window"`
	// FirstAttemptRatio, if not 0, sets the total to this ratio of the first attempts of all nodes. Total is
	// then the maximum.
	FirstAttemptRatio float64 `json:"share"`
	// Partitions, if above 1, is the number of partitions into which the servers are divided by name. The
	// limits apply to each partition separately.
	Partitions int64 `json:"parts"`
}

// minTotal returns the smallest total that covers the floors of all nodes and the reserve.
func (l Limits) minTotal(maxNodes int64) int64 { return l.Floor*maxNodes + l.Reserve }

// Agreement is the configuration that must be identical on all nodes of a fleet.
type Agreement struct {
	// MaxNodes is the maximum number of nodes that the fleet may ever have. The floors of all of them are set
	// aside.
	MaxNodes int64 `json:"most"`
	// Lease is the duration of a lease by its holder's clock, in nanoseconds.
	Lease int64 `json:"lease"`
	// ClockMargin is the largest allowed relative difference between the rates of any two clocks, from 0 to
	// below 1.
	ClockMargin float64           `json:"margin"`
	Budgets     map[string]Limits `json:"budgets"`
}

// Validate returns an error that begins with the first configuration key whose value is out of bounds.
func (a *Agreement) Validate() error {
	switch {
	case a.MaxNodes < 1:
		return fmt.Errorf("most: got %d nodes, want at least 1", a.MaxNodes)
	case a.Lease <= 0:
		return fmt.Errorf("lease: got %d ns, want more than 0 ns", a.Lease)
	case !(a.ClockMargin >= 0 && a.ClockMargin < 1):
		return fmt.Errorf("margin: got %v, want a ratio of at least 0 and below 1", a.ClockMargin)
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
		return fmt.Errorf("budgets.%s.parts: got %d partitions, want 0 to %d",
			name, l.Partitions, maxPartitions)
	case !(l.FirstAttemptRatio >= 0 && l.FirstAttemptRatio <= 1):
		return fmt.Errorf("budgets.%s.share: got %v, want a ratio from 0 to 1", name, l.FirstAttemptRatio)
	case !isTotalValid || !areOthersValid:
		return fmt.Errorf("budgets.%s: got whole %d, floor %d, reserve %d, step %d and window %d ns, "+
			"want whole 1 to %d, floor and reserve at least 0, step at least 1 and window above 0 ns",
			name, l.Total, l.Floor, l.Reserve, l.Step, l.Window, int64(maxTotalUnits))
	case l.Floor > l.Total/maxNodes || l.minTotal(maxNodes) > l.Total:
		return fmt.Errorf(
			"budgets.%s.whole: %d units do not cover %d floors of %d and the reserve of %d units",
			name, l.Total, maxNodes, l.Floor, l.Reserve)
	}
	return nil
}

// PartitionNames returns the names of a budget's accounts: the budget's own name, or one name for each
// partition.
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

// PartitionName returns the partition that a server belongs to. hash is a hash of the server's name, which
// must be the same on all nodes.
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

// Digest returns a short hash of the agreement. Nodes compare it to detect different configurations.
func (a *Agreement) Digest() string {
	text, err := json.Marshal(a) // map keys are encoded in sorted order
	if err != nil {
		panic(err) // numbers and strings can always be encoded
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}

// withMargin extends a duration by the clock margin. Once the result has passed by this node's clock, at
// least the given duration has passed by any other node's clock.
func (a *Agreement) withMargin(duration int64) int64 {
	return duration + int64(float64(duration)*a.ClockMargin) + 1
}
