// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Lengths of hashes, in bytes.
const (
	keyBytes  = 12
	hashBytes = 8
)

// Run is one cell of the grid.
type Run struct {
	Scenario string  `json:"scenario"` // the name of its file
	Hash     string  `json:"hash"`     // of the scenario's text
	Variant  Variant `json:"variant"`
	Seed     uint64  `json:"seed"`
	Program  string  `json:"program"` // the version that plays it
}

// Result is a run and its figures, one line of the results' file.
type Result struct {
	Run
	Key     string             `json:"key"`
	Machine string             `json:"machine"`
	Took    float64            `json:"took_s"` // seconds
	Figures map[string]float64 `json:"figures"`
}

// Key identifies a run by all that makes its result.
func (r *Run) Key() string {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers and strings always have a JSON form
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:keyBytes])
}

// Hash identifies the text of a scenario.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:hashBytes])
}

// Grid returns all runs of a plan, by scenario, variant and seed. The hashes are those of the scenarios, by name.
func (p *Plan) Grid(hashes map[string]string, program string) (runs []Run) {
	for _, scenario := range p.Scenarios {
		for _, variant := range p.Variants {
			for seed := range p.Seeds {
				runs = append(runs, Run{
					Scenario: scenario,
					Hash:     hashes[scenario],
					Variant:  variant,
					Seed:     seed + 1,
					Program:  program,
				})
			}
		}
	}
	return runs
}

// Remaining returns the runs that have no result yet.
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
