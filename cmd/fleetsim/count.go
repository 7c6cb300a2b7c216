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

// count adds up what all nodes did, from logs written with EDGE_LOG=trace.
type count struct {
	Logs []string      `arg:"" type:"existingfile" help:"The nodes' logs. A line's JSON object may follow other text."`
	Step time.Duration `default:"1s" help:"Width of a row in time."`
	Late time.Duration `default:"20ms" help:"A start that took longer counts as late."`
	By   string        `enum:"time,executor,both" default:"both" help:"What to tell apart: ${enum}."`
}

// tally is one row: what a span of time, or an executor, saw.
type tally struct {
	sent, late, again int // postings; starts that were late; postings beside a txn's first
	nodes             map[string]bool
	outcomes          map[string]int
	waited            time.Duration // from sending to the start, summed
	started, lists    int
	executors         map[string]bool
	first             int64 // us
}

// line is one log line of a node; times of postings are Unix time in us.
type line struct {
	Message, Node, Executor, Outcome string
	Number                           int
	Time                             time.Time
	Sent                             int64 `json:"sent_us"`
	Began                            int64 `json:"began_us"` // 0: no start was told
}

// read decodes one log line; false: it tells of nothing that is counted.
func read(text []byte) (l line, ok bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return l, false
	}
	if json.Unmarshal(text[at:], &l) != nil { // the line that a killed node cut short
		return l, false
	}
	return l, l.Message == "posting" || l.Message == "list"
}

func (c *count) Run() error {
	var lines []line
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			if l, ok := read(in.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		f.Close()
		if err := in.Err(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return c.tell(os.Stdout, lines)
}

// tell writes the tables.
func (c *count) tell(w io.Writer, lines []line) error {
	start := int64(1) << 62
	at := func(l line) int64 {
		if l.Message == "list" {
			return l.Time.UnixMicro()
		}
		return l.Sent
	}
	for _, l := range lines {
		start = min(start, at(l))
	}
	spans, executors := map[int64]*tally{}, map[string]*tally{}
	for _, l := range lines {
		add(spans, (at(l)-start)/c.Step.Microseconds(), l, c.Late)
		if l.Message == "posting" {
			add(executors, l.Executor, l, c.Late)
		}
	}
	if c.By != "executor" {
		fmt.Fprintf(w, "%8s %7s %6s %6s %6s %6s %9s %6s  outcomes\n", "from_s", "sent", "again", "late", "nodes", "execs", "mean_ms", "lists")
		for _, k := range slices.Sorted(maps.Keys(spans)) {
			t := spans[k]
			fmt.Fprintf(w, "%8.2f %7d %6d %6d %6d %6d %9.1f %6d  %s\n", float64(k)*c.Step.Seconds(), t.sent, t.again, t.late,
				len(t.nodes), len(t.executors), t.mean(), t.lists, t.ends())
		}
	}
	if c.By != "time" {
		fmt.Fprintf(w, "%-14s %8s %7s %6s %6s %9s  outcomes\n", "executor", "first_s", "sent", "late", "nodes", "mean_ms")
		inOrder := slices.SortedFunc(maps.Keys(executors), func(a, b string) int {
			return cmp.Or(cmp.Compare(executors[a].first, executors[b].first), cmp.Compare(a, b))
		})
		for _, k := range inOrder {
			t := executors[k]
			fmt.Fprintf(w, "%-14s %8.2f %7d %6d %6d %9.1f  %s\n", k, float64(t.first-start)/1e6, t.sent, t.late, len(t.nodes), t.mean(), t.ends())
		}
	}
	return nil
}

func add[K comparable](to map[K]*tally, key K, l line, late time.Duration) {
	t := to[key]
	if t == nil {
		t = &tally{nodes: map[string]bool{}, executors: map[string]bool{}, outcomes: map[string]int{}, first: l.Sent}
		to[key] = t
	}
	if l.Message == "list" {
		t.lists++
		return
	}
	t.sent, t.first = t.sent+1, min(t.first, l.Sent)
	t.nodes[l.Node], t.executors[l.Executor] = true, true
	t.outcomes[l.Outcome]++
	if l.Number > 0 {
		t.again++
	}
	if l.Began > 0 {
		wait := time.Duration(l.Began-l.Sent) * time.Microsecond
		if t.started, t.waited = t.started+1, t.waited+wait; wait > late {
			t.late++
		}
	}
}

// mean is the mean time from sending to the start, in ms.
func (t *tally) mean() float64 {
	return float64(t.waited.Microseconds()) / 1e3 / float64(max(t.started, 1))
}

func (t *tally) ends() (s string) {
	for _, k := range slices.Sorted(maps.Keys(t.outcomes)) {
		s += fmt.Sprintf("%s %d  ", k, t.outcomes[k])
	}
	return s
}
