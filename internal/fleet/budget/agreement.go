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

// maxPartitions bounds what a request holds.
const maxPartitions = 64

func numberedPartition(budget string, part int64) string {
	return budget + "." + strconv.FormatInt(part, 10)
}
