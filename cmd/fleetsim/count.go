// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// countCommand counts the attempts and endpoint updates in the logs of nodes that ran with EDGE_LOG=trace.
type countCommand struct {
	Logs []string      `name:"logs" arg:"" type:"existingfile" help:"The nodes' logs. A line's JSON object may follow other text."`
	Step time.Duration `name:"step" default:"1s" help:"Time span of a row."`
	Late time.Duration `name:"late" default:"20ms" help:"Attempts that started after a longer delay count as late."`
	By   string        `name:"by" enum:"time,executor,both" default:"both" help:"Tables to print: ${enum}."`
}

// The log lines that are counted, by their message.
const (
	attemptMessage  = "posting"
	endpointMessage = "list"
)

// maxLineBytes is the maximum length of a log line. The longest lines contain stack traces.
const maxLineBytes = 1 << 20

// logLine is one log line of a node; times of attempts are Unix time in microseconds.
type logLine struct {
	Message   string    `json:"message"`
	Node      string    `json:"node"`
	Outcome   string    `json:"outcome"`
	Server    string    `json:"executor"`
	Number    int       `json:"number"`
	Time      time.Time `json:"time"`
	SentAt    int64     `json:"sent_us"`
	StartedAt int64     `json:"began_us"` // 0: no start was reported
}

// at returns the time that a line is counted at, in microseconds.
func (l *logLine) at() int64 {
	if l.Message == endpointMessage {
		return l.Time.UnixMicro()
	}
	return l.SentAt
}

// decodeLine decodes a log line; false: the line is not counted, or was truncated when a node was killed.
func decodeLine(text []byte) (line logLine, counted bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false
	}
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return line, false
	}
	return line, line.Message == attemptMessage || line.Message == endpointMessage
}

// Run counts the lines of all logs and prints the tables to standard output.
func (c *countCommand) Run() error {
	var lines []logLine
	for _, path := range c.Logs {
		more, err := readLog(path)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, more...)
	}
	c.print(os.Stdout, lines)
	return nil
}

// readLog returns the counted lines of a log.
func readLog(path string) (lines []logLine, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, counted := decodeLine(scanner.Bytes()); counted {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}
