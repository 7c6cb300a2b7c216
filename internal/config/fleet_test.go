// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// fleetFile changes the example configuration of a fleet, writes it to a file and returns an environment that
// names it.
func fleetFile(t *testing.T, change func(file, fleet map[string]any)) func(string) string {
	t.Helper()
	text, err := os.ReadFile("../../example/fleet/n1.json")
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	change(file, file["fleet"].(map[string]any))
	text, err = json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return environment(map[string]string{"EDGE_CONFIG": path})
}

// TestFleetErrorsNameTheKey checks that the error for each invalid value of the fleet section begins with its
// key.
func TestFleetErrorsNameTheKey(t *testing.T) {
	server := map[string]any{
		"id": "s", "addr": "127.0.0.1:7", "zone": "home", "kind": "toy", "state": "Ready", "weight": 1,
	}
	voter := func(f map[string]any, i int) map[string]any { return f["seats"].([]any)[i].(map[string]any) }
	budgets := func(f map[string]any) map[string]any { return f["budgets"].(map[string]any) }
	for want, change := range map[string]func(file, f map[string]any){
		"":                                  func(map[string]any, map[string]any) {},
		"fleet.seats: 2 seats":              func(_, f map[string]any) { f["seats"] = f["seats"].([]any)[:2] },
		"fleet.seats: 0 seats":              func(_, f map[string]any) { delete(f, "seats") },
		"fleet.seats.2.name":                func(_, f map[string]any) { voter(f, 2)["name"] = "n0" },
		"fleet.seats.2.address":             func(_, f map[string]any) { voter(f, 2)["address"] = voter(f, 0)["address"] },
		"fleet.seats.0.address":             func(_, f map[string]any) { voter(f, 0)["address"] = "nowhere" },
		"fleet.seats.1.name":                func(_, f map[string]any) { voter(f, 1)["name"] = "a/b" },
		"fleet.listen":                      func(file, f map[string]any) { f["listen"] = file["listen"] },
		"host names are not resolved":       func(_, f map[string]any) { f["gossip"] = "node-1:7300" },
		"fleet.join: requires fleet.gossip": func(_, f map[string]any) { delete(f, "gossip") },
		"fleet.secret":                      func(_, f map[string]any) { f["secret"] = "short" },
		"fleet.most: 2":                     func(_, f map[string]any) { f["most"] = 2 },
		"fleet.most":                        func(_, f map[string]any) { f["most"] = "many" },
		"fleet.lease_ms: 140":               func(_, f map[string]any) { f["lease_ms"] = 140 },
		"fleet.margin":                      func(_, f map[string]any) { f["margin"] = 1.5 },
		"fleet.budgets.connect.whole":       func(_, f map[string]any) { budgets(f)["connect"].(map[string]any)["whole"] = 7 },
		"fleet.budgets.connect":             func(_, f map[string]any) { budgets(f)["connect"].(map[string]any)["floor"] = -1 },
		"fleet.budgets.lunches":             func(_, f map[string]any) { budgets(f)["lunches"] = map[string]any{"whole": 3} },
		"fleet.budgets.cold: missing":       func(_, f map[string]any) { delete(budgets(f), "cold") },
		"fleet.budgets.cold.window_ms":      func(_, f map[string]any) { budgets(f)["cold"].(map[string]any)["window_ms"] = 100 },
		"fleet.budgets.again.parts":         func(_, f map[string]any) { budgets(f)["again"].(map[string]any)["parts"] = 4 },
		"fleet.budgets.jobs.window_ms": func(_, f map[string]any) {
			budgets(f)["jobs"] = map[string]any{"whole": 9, "window_ms": 100}
		},
		"fleet.budgets.calls.floor": func(_, f map[string]any) { budgets(f)["calls"] = map[string]any{"whole": 9} },
		"needs one in less than 5500": func(_, f map[string]any) {
			budgets(f)["calls"] = map[string]any{"whole": 9, "floor": 1, "window_ms": 8000}
		},
		"fleet.subset.size: 2 is more than the 1 known": func(file, f map[string]any) {
			f["subset"] = map[string]any{"size": 2}
			file["known"] = map[string]any{"version": 1, "full": true, "servers": []any{server}}
		},
		"fleet.subset.size: 1 is below the minimum of 2": func(file, f map[string]any) {
			f["subset"] = map[string]any{"size": 1}
			file["settings"].(map[string]any)["Dcs"] = []any{"home", "away"}
		},
		"fleet.signals.quorum: 9 is more": func(_, f map[string]any) { f["signals"] = map[string]any{"quorum": 9} },
		"fleet.signals.quorum":            func(_, f map[string]any) { f["signals"] = map[string]any{"quorum": 1} },
		"fleet.signals: settings.MyZone": func(file, f map[string]any) {
			f["signals"] = map[string]any{"quorum": 3}
			delete(file["settings"].(map[string]any), "Dcs")
			delete(file, "known")
		},
		"fleet.subset: requires fleet.gossip": func(_, f map[string]any) {
			f["subset"] = map[string]any{"size": 3}
			delete(f, "gossip")
			delete(f, "join")
		},
		"fleet.budgets: share is for the budget again": func(_, f map[string]any) {
			budgets(f)["jobs"] = map[string]any{"whole": 9, "share": 0.1}
		},
		"fleet.budgets.cold.parts": func(_, f map[string]any) { budgets(f)["cold"].(map[string]any)["parts"] = 400 },
	} {
		n, err := Load(fleetFile(t, change))
		if want == "" {
			if err != nil || n.Fleet == nil || n.FleetDisabled {
				t.Errorf("example configuration: got error %v, node %+v; want a fleet that is enabled",
					err, n)
			} else if n.Fleet.Voter("n1") == nil || n.Fleet.VoterListen != "127.0.0.1:7201" {
				t.Errorf("got fleet %+v, want voter n1 and the listen address 127.0.0.1:7201", n.Fleet)
			}
			continue
		}
		checkKeyError(t, want, err, "fleet.")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// TestFleetDisabled checks that a fleet section has no effect if the settings forbid messages between nodes.
// Otherwise a file meant for another site would make nodes listen for each other and send calls.
func TestFleetDisabled(t *testing.T) {
	n, err := Load(fleetFile(t, func(file, _ map[string]any) {
		file["settings"].(map[string]any)["Limits"].(map[string]any)["MayTell"] = false
	}))
	if err != nil || n.Fleet != nil || !n.FleetDisabled {
		t.Errorf("with a fleet section: got error %v, node %+v; want no fleet and FleetDisabled set", err, n)
	}
	disabled := n.Settings
	n, err = Load(fleetFile(t, func(file, _ map[string]any) {
		file["settings"].(map[string]any)["Limits"].(map[string]any)["MayTell"] = false
		delete(file, "fleet")
	}))
	if err != nil || n.Fleet != nil || n.FleetDisabled {
		t.Errorf("without a fleet section: got error %v, node %+v; want no fleet and FleetDisabled unset",
			err, n)
	}
	// The dispatcher must get the same settings, so that it makes the same decisions.
	if !reflect.DeepEqual(n.Settings, disabled) || disabled.Quotas != nil {
		t.Errorf("a disabled fleet section changes the settings: without it %+v, with it %+v",
			n.Settings, disabled)
	}
}
