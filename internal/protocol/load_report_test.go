// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"testing"
)

// TestLoadReport: a slightly negative value counts as 0, because reports are noisy. A value that is missing
// or out of range is an error, because it must not count as free capacity.
func TestLoadReport(t *testing.T) {
	keys := LoadReportKeys{FreeSlots: "x0", FreeMemory: "x1"}
	for text, want := range map[string]LoadReport{
		`{"x0":2,"x1":1.5,"util":0.5}`: {2, 1.5}, `{"x0":-0.01,"x1":0}`: {0, 0}, "x0=3, x1=4,util=0.2": {3, 4},
	} {
		if report, err := DecodeLoadReport([]byte(text), keys); err != nil || report != want {
			t.Errorf("%s: got report %+v and error %v, want no error and the given capacity", text, report, err)
		}
	}
	for _, text := range []string{
		"", "{}", `{"x0":2}`, `{"x0":1e99,"x1":1}`, `{"x0":"many","x1":1}`, "x0=NaN,x1=1", "<html>",
	} {
		if report, err := DecodeLoadReport([]byte(text), keys); err == nil {
			t.Errorf("invalid report %q: got %+v, want an error", text, report)
		}
	}
	if report, err := DecodeLoadReport([]byte(`{"x0":2}`), LoadReportKeys{FreeSlots: "x0"}); err != nil ||
		report.FreeMemory < 1e9 {
		t.Errorf("without a key for memory: got report %+v and error %v, want unlimited memory", report, err)
	}
}
