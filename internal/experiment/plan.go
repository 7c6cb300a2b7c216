// SPDX-License-Identifier: Apache-2.0

// Package experiment enumerates the runs of a grid of scenarios, variants and seeds, and summarizes their
// results: means, and differences to a base variant by pairs of runs with the same seed. It does not execute
// runs.
package experiment

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a plan. Larger numbers are taken for typing errors.
const (
	maxSeeds    = 1000
	maxVariants = 64
)

// defaultPolicy is the policy of a variant that names none: the dispatch package.
const defaultPolicy = "module"

// Plan is the content of an experiment's file.
type Plan struct {
	Title     string    `toml:"title"`
	Scenarios []string  `toml:"scenarios"` // files, relative to the plan's own folder
	Seeds     uint64    `toml:"seeds"`     // number of seeds, which are 1 to this number
	Base      string    `toml:"base"`      // the variant that others are compared with
	Variants  []Variant `toml:"variant"`
}

// Variant is a set of changes to each scenario. Settings that it leaves out are those of the scenario.
type Variant struct {
	Name    string `toml:"name" json:"name"`
	Policy  string `toml:"policy" json:"policy"`         // empty in a plan: the dispatch package
	Nodes   int    `toml:"nodes" json:"nodes,omitempty"` // of the fleet
	Subset  *int   `toml:"subset" json:"subset"`         // servers that a node uses; 0: all
	Budgets string `toml:"budgets" json:"budgets"`       // turns, leased, alone, all
}

// PlanError is an invalid key of a plan, with the reason.
type PlanError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *PlanError) Error() string { return e.Key + ": " + e.Reason }

func planError(key, format string, args ...any) error {
	return &PlanError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Read decodes and checks a plan. Unknown keys are errors.
func Read(text []byte) (*Plan, error) {
	plan := &Plan{}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(plan); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return nil, errors.New(unknown.String())
		}
		return nil, err
	}
	if err := plan.check(); err != nil {
		return nil, err
	}
	return plan, nil
}

// check fills in defaults and returns the first invalid key.
func (p *Plan) check() error {
	switch {
	case len(p.Scenarios) == 0:
		return planError("scenarios", "empty, want at least one file")
	case p.Seeds < 2 || p.Seeds > maxSeeds:
		return planError("seeds", "%d is not between 2 and %d; confidence intervals require at least 2 runs",
			p.Seeds, maxSeeds)
	case len(p.Variants) == 0 || len(p.Variants) > maxVariants:
		return planError("variant", "number of variants: %d is not between 1 and %d", len(p.Variants),
			maxVariants)
	}
	names := map[string]bool{}
	for i := range p.Variants {
		if err := p.Variants[i].check(i, names); err != nil {
			return err
		}
	}
	p.Base = cmp.Or(p.Base, p.Variants[0].Name)
	if !names[p.Base] {
		return planError("base", "no variant has the name %q", p.Base)
	}
	return nil
}

// check checks the variant at an index and adds its name to the set of names.
func (v *Variant) check(index int, names map[string]bool) error {
	if v.Name == "" || names[v.Name] {
		return planError(fmt.Sprintf("variant.%d.name", index), "%q is empty or the name of another variant",
			v.Name)
	}
	names[v.Name] = true
	if v.Nodes < 0 {
		return planError(fmt.Sprintf("variant.%d.nodes", index), "%d nodes: below 0", v.Nodes)
	}
	v.Policy = cmp.Or(v.Policy, defaultPolicy)
	return nil
}
