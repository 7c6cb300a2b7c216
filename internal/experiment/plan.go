// SPDX-License-Identifier: Apache-2.0

// Package experiment describes grids of emulated runs and sums up their results: means over seeds, and differences
// between variants by pairs of runs with the same seed. It runs nothing itself.
package experiment

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// defaultPolicy is the policy of a variant that names none: the dispatcher itself.
const defaultPolicy = "module"

// Bounds of a plan. A file that goes beyond them has a mistake.
const (
	minSeeds    = 2 // an interval needs two pairs
	maxSeeds    = 1000
	maxVariants = 64
)

// Plan is the file of an experiment.
type Plan struct {
	Title     string    `toml:"title"`
	Scenarios []string  `toml:"scenarios"` // files, relative to the plan's own
	Seeds     uint64    `toml:"seeds"`     // each scenario and variant is run with the seeds from 1 to this
	Base      string    `toml:"base"`      // the variant that others are compared with; the first one unless named
	Variants  []Variant `toml:"variant"`
}

// Variant is one way to run each scenario. What it leaves out is the scenario's.
type Variant struct {
	Name    string `toml:"name" json:"name"`
	Policy  string `toml:"policy" json:"policy"`
	Nodes   int    `toml:"nodes" json:"nodes,omitempty"` // of the fleet; 0: the scenario's
	Subset  *int   `toml:"subset" json:"subset"`         // servers that a node uses; 0: all
	Budgets string `toml:"budgets" json:"budgets"`       // turns, leased, alone or all
}

// PlanError reports a key of a plan whose value makes no grid.
type PlanError struct {
	Key    string
	Reason string
}

func (e *PlanError) Error() string { return e.Key + ": " + e.Reason }

// planErrorf returns a PlanError with a formatted reason.
func planErrorf(key, format string, args ...any) error {
	return &PlanError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// ParsePlan decodes and checks a plan. Unknown keys are errors.
func ParsePlan(text []byte) (*Plan, error) {
	plan := &Plan{}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(plan); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return nil, errors.New(unknownKeys.String())
		}
		return nil, err
	}
	if err := plan.complete(); err != nil {
		return nil, err
	}
	return plan, nil
}

// complete checks a plan and fills in its defaults.
func (p *Plan) complete() error {
	switch {
	case len(p.Scenarios) == 0:
		return planErrorf("scenarios", "none")
	case p.Seeds < minSeeds || p.Seeds > maxSeeds:
		return planErrorf("seeds", "%d is not from %d to %d; intervals need pairs", p.Seeds, minSeeds, maxSeeds)
	case len(p.Variants) == 0 || len(p.Variants) > maxVariants:
		return planErrorf("variant", "%d are not from 1 to %d", len(p.Variants), maxVariants)
	}
	names := map[string]bool{}
	for i := range p.Variants {
		if err := p.Variants[i].complete(i, names); err != nil {
			return err
		}
	}
	p.Base = cmp.Or(p.Base, p.Variants[0].Name)
	if !names[p.Base] {
		return planErrorf("base", "no variant is called %q", p.Base)
	}
	return nil
}

// complete checks a variant, fills in its defaults and adds its name to those of the others.
func (v *Variant) complete(index int, names map[string]bool) error {
	key := fmt.Sprintf("variant.%d", index)
	if v.Name == "" || names[v.Name] {
		return planErrorf(key+".name", "%q is empty or another's", v.Name)
	}
	names[v.Name] = true
	if v.Nodes < 0 {
		return planErrorf(key+".nodes", "%d is no number of nodes", v.Nodes)
	}
	v.Policy = cmp.Or(v.Policy, defaultPolicy)
	return nil
}
