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
	"math"
	"os"
	"slices"
	"time"
)

// maxLogLineBytes bounds a line of a node's log.
const maxLogLineBytes = 1 << 20

// Messages of the log lines that are counted.
const (
	attemptMessage = "posting"
	listMessage    = "list"
)

// countCommand adds up what all nodes did, from logs written with EDGE_LOG=trace.
type countCommand struct {
	Logs []string      `arg:"" type:"existingfile" help:"The nodes' logs. A line's JSON object may follow other text."`
	Step time.Duration `default:"1s" help:"Width of a row in time."`
	Late time.Duration `default:"20ms" help:"A start that took longer counts as late."`
	By   string        `enum:"time,executor,both" default:"both" help:"What to tell apart: ${enum}."`
}

// logLine is one line of a node's log. Times of attempts are Unix time in microseconds.
type logLine struct {
	Message string    `json:"message"`
	Node    string    `json:"node"`
	Server  string    `json:"executor"`
	Outcome string    `json:"outcome"`
	Number  int       `json:"number"` // of the attempt within its request, from 0
	Time    time.Time `json:"time"`   // of the line itself
	Sent    int64     `json:"sent_us"`
	Began   int64     `json:"began_us"` // 0: the server told of no start
}

// at returns when what a line tells of happened, in microseconds.
func (l *logLine) at() int64 {
	if l.Message == listMessage {
		return l.Time.UnixMicro()
	}
	return l.Sent
}

// parseLine decodes one line of a log. It reports false for one that is not counted, or that a killed node cut short.
func parseLine(text []byte) (l logLine, ok bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 || json.Unmarshal(text[at:], &l) != nil {
		return logLine{}, false
	}
	return l, l.Message == attemptMessage || l.Message == listMessage
}

// Run reads the logs and prints the tables.
func (c *countCommand) Run() error {
	var lines []logLine
	for _, path := range c.Logs {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return c.writeTables(os.Stdout, lines)
}

// readLog returns the lines of a log that are counted.
func readLog(path string) (lines []logLine, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}

// writeTables prints the lines summed up by time and by server.
func (c *countCommand) writeTables(w io.Writer, lines []logLine) error {
	start := int64(math.MaxInt64)
	for i := range lines {
		start = min(start, lines[i].at())
	}
	steps, servers := map[int64]*summary{}, map[string]*summary{}
	for i := range lines {
		l := &lines[i]
		addLine(steps, (l.at()-start)/c.Step.Microseconds(), l, c.Late)
		if l.Message == attemptMessage {
			addLine(servers, l.Server, l, c.Late)
		}
	}
	table := bufio.NewWriter(w)
	if c.By != "executor" {
		writeSteps(table, steps, c.Step)
	}
	if c.By != "time" {
		writeServers(table, servers, start)
	}
	return table.Flush()
}

// writeSteps prints a row for each step in time.
func writeSteps(w io.Writer, steps map[int64]*summary, width time.Duration) {
	fmt.Fprintf(w, "%8s %7s %6s %6s %6s %6s %9s %6s  outcomes\n",
		"from_s", "sent", "again", "late", "nodes", "execs", "mean_ms", "lists")
	for _, step := range slices.Sorted(maps.Keys(steps)) {
		s := steps[step]
		fmt.Fprintf(w, "%8.2f %7d %6d %6d %6d %6d %9.1f %6d  %s\n",
			float64(step)*width.Seconds(), s.sent, s.retries, s.late,
			len(s.nodes), len(s.servers), s.meanWaitMillis(), s.lists, s.formatOutcomes())
	}
}

// writeServers prints a row for each server, in the order of their first attempts.
func writeServers(w io.Writer, servers map[string]*summary, start int64) {
	fmt.Fprintf(w, "%-14s %8s %7s %6s %6s %9s  outcomes\n", "executor", "first_s", "sent", "late", "nodes", "mean_ms")
	byFirstAttempt := slices.SortedFunc(maps.Keys(servers), func(a, b string) int {
		return cmp.Or(cmp.Compare(servers[a].firstSent, servers[b].firstSent), cmp.Compare(a, b))
	})
	for _, server := range byFirstAttempt {
		s := servers[server]
		sinceStart := time.Duration(s.firstSent-start) * time.Microsecond
		fmt.Fprintf(w, "%-14s %8.2f %7d %6d %6d %9.1f  %s\n",
			server, sinceStart.Seconds(), s.sent, s.late, len(s.nodes), s.meanWaitMillis(), s.formatOutcomes())
	}
}

// summary is one row: what was logged of a step in time, or of a server.
type summary struct {
	sent      int           // attempts
	late      int           // of these, with a late start
	retries   int           // of these, beside a request's first attempt
	started   int           // of these, with a start
	totalWait time.Duration // from sending to the start
	firstSent int64         // Unix time, microseconds
	lists     int           // endpoint lists that nodes got
	nodes     map[string]bool
	servers   map[string]bool
	outcomes  map[string]int
}

// addLine adds a line to the summary of a key.
func addLine[K comparable](summaries map[K]*summary, key K, l *logLine, late time.Duration) {
	s := summaries[key]
	if s == nil {
		s = &summary{
			firstSent: l.Sent,
			nodes:     map[string]bool{},
			servers:   map[string]bool{},
			outcomes:  map[string]int{},
		}
		summaries[key] = s
	}
	if l.Message == listMessage {
		s.lists++
		return
	}
	s.addAttempt(l, late)
}

// addAttempt adds an attempt to a summary.
func (s *summary) addAttempt(l *logLine, late time.Duration) {
	s.sent++
	s.firstSent = min(s.firstSent, l.Sent)
	s.nodes[l.Node] = true
	s.servers[l.Server] = true
	s.outcomes[l.Outcome]++
	if l.Number > 0 {
		s.retries++
	}
	if l.Began <= 0 {
		return
	}
	wait := time.Duration(l.Began-l.Sent) * time.Microsecond
	s.started++
	s.totalWait += wait
	if wait > late {
		s.late++
	}
}

// meanWaitMillis returns the mean time from sending to the start, in milliseconds.
func (s *summary) meanWaitMillis() float64 {
	return float64(s.totalWait.Microseconds()) / 1e3 / float64(max(s.started, 1))
}

// formatOutcomes returns how many attempts had each outcome.
func (s *summary) formatOutcomes() (text string) {
	for _, outcome := range slices.Sorted(maps.Keys(s.outcomes)) {
		text += fmt.Sprintf("%s %d  ", outcome, s.outcomes[outcome])
	}
	return text
}
