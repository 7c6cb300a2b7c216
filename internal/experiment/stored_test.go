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

// TestStoredResults checks that results of earlier releases are decoded, keep their key, so that their runs
// are not repeated, and are encoded with the same bytes.
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
			t.Errorf("key of %+v: got %s, want the stored %s", result.Run, key, result.Key)
		}
		written, err := json.Marshal(result)
		if err != nil || string(written) != strings.TrimSpace(line) {
			t.Errorf("encoded result: got %s, error %v, want %s", written, err, line)
		}
		results = append(results, result)
	}
	if len(results) != 2 {
		t.Fatalf("got %d results, want 2", len(results))
	}
	moreNodes, withSubset := results[0], results[1]
	if moreNodes.Variant.Nodes != 4 || moreNodes.Variant.Subset != nil ||
		moreNodes.Seed != 3 || moreNodes.Took != 1.859279694 {
		t.Errorf("first result: got %+v, want 4 nodes, no subset, seed 3 and 1.859279694 s", moreNodes)
	}
	if withSubset.Variant.Subset == nil || *withSubset.Variant.Subset != 0 ||
		withSubset.Variant.Budgets != "turns" {
		t.Errorf("second result: got %+v, want subset 0 and budgets turns", withSubset)
	}
	want := []string{
		"breaches", "cold work", "fallen", "handshakes", "held", "in time", "p99 ms", "twice", "work", "worst 10 s",
	}
	if names := slices.Sorted(maps.Keys(moreNodes.Figures)); !slices.Equal(names, want) {
		t.Errorf("figures: got %q, want %q", names, want)
	}
}
