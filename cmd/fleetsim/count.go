// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"
)

// countCommand adds up what all nodes did, from logs written with EDGE_LOG=trace.
type countCommand struct {
	Logs []string      `arg:"" type:"existingfile" help:"The nodes' logs. A line's JSON object may follow other text."`
	Step time.Duration `default:"1s" help:"Width of a row in time."`
	Late time.Duration `default:"20ms" help:"A start that took longer counts as late."`
	By   string        `enum:"time,executor,both" default:"both" help:"What to tell apart: ${enum}."`
}

// summary is one row: what a span of time, or an executor, saw.
type summary struct {
	sent, late, retries int // postings; starts that were late; postings beside a txn's first
	nodes               map[string]bool
	outcomes            map[string]int
	totalWait           time.Duration // from sending to the start, summed
	started, lists      int
	servers             map[string]bool
	firstSent           int64 // us
}

// logLine is one log line of a node; times of postings are Unix time in us.
type logLine struct {
	Message, Node, Outcome string
	Server                 string `json:"executor"`
	Number                 int
	Time                   time.Time
	Sent                   int64 `json:"sent_us"`
	Began                  int64 `json:"began_us"` // 0: no start was told
}

// parseLine decodes one log line; false: it tells of nothing that is counted.
func parseLine(text []byte) (l logLine, ok bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return l, false
	}
	if json.Unmarshal(text[at:], &l) != nil { // the line that a killed node cut short
		return l, false
	}
	return l, l.Message == "posting" || l.Message == "list"
}

func (c *countCommand) Run() error {
	var lines []logLine
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			if l, ok := parseLine(in.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		f.Close()
		if err := in.Err(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return c.writeTables(os.Stdout, lines)
}

// writeTables writes the tables.
func (c *countCommand) writeTables(w io.Writer, lines []logLine) error {
	start := int64(1) << 62
	at := func(l logLine) int64 {
		if l.Message == "list" {
			return l.Time.UnixMicro()
		}
		return l.Sent
	}
	for _, l := range lines {
		start = min(start, at(l))
	}
	spans, executors := map[int64]*summary{}, map[string]*summary{}
	for _, l := range lines {
		addLine(spans, (at(l)-start)/c.Step.Microseconds(), l, c.Late)
		if l.Message == "posting" {
			addLine(executors, l.Server, l, c.Late)
		}
	}
	if c.By != "executor" {
		fmt.Fprintf(w, "%8s %7s %6s %6s %6s %6s %9s %6s  outcomes\n", "from_s", "sent", "again", "late", "nodes", "execs", "mean_ms", "lists")
		for _, k := range slices.Sorted(maps.Keys(spans)) {
			t := spans[k]
			fmt.Fprintf(w, "%8.2f %7d %6d %6d %6d %6d %9.1f %6d  %s\n", float64(k)*c.Step.Seconds(), t.sent, t.retries, t.late,
				len(t.nodes), len(t.servers), t.meanWaitMillis(), t.lists, t.formatOutcomes())
		}
	}
	if c.By != "time" {
		fmt.Fprintf(w, "%-14s %8s %7s %6s %6s %9s  outcomes\n", "executor", "first_s", "sent", "late", "nodes", "mean_ms")
		inOrder := slices.SortedFunc(maps.Keys(executors), func(a, b string) int {
			return cmp.Or(cmp.Compare(executors[a].firstSent, executors[b].firstSent), cmp.Compare(a, b))
		})
		for _, k := range inOrder {
			t := executors[k]
			fmt.Fprintf(w, "%-14s %8.2f %7d %6d %6d %9.1f  %s\n", k, float64(t.firstSent-start)/1e6, t.sent, t.late, len(t.nodes), t.meanWaitMillis(), t.formatOutcomes())
		}
	}
	return nil
}

func addLine[K comparable](to map[K]*summary, key K, l logLine, late time.Duration) {
	t := to[key]
	if t == nil {
		t = &summary{nodes: map[string]bool{}, servers: map[string]bool{}, outcomes: map[string]int{}, firstSent: l.Sent}
		to[key] = t
	}
	if l.Message == "list" {
		t.lists++
		return
	}
	t.sent, t.firstSent = t.sent+1, min(t.firstSent, l.Sent)
	t.nodes[l.Node], t.servers[l.Server] = true, true
	t.outcomes[l.Outcome]++
	if l.Number > 0 {
		t.retries++
	}
	if l.Began > 0 {
		wait := time.Duration(l.Began-l.Sent) * time.Microsecond
		if t.started, t.totalWait = t.started+1, t.totalWait+wait; wait > late {
			t.late++
		}
	}
}

// meanWaitMillis is the mean time from sending to the start, in ms.
func (t *summary) meanWaitMillis() float64 {
	return float64(t.totalWait.Microseconds()) / 1e3 / float64(max(t.started, 1))
}

func (t *summary) formatOutcomes() (s string) {
	for _, k := range slices.Sorted(maps.Keys(t.outcomes)) {
		s += fmt.Sprintf("%s %d  ", k, t.outcomes[k])
	}
	return s
}
