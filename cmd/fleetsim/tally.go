// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// tally is a row of a table: the counts of a span of time or of a server.
type tally struct {
	attempts, retries    int
	started, startedLate int
	totalStartDelay      time.Duration // of attempts with a reported start
	endpointUpdates      int
	nodes, servers       map[string]bool
	outcomes             map[string]int
	firstSentAt          int64 // microseconds
	lateAfter            time.Duration
}

func newTally(firstSentAt int64, lateAfter time.Duration) *tally {
	return &tally{
		nodes:       map[string]bool{},
		servers:     map[string]bool{},
		outcomes:    map[string]int{},
		firstSentAt: firstSentAt,
		lateAfter:   lateAfter,
	}
}

func (t *tally) add(line *logLine) {
	if line.Message == endpointMessage {
		t.endpointUpdates++
		return
	}
	t.attempts++
	t.firstSentAt = min(t.firstSentAt, line.SentAt)
	t.nodes[line.Node] = true
	t.servers[line.Server] = true
	t.outcomes[line.Outcome]++
	if line.Number > 0 {
		t.retries++
	}
	if line.StartedAt == 0 {
		return
	}
	delay := time.Duration(line.StartedAt-line.SentAt) * time.Microsecond
	t.started++
	t.totalStartDelay += delay
	if delay > t.lateAfter {
		t.startedLate++
	}
}

// meanStartDelay returns the mean time from sending to the reported start, in milliseconds.
func (t *tally) meanStartDelay() float64 {
	return float64(t.totalStartDelay.Microseconds()) / 1e3 / float64(max(t.started, 1))
}

// outcomeCounts lists the count of each outcome, sorted by name.
func (t *tally) outcomeCounts() string {
	var out strings.Builder
	for _, outcome := range slices.Sorted(maps.Keys(t.outcomes)) {
		fmt.Fprintf(&out, "%s %d  ", outcome, t.outcomes[outcome])
	}
	return out.String()
}

// addTo adds a line to the tally of a key, and creates the tally if necessary.
func addTo[Key comparable](tallies map[Key]*tally, key Key, line *logLine, lateAfter time.Duration) {
	if tallies[key] == nil {
		tallies[key] = newTally(line.SentAt, lateAfter)
	}
	tallies[key].add(line)
}

// print writes the tables by time and by server.
func (c *countCommand) print(out io.Writer, lines []logLine) {
	start := int64(math.MaxInt64)
	for i := range lines {
		start = min(start, lines[i].at())
	}
	bySpan, byServer := map[int64]*tally{}, map[string]*tally{}
	for i := range lines {
		line := &lines[i]
		addTo(bySpan, (line.at()-start)/c.Step.Microseconds(), line, c.Late)
		if line.Message == attemptMessage {
			addTo(byServer, line.Server, line, c.Late)
		}
	}
	if c.By != "executor" {
		c.printSpans(out, bySpan)
	}
	if c.By != "time" {
		printServers(out, byServer, start)
	}
}

// printSpans prints a row for each span of time.
func (c *countCommand) printSpans(out io.Writer, bySpan map[int64]*tally) {
	fmt.Fprintf(out, "%8s %7s %6s %6s %6s %7s %8s %6s  outcomes\n", "from_s", "sent", "retry", "late",
		"nodes", "servers", "mean_ms", "lists")
	for _, span := range slices.Sorted(maps.Keys(bySpan)) {
		t := bySpan[span]
		fmt.Fprintf(out, "%8.2f %7d %6d %6d %6d %7d %8.1f %6d  %s\n", float64(span)*c.Step.Seconds(),
			t.attempts, t.retries, t.startedLate,
			len(t.nodes), len(t.servers), t.meanStartDelay(), t.endpointUpdates, t.outcomeCounts())
	}
}

// printServers prints the servers in order of the first attempt at each.
func printServers(out io.Writer, byServer map[string]*tally, start int64) {
	fmt.Fprintf(out, "%-14s %8s %7s %6s %6s %9s  outcomes\n", "server", "first_s", "sent", "late", "nodes",
		"mean_ms")
	byFirstAttempt := slices.SortedFunc(maps.Keys(byServer), func(a, b string) int {
		return cmp.Or(cmp.Compare(byServer[a].firstSentAt, byServer[b].firstSentAt), cmp.Compare(a, b))
	})
	for _, server := range byFirstAttempt {
		t := byServer[server]
		fmt.Fprintf(out, "%-14s %8.2f %7d %6d %6d %9.1f  %s\n", server, float64(t.firstSentAt-start)/1e6,
			t.attempts, t.startedLate,
			len(t.nodes), t.meanStartDelay(), t.outcomeCounts())
	}
}
