// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"testing"
)

// notificationSteps are the ways in which a node is notified of a drain, each with the steps that a history
// draws from. A step listed twice is drawn twice as often.
var notificationSteps = map[string][]string{
	"poll answered":                {"drain", "return"},
	"poll lost":                    {"drain", "return", "lose polls"},
	"poll reset":                   {"drain", "return", "reset polls"},
	"outage, polls answered later": {"drain", "return", "return", "return", "outage", "end outage"},
	"outage, polls lost": {"drain", "return", "return", "return", "outage losing polls",
		"end outage"},
	"agent responds 503":            {"drain", "return", "outage", "end outage", "busy"},
	"agent sends faulty lists":      {"drain", "drain", "return", "truncated", "garbage", "stale"},
	"new process with a stale list": {"drain", "return", "save list", "restart"},
	"new process during an outage":  {"drain", "return", "restart", "outage", "end outage"},
	"new configuration": {"drain", "return", "return", "change source",
		"drain and change source"},
	"new configuration, old agent down": {"drain", "return", "change source", "change source", "outage",
		"end outage"},
	"slow dials": {"drain", "return", "slow dials"},
	"all": {
		"drain", "drain", "return", "return", "lose polls", "reset polls", "outage", "outage losing polls",
		"end outage", "end outage", "truncated", "garbage", "stale", "slow dials", "save list", "restart",
		"change source",
	},
}

// TestDrainNotifications checks that, however a node is notified of a drain, no first byte of a request
// reaches the draining server after the drain grace.
func TestDrainNotifications(t *testing.T) {
	for name, steps := range notificationSteps {
		t.Run(name, func(t *testing.T) {
			// Seeds run sequentially to leave CPU time for the real processes that tests of other packages
			// run.
			for seed := range uint64(6) {
				if _, attempts, drainCount := runHistory(t, seed, steps); attempts < 50 || drainCount == 0 {
					t.Errorf("seed %d: got %d attempts and %d drains, want at least 50 and 1", seed,
						attempts, drainCount)
				}
			}
		})
	}
}

// FuzzDrainNotifications runs random histories that draw from all steps.
func FuzzDrainNotifications(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(100 + seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runHistory(t, seed, notificationSteps["all"]) })
}
