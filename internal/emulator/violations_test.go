// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"testing"

	"fernrail/dispatch"
)

// unansweringActions is a door on which some answers are lost.
type unansweringActions struct{ dispatch.Actions }

func (unansweringActions) Shed(*dispatch.Request, int64) {}
func (unansweringActions) Compensate(*dispatch.Request)  {}

// staleEndpoints hears the list once.
type staleEndpoints struct {
	Decider
	heard bool
}

func (d *staleEndpoints) UpdateEndpoints(whole bool, members []dispatch.Endpoint) {
	if !d.heard {
		d.heard = true
		d.Decider.UpdateEndpoints(whole, members)
	}
}

// TestWrongPoliciesAreCaught: for each rule a policy that breaks it is named by the judge, from the log
// alone, and the same without that fault is not.
func TestWrongPoliciesAreCaught(t *testing.T) {
	plain := func(name string) Policy {
		p, err := PolicyOf(name)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	repeats := func(terms *dispatch.Settings) *dispatch.Settings {
		for _, s := range terms.Classes { // as the node has them
			s.Idempotency = dispatch.Idempotent
		}
		return terms
	}
	for _, c := range []struct {
		what   string
		rule   int // 0: none
		faults []Fault
		policy Policy
	}{
		{"keeps them", 0, []Fault{{Kind: "errors", At: Duration(2e9), For: Duration(3e9), Part: 0.5, Strength: 0.5}}, plain("random")},
		{"forgets answers", 1, []Fault{{Kind: "hang", At: Duration(2e9), For: Duration(5e9), Part: 0.5}},
			func(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, truth func(*dispatch.Server) float64) Decider {
				return plain("random")(terms, seed, unansweringActions{door}, now, truth)
			}},
		{"repeats what must not run twice", 2, []Fault{{Kind: "errors", At: Duration(2e9), For: Duration(3e9), Part: 0.5, Strength: 0.5}},
			func(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, truth func(*dispatch.Server) float64) Decider {
				return plain("random")(repeats(terms), seed, door, now, truth)
			}},
		{"sends to what drains", 3, []Fault{{Kind: "deploy", At: Duration(2e9), For: Duration(3e9), Part: 0.5}},
			func(terms *dispatch.Settings, seed uint64, door dispatch.Actions, now int64, truth func(*dispatch.Server) float64) Decider {
				return &staleEndpoints{Decider: plain("random")(terms, seed, door, now, truth)}
			}},
		{"floods the cold", 4, []Fault{{Kind: "crash", At: Duration(2e9), For: Duration(1e9), Part: 0.9}, {Kind: "burst", At: Duration(2e9), For: Duration(5e9), Strength: 3}}, plain("least")},
	} {
		s := readExample(t, "quiet.toml")
		s.Length, s.Faults = Duration(8e9), c.faults
		log := violatedRules(t, s, c.policy)
		if c.rule == 0 {
			if len(log) > 0 {
				t.Errorf("%s: accused of %+v", c.what, log[0])
			}
		} else if !slices.Contains(log, c.rule) {
			t.Errorf("%s: rule %d is not named, but %v", c.what, c.rule, log)
		}
	}
}
