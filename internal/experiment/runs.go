// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Lengths of digests in bytes, sufficient to distinguish the runs of all experiments.
const (
	runKeyBytes       = 12
	scenarioHashBytes = 8
)

// Run is one cell of the grid.
type Run struct {
	Scenario string  `json:"scenario"` // file name
	Hash     string  `json:"hash"`     // digest of the scenario's text
	Variant  Variant `json:"variant"`
	Seed     uint64  `json:"seed"`
	Program  string  `json:"program"` // version of the program that executed it
}

// Key identifies a run by everything that determines its result.
func (r *Run) Key() string {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and integers can always be encoded
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:runKeyBytes])
}

// Hash returns the digest of a scenario's text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:scenarioHashBytes])
}

// Result is a run with its figures. Each one is a line of runs.jsonl.
type Result struct {
	Run
	Key     string             `json:"key"`
	Machine string             `json:"machine"`
	Took    float64            `json:"took_s"` // seconds
	Figures map[string]float64 `json:"figures"`
}

// Grid returns all runs in order of scenario, variant and seed. hashes has the scenarios' digests by name.
func (p *Plan) Grid(hashes map[string]string, program string) (runs []Run) {
	for _, scenario := range p.Scenarios {
		for _, variant := range p.Variants {
			for seed := uint64(1); seed <= p.Seeds; seed++ {
				runs = append(runs, Run{
					Scenario: scenario,
					Hash:     hashes[scenario],
					Variant:  variant,
					Seed:     seed,
					Program:  program,
				})
			}
		}
	}
	return runs
}

// Remaining returns the runs that have no result.
func Remaining(runs []Run, results []Result) (remaining []Run) {
	done := map[string]bool{}
	for i := range results {
		done[results[i].Run.Key()] = true
	}
	for _, run := range runs {
		if !done[run.Key()] {
			remaining = append(remaining, run)
		}
	}
	return remaining
}

// FigureNames returns the names of all figures, sorted.
func FigureNames(results []Result) (names []string) {
	for i := range results {
		for name := range results[i].Figures {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}
