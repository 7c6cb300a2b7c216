// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"fernrail/internal/invariants"
)

// checkCommand checks an event log against the rules.
type checkCommand struct {
	Log string `name:"log" arg:"" type:"existingfile" help:"Event log: JSON values, first the rules, then the events in order of time."`
	Max int    `name:"max" default:"20" help:"Maximum number of violations to print."`
}

// Run checks the log and prints to standard output.
func (c *checkCommand) Run() error {
	f, err := os.Open(c.Log)
	if err != nil {
		return unreadable(err)
	}
	defer f.Close()
	return c.check(f, os.Stdout)
}

// check reads a log and prints its violations. A truncated log is checked up to its last complete event.
func (c *checkCommand) check(log io.Reader, out io.Writer) error {
	in := json.NewDecoder(log)
	in.DisallowUnknownFields()
	var rules invariants.Rules
	if err := in.Decode(&rules); err != nil {
		return unreadable(fmt.Errorf("%s: rules: %w", c.Log, err))
	}
	checker := invariants.New(rules)
	events, last := 0, int64(0)
	for {
		var e invariants.Event
		err := in.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			fmt.Fprintf(out, "cut short after event %d\n", events-1)
			break
		}
		if err == nil {
			err = checker.Add(e)
		}
		if err != nil {
			return unreadable(fmt.Errorf("%s: event %d: %w", c.Log, events, err))
		}
		events++
		last = e.At
	}
	violations := checker.Violations(last)
	printViolations(out, violations, c.Max, "")
	fmt.Fprintf(out, "%d events, %d violations\n", events, len(violations))
	if len(violations) > 0 {
		return ruleBroken("the log violates the rules")
	}
	return nil
}

// printViolations prints up to a maximum number of violations, one per line.
func printViolations(out io.Writer, violations []invariants.Violation, limit int, indent string) {
	for _, v := range violations[:min(len(violations), limit)] {
		fmt.Fprintf(out, "%srule %d, event %d: %s\n", indent, v.Rule, v.Event, v.Message)
	}
}
