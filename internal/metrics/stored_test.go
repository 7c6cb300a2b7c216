// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// TestStoredReply checks that the telemetry reply of an earlier release, be9205f, is decoded to the same
// values, and that these values are encoded to the same bytes. Tools of operators read this reply.
func TestStoredReply(t *testing.T) {
	stored, err := os.ReadFile("testdata/telemetry.json")
	if err != nil {
		t.Fatal(err)
	}
	want := &Snapshot{
		Requests: map[string]ClassCounts{
			"status":     {Served: 3, Rejected: 1, Failed: 1},
			"full-check": {Served: 1, Rejected: 1, Failed: 2},
			"never":      {},
		},
		InFlight:        2,
		Attempts:        11,
		ServersKnown:    10,
		ServersExcluded: 2,
		Fleet: map[string]any{
			"epoch":   3.0,
			"budgets": map[string]any{"cold": map[string]any{"whole": 1000.0}},
		},
	}
	var got Snapshot
	if err := json.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(&got, want) {
		t.Errorf("decoded: got %+v, want %+v", got, *want)
	}
	written, err := want.JSON()
	if err != nil || string(written) != string(stored) {
		t.Errorf("encoded: got %s, error %v, want %s", written, err, stored)
	}
}
