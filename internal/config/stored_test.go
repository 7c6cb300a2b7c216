// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/fleet/budget"
	"fernrail/internal/fleet/subset"
	"fernrail/internal/protocol"
)

// storedNode returns the configuration that release be9205f decoded from testdata/node.json, which was
// written for it.
func storedNode() *Node {
	return &Node{
		Name:           "n1",
		Listen:         "127.0.0.1:7081",
		Discovery:      "127.0.0.1:8500",
		AdminAddress:   "127.0.0.1:7091",
		Seed:           0x8c1f,
		Cores:          0.5,
		Memory:         200 << 20,
		MaxDescriptors: 1000,
		InitialEndpoints: &protocol.EndpointList{Version: 4, Complete: true, Endpoints: []protocol.Endpoint{
			{
				ID: "s-1", Address: "10.0.0.1:7", State: dispatch.Up, Zone: 1, MachineType: 1, Cell: 3,
				StartedAt: 12e6, Capacity: 1.5,
			},
			{ID: "s-2", Address: "10.0.0.2:7", State: dispatch.Draining, Cell: 1, StartedAt: 5e6, Capacity: 2},
			{ID: "s-3", Address: "10.0.0.3:7", State: dispatch.Up, Cell: 2, StartedAt: 7e6, Capacity: 3},
		}},
		Names: &protocol.Names{
			Zones:        []string{"home", "away"},
			MachineTypes: []string{"small", "big"},
			Classes:      []string{"look", "save", "pay"},
			Tenants:      []string{"acme", "globex"},
		},
		Settings:                storedSettings(),
		DialTimeout:             120 * time.Millisecond,
		IdleTimeout:             time.Minute,
		LoadReportKeys:          protocol.LoadReportKeys{FreeSlots: "x0", FreeMemory: "x1"},
		ProbeTimeout:            80 * time.Millisecond,
		PeerMessagesUnsupported: true,
		MaxDeadline:             5 * time.Second,
		Fleet:                   storedFleet(),
		LogLevel:                zerolog.DebugLevel,
	}
}

func storedSettings() *dispatch.Settings {
	return &dispatch.Settings{
		Zone:      1,
		Nodes:     3,
		NodeIndex: 2,
		Tick:      5e6,
		Classes: []*dispatch.Class{
			{
				LatencyObjective: 300e6, MaxDeadline: 5e9, ObjectivePerWork: 3.5, Weight: 2, LateShare: 0.5,
				MachineType: -1,
			},
			{
				Index: 1, LatencyObjective: 200e6, MaxDeadline: 3e9, ObjectivePerWork: 2, Weight: 3, LateShare: 0.25,
				Idempotency: dispatch.IdempotentInGroup, DedupScope: dispatch.DedupCell, DedupWindow: 2500e6, MachineType: 1,
			},
			{
				Index: 2, LatencyObjective: 100e6, MaxDeadline: 4e9, ObjectivePerWork: 1.5, Weight: 5, LateShare: 0.75,
				Idempotency: dispatch.NonIdempotent,
			},
		},
		Tenants:             []*dispatch.Tenant{{Tag: "acme", Quota: 0.7}, {Tag: "globex", Quota: 0.3}},
		WeightByWork:        true,
		OverQuotaWeight:     0.25,
		LiveCapacity:        true,
		PollForChanges:      true,
		CapacityProbes:      true,
		StartNotices:        true,
		ProgressInterval:    1e9,
		MaxAttempts:         3,
		AllowCancel:         true,
		AllowHedging:        true,
		MaxRetryAfter:       2e9,
		CrossZoneCost:       0.1,
		FetchCost:           0.02,
		IdleTimeout:         60e9,
		WorstClassWeight:    0.6,
		MissedObjectiveCost: 5,
		SlowStartShare:      0.3,
		SlowStart:           9e9,
		OverloadWindow:      1500e6,
		OverloadFactor:      2.5,
		DeadlineMargin:      7500e3,
		StartTimeError:      40,
		MaxPollInterval:     5500e6,
		DrainGrace:          1880e6,
	}
}

