// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"fernrail/internal/invariants"
)

// judgeCommand holds a log against the rules.
type judgeCommand struct {
	Log string `arg:"" type:"existingfile" help:"JSON values: the rules first, then one event each, in order of time."`
	Max int    `default:"20" help:"How many breaches are told of."`
}

// exitError ends the program with an exit code of its own.
type exitError struct {
	error
	code int
}

func (v exitError) ExitCode() int { return v.code }

func (c *judgeCommand) Run() error {
	f, err := os.Open(c.Log)
	if err != nil {
		return exitError{err, 2}
	}
	defer f.Close()
	return c.check(f, os.Stdout)
}

// check reads a log and tells of its breaches. A log cut short is held to the rules up to the break, where time ends.
func (c *judgeCommand) check(log io.Reader, out io.Writer) error {
	in := json.NewDecoder(log)
	in.DisallowUnknownFields()
	var rules invariants.Rules
	if err := in.Decode(&rules); err != nil {
		return exitError{fmt.Errorf("%s: rules: %w", c.Log, err), 2}
	}
	j, events, last := invariants.New(rules), 0, int64(0)
	for {
		var e invariants.Event
		err := in.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		} else if errors.Is(err, io.ErrUnexpectedEOF) {
			fmt.Fprintf(out, "cut short after event %d\n", events-1)
			break
		}
		if err == nil {
			err = j.Add(e)
		}
		if err != nil {
			return exitError{fmt.Errorf("%s: event %d: %w", c.Log, events, err), 2}
		}
		events, last = events+1, e.At
	}
	breaches := j.End(last)
	var told bytes.Buffer
	for _, b := range breaches[:min(len(breaches), c.Max)] {
		fmt.Fprintf(&told, "rule %d, event %d: %s\n", b.Rule, b.Event, b.Text)
	}
	fmt.Fprintf(&told, "%d events, %d breaches\n", events, len(breaches))
	if _, err := told.WriteTo(out); err != nil {
		return err
	}
	if len(breaches) > 0 {
		return exitError{errors.New("rules are broken"), 1}
	}
	return nil
}
