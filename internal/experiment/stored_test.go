// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestStoredResults: results that earlier releases wrote are read, have the key that they were stored with, so that
// their runs are not played again, and are written with the same bytes.
func TestStoredResults(t *testing.T) {
	text, err := os.ReadFile("testdata/runs.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var results []Result
	for line := range strings.Lines(string(text)) {
		var result Result
		if err := json.Unmarshal([]byte(line), &result); err != nil {
			t.Fatal(err)
		}
		if key := result.Run.Key(); key != result.Key {
			t.Errorf("the key of %+v is %s, was %s", result.Run, key, result.Key)
		}
		written, err := json.Marshal(result)
		if err != nil || string(written) != strings.TrimSpace(line) {
			t.Errorf("wrote %s, %v, want %s", written, err, line)
		}
		results = append(results, result)
	}
	if len(results) != 2 {
		t.Fatalf("%d results", len(results))
	}
	grown, divided := results[0], results[1]
	if grown.Variant.Nodes != 4 || grown.Variant.Subset != nil || grown.Seed != 3 || grown.Took != 1.859279694 {
		t.Errorf("%+v", grown)
	}
	if divided.Variant.Subset == nil || *divided.Variant.Subset != 0 || divided.Variant.Budgets != "turns" {
		t.Errorf("%+v", divided)
	}
	want := []string{
		"breaches", "cold work", "fallen", "handshakes", "held", "in time", "p99 ms", "twice", "work", "worst 10 s",
	}
	if names := slices.Sorted(maps.Keys(grown.Figures)); !slices.Equal(names, want) {
		t.Errorf("figures %q, want %q", names, want)
	}
}
