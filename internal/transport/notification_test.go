// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"testing"
)

// notificationSteps are the ways in which a node is notified that a server leaves, each with the steps that history
// draws.
var notificationSteps = map[string][]string{
	"watch answered":                {"drain", "return"},
	"watch that falls silent":       {"drain", "return", "stick"},
	"watch that is reset":           {"drain", "return", "reset"},
	"agent silent, calls mended":    {"drain", "return", "return", "return", "silence", "back"},
	"agent silent, calls lost":      {"drain", "return", "return", "return", "mute", "back"},
	"agent that is busy":            {"drain", "return", "silence", "back", "busy"},
	"agent that talks nonsense":     {"drain", "drain", "return", "half", "garbage", "old"},
	"new process on an old list":    {"drain", "return", "hand", "restart"},
	"new process, agent silent":     {"drain", "return", "restart", "silence", "back"},
	"new configuration":             {"drain", "return", "return", "hangup", "swap"},
	"new configuration, old silent": {"drain", "return", "hangup", "hangup", "silence", "back"},
	"connections that come up late": {"drain", "return", "late"},
	"all": {
		"drain", "drain", "return", "return", "stick", "reset", "silence", "mute", "back", "back", "half", "garbage",
		"old", "late", "hand", "restart", "hangup",
	},
}

// TestDrainNotifications: however it is notified, a node sends nothing to what leaves once the grace is over, by
// first bytes.
func TestDrainNotifications(t *testing.T) {
	for name, steps := range notificationSteps {
		t.Run(name, func(t *testing.T) {
			// One after the other: real processes of other packages want their time meanwhile.
			for seed := range uint64(6) {
				if _, posted, drains := runHistory(t, seed, steps); posted < 50 || drains == 0 {
					t.Errorf("seed %d: %d posted, %d drains", seed, posted, drains)
				}
			}
		})
	}
}

// FuzzDrainNotifications plays random histories of all of them.
func FuzzDrainNotifications(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(100 + seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runHistory(t, seed, notificationSteps["all"]) })
}