func storedFleet() *Fleet {
	return &Fleet{
		VoterListen:     "127.0.0.1:7299",
		Secret:          "walk-through",
		DataDir:         "/var/lib/fernrail",
		Voters:          []Voter{{"n0", "127.0.0.1:7200"}, {"n1", "127.0.0.1:7201"}, {"n2", "127.0.0.1:7202"}},
		ElectionTimeout: 250 * time.Millisecond,
		Agreement: budget.Agreement{MaxNodes: 4, Lease: 2500e6, ClockMargin: 0.04, Budgets: map[string]budget.Limits{
			"cold":    {Total: 1000, Floor: 20, Reserve: 50, Step: 20, Window: 1600e6, Partitions: 2},
			"connect": {Total: 40, Floor: 1, Reserve: 4, Step: 3, Window: 900e6, Partitions: 4},
			"again":   {Total: 60, Floor: 2, Reserve: 6, Step: 2, Window: 1100e6, Partitions: 1, FirstAttemptRatio: 0.1},
			"jobs":    {Total: 48, Floor: 3, Reserve: 5, Step: 4, Window: 6e9, Partitions: 3},
			"calls":   {Total: 12, Floor: 1, Reserve: 2, Step: 5, Window: 700e6, Partitions: 1},
		}},
		GossipAddress:    "127.0.0.1:7301",
		GossipSeeds:      []string{"127.0.0.1:7300", "127.0.0.1:7301"},
		AddressOverrides: map[string]string{"127.0.0.1:7200": "127.0.0.1:7400"},
		Subset:           &subset.Settings{Size: 3, MinNodesPerServer: 2},
		WitnessQuorum:    2,
		Zone:             "away",
	}
}

// readStored decodes the stored file after one replacement in its text.
func readStored(t *testing.T, from, to string) (*Node, error) {
	t.Helper()
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), from, to, 1)
	if from != "" && changed == string(text) {
		t.Fatalf("testdata/node.json does not contain %s", from)
	}
	node, err := parse([]byte(changed), noEnvironment)
	if err != nil {
		return nil, err
	}
	node.values = nil
	return node, nil
}

// TestStoredNode decodes a file that has every key of a node and was written for an earlier release. The
// result must equal what that release decoded.
func TestStoredNode(t *testing.T) {
	node, err := readStored(t, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := storedNode(); !reflect.DeepEqual(node, want) {
		t.Errorf("got %+v\nsettings %+v\nfleet %+v\nwant %+v\nsettings %+v\nfleet %+v",
			node, node.Settings, node.Fleet, want, want.Settings, want.Fleet)
	}
	node, err = readStored(t, `"DrainGrace": 2000000000`, `"DrainGrace": 0`)
	if err != nil {
		t.Fatal(err)
	}
	if node.Settings.UnpolledEventAge != 3e9 {
		t.Errorf("Rules.AskWithin without Rules.DrainGrace: got %d ns, want 3e9 ns",
			node.Settings.UnpolledEventAge)
	}
	_, err = readStored(t, `"round_trip_ms": 60`, `"round_trip_ms": 900`)
	if err == nil || !strings.HasPrefix(err.Error(), "fleet.lease_ms: ") {
		t.Errorf("a lease of 2500 ms with round trips of 900 ms: got error %v, want one for fleet.lease_ms",
			err)
	}
}

// TestStoredNodeKeys renames each key of the stored file in turn and checks that the decoded configuration
// differs. The test fails if a release renames a key or no longer reads it.
func TestStoredNodeKeys(t *testing.T) {
	withoutEffect := map[string]string{
		"settings.Rules.AskWithin": "Rules.DrainGrace takes precedence",
		"settings.Report.Fields":   "its default names the same two values",
		"fleet.round_trip_ms":      "it only bounds fleet.lease_ms",
	}
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	var file any
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	keys := 0
	renameEachKey(file, "", func(path string) {
		keys++
		changed, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		node, err := parse(changed, noEnvironment)
		if err != nil {
			return
		}
		node.values = nil
		same := reflect.DeepEqual(node, storedNode())
		if _, skip := withoutEffect[path]; same != skip {
			t.Errorf("%s renamed: unchanged configuration: got %t, want %t", path, same, skip)
		}
	})
	if keys < 100 {
		t.Errorf("%d keys were renamed, want at least 100", keys)
	}
}

// renameEachKey renames the keys of an object and of all nested objects one at a time, and calls check for
// each.
func renameEachKey(value any, path string, check func(path string)) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			inner := v[key]
			innerPath := strings.TrimPrefix(path+"."+key, ".")
			delete(v, key)
			v[key+"_renamed"] = inner
			check(innerPath)
			delete(v, key+"_renamed")
			v[key] = inner
			renameEachKey(inner, innerPath, check)
		}
	case []any:
		for i, inner := range v {
			renameEachKey(inner, path+"."+strconv.Itoa(i), check)
		}
	}
}
