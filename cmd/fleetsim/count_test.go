// SPDX-License-Identifier: Apache-2.0

package main

import (
	"strings"
	"testing"
	"time"
)

const nodeLogs = `0.1 {"message":"node serves","node":"n1"}
0.2 {"message":"posting","node":"n1","executor":"a","outcome":"settled","number":0,"sent_us":1000000,"began_us":1001000}
0.2 {"message":"posting","node":"n2","executor":"a","outcome":"full","number":1,"sent_us":1500000,"began_us":0}
0.3 {"message":"posting","node":"n2","executor":"b","outcome":"settled","number":2,"sent_us":2100000,"began_us":2500000}
0.4 {"message":"list","node":"n2","time":"1970-01-01T00:00:02.2Z"}
0.5 {"message":"posting","node":"n2","exec`

// TestCountOverNodes checks that rows sum the lines of several nodes, and that a truncated line of a killed
// node is ignored.
func TestCountOverNodes(t *testing.T) {
	var lines []logLine
	for text := range strings.Lines(nodeLogs) {
		if l, ok := decodeLine([]byte(text)); ok {
			lines = append(lines, l)
		}
	}
	if len(lines) != 4 {
		t.Fatalf("got %d counted lines, want 4", len(lines))
	}
	var out strings.Builder
	c := &countCommand{Step: time.Second, Late: 20 * time.Millisecond, By: "both"}
	c.print(&out, lines)
	fields := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"0.00 2 1 0 2 1 1.0 0 full 1 settled 1",
		"1.00 1 1 1 1 1 400.0 1 settled 1",
		"a 0.00 2 0 2 1.0 full 1 settled 1",
		"b 1.10 1 1 1 400.0 settled 1",
	} {
		if !strings.Contains(fields, want) {
			t.Errorf("row %q is missing in\n%s", want, out.String())
		}
	}
}
