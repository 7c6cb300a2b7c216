// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"testing"
)

// TestLoadReport: reports are noisy, so a little less than nothing is nothing, and a value that is
// absent or absurd must not look like free capacity.
func TestLoadReport(t *testing.T) {
	keys := LoadReportKeys{FreeSlots: "x0", FreeMemory: "x1"}
	for text, want := range map[string]LoadReport{
		`{"x0":2,"x1":1.5,"util":0.5}`: {2, 1.5}, `{"x0":-0.01,"x1":0}`: {0, 0}, "x0=3, x1=4,util=0.2": {3, 4},
	} {
		if report, err := DecodeLoadReport([]byte(text), keys); err != nil || report != want {
			t.Errorf("%s: %+v %v", text, report, err)
		}
	}
	for _, text := range []string{
		"", "{}", `{"x0":2}`, `{"x0":1e99,"x1":1}`, `{"x0":"many","x1":1}`, "x0=NaN,x1=1", "<html>",
	} {
		if report, err := DecodeLoadReport([]byte(text), keys); err == nil {
			t.Errorf("%s: %+v", text, report)
		}
	}
	if report, err := DecodeLoadReport([]byte(`{"x0":2}`), LoadReportKeys{FreeSlots: "x0"}); err != nil || report.FreeMemory < 1e9 {
		t.Errorf("memory that is not counted: %+v %v", report, err)
	}
}
