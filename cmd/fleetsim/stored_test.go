// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"strings"
	"testing"
	"time"
)

// The files in testdata were written by the programs of the release be9205f: node.log by a node with
// EDGE_LOG=trace, events.log by the emulator. count.txt and judge.txt are the output of that release for
// them, with the column headings and the verdict of the current release.

// readStored returns the text of a stored file.
func readStored(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestStoredTrace checks that the node log of an earlier release is counted as by that release.
func TestStoredTrace(t *testing.T) {
	var lines []logLine
	for text := range strings.Lines(readStored(t, "node.log")) {
		if l, ok := decodeLine([]byte(text)); ok {
			lines = append(lines, l)
		}
	}
	var out strings.Builder
	c := &countCommand{Step: time.Second, Late: 20 * time.Millisecond, By: "both"}
	c.print(&out, lines)
	if want := readStored(t, "count.txt"); out.String() != want {
		t.Errorf("tables: got\n%s\nwant\n%s", out.String(), want)
	}
}

// TestStoredEvents checks that the event log of an earlier release gives the same verdict as with that
// release.
func TestStoredEvents(t *testing.T) {
	var out strings.Builder
	err := (&checkCommand{Log: "events.log", Max: 20}).check(strings.NewReader(readStored(t, "events.log")),
		&out)
	if err != nil {
		t.Error(err)
	}
	if want := readStored(t, "judge.txt"); out.String() != want {
		t.Errorf("verdict: got\n%s\nwant\n%s", out.String(), want)
	}
}
