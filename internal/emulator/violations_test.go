// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"slices"
	"testing"

	"fernrail/dispatch"
)

// unansweringActions drops the answers of requests that were not served.
type unansweringActions struct{ dispatch.Actions }

func (unansweringActions) Shed(*dispatch.Request, int64) {}
func (unansweringActions) Compensate(*dispatch.Request)  {}

// staleEndpoints passes only the first endpoint list to its decider.
type staleEndpoints struct {
	Decider
	updated bool
}

func (d *staleEndpoints) UpdateEndpoints(full bool, endpoints []dispatch.Endpoint) {
	if !d.updated {
		d.updated = true
		d.Decider.UpdateEndpoints(full, endpoints)
	}
}

// TestWrongPoliciesAreDetected checks that the checker detects, from the log alone, a policy that violates
// each of rules 1 to 4, and reports nothing for a correct policy.
func TestWrongPoliciesAreDetected(t *testing.T) {
	policyOf := func(name string) Policy {
		p, err := PolicyOf(name)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	repeatable := func(settings *dispatch.Settings) *dispatch.Settings {
		for _, s := range settings.Classes { // the node's own classes
			s.Idempotency = dispatch.Idempotent
		}
		return settings
	}
	for _, c := range []struct {
		name   string
		rule   int // 0: none
		faults []Fault
		policy Policy
	}{
		{"follows the rules", 0, []Fault{{Kind: "errors", At: Duration(2e9), For: Duration(3e9), Part: 0.5,
			Strength: 0.5}}, policyOf("random")},
		{"loses answers", 1, []Fault{{Kind: "hang", At: Duration(2e9), For: Duration(5e9), Part: 0.5}},
			func(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
				trueLoad func(*dispatch.Server) float64) Decider {
				return policyOf("random")(settings, seed, unansweringActions{actions}, now, trueLoad)
			}},
		{"repeats non-idempotent requests", 2, []Fault{{Kind: "errors", At: Duration(2e9),
			For: Duration(3e9), Part: 0.5, Strength: 0.5}},
			func(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
				trueLoad func(*dispatch.Server) float64) Decider {
				return policyOf("random")(repeatable(settings), seed, actions, now, trueLoad)
			}},
		{"sends to draining servers", 3, []Fault{{Kind: "deploy", At: Duration(2e9), For: Duration(3e9),
			Part: 0.5}},
			func(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
				trueLoad func(*dispatch.Server) float64) Decider {
				return &staleEndpoints{Decider: policyOf("random")(settings, seed, actions, now, trueLoad)}
			}},
		{"overloads servers in slow start", 4, []Fault{{Kind: "crash", At: Duration(2e9), For: Duration(1e9),
			Part: 0.9}, {Kind: "burst", At: Duration(2e9), For: Duration(5e9),
			Strength: 3}}, policyOf("least")},
	} {
		s := readExample(t, "quiet.toml")
		s.Length, s.Faults = Duration(8e9), c.faults
		rules := violatedRules(t, s, c.policy)
		if c.rule == 0 {
			if len(rules) > 0 {
				t.Errorf("policy that %s: got a violation of rule %d, want none", c.name, rules[0])
			}
		} else if !slices.Contains(rules, c.rule) {
			t.Errorf("policy that %s: got violations of rules %v, want one of rule %d", c.name, rules, c.rule)
		}
	}
}
