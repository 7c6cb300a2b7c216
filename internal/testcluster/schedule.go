// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is the action of a step in a schedule. Its text is used in the text form of schedules.
type FaultKind string

// The kinds of steps. Steps on links apply to the relay from Step.Node to the voter Step.Other.
const (
	FaultKill     FaultKind = "kill"    // kills the process
	FaultStart    FaultKind = "start"   // starts the process if it does not run
	FaultLoseDisk FaultKind = "forget"  // kills the process and removes the state of its voter
	FaultStop     FaultKind = "stop"    // stops the process with SIGSTOP
	FaultContinue FaultKind = "go"      // continues the stopped process
	FaultEnd      FaultKind = "end"     // terminates the process with SIGTERM
	FaultUpgrade  FaultKind = "upgrade" // starts a second process, which replaces the first
	FaultCut      FaultKind = "cut"     // cuts one direction of a link
	FaultHeal     FaultKind = "heal"    // heals both directions
	FaultDelay    FaultKind = "delay"   // delays one direction
	FaultReset    FaultKind = "reset"   // resets the connections of a link
	FaultReplay   FaultKind = "replay"  // replays calls recorded on a link
)

// Step begins or ends one fault.
type Step struct {
	At        time.Duration // relative to the start of the schedule
	Kind      FaultKind
	Node      int
	Other     int // index of the voter at the other end of a link
	Direction Direction
	Delay     time.Duration // only for FaultDelay
}

// Schedule is a list of steps in the order of time. Its text form has one line per step; ParseSchedule
// reads it.
type Schedule []Step

// String returns the step as one line of text, with times in milliseconds.
func (s Step) String() string {
	return fmt.Sprintf("%d %s %d %d %d %d",
		s.At.Milliseconds(), s.Kind, s.Node, s.Other, s.Direction, s.Delay.Milliseconds())
}

// String returns the text form of the schedule.
func (s Schedule) String() string {
	lines := []string{}
	for _, step := range s {
		lines = append(lines, step.String())
	}
	return strings.Join(lines, "\n")
}

// ParseSchedule parses the text form that String returns.
func ParseSchedule(text string) (Schedule, error) {
	var s Schedule
	in := bufio.NewScanner(strings.NewReader(text))
	for in.Scan() {
		step, err := parseStep(in.Text())
		if err != nil {
			return nil, fmt.Errorf("invalid schedule step %q: %w", in.Text(), err)
		}
		s = append(s, step)
	}
	return s, in.Err()
}

func parseStep(line string) (Step, error) {
	var step Step
	var at, delay int64 // milliseconds
	_, err := fmt.Sscan(line, &at, &step.Kind, &step.Node, &step.Other, &step.Direction, &delay)
	step.At = time.Duration(at) * time.Millisecond
	step.Delay = time.Duration(delay) * time.Millisecond
	return step, err
}

// Minimize reduces a schedule to one that still fails, by removing ever smaller parts of it.
func (s Schedule) Minimize(fails func(Schedule) bool) Schedule {
	for length := len(s) / 2; length > 0; {
		reduced := s.removeParts(length, fails)
		if len(reduced) == len(s) || length > len(reduced) {
			length /= 2
		}
		s = reduced
	}
	return s
}

// removeParts removes each part of the given length that is not needed for the schedule to fail.
func (s Schedule) removeParts(length int, fails func(Schedule) bool) Schedule {
	for from := 0; from+length <= len(s); {
		candidate := slices.Concat(s[:from], s[from+length:])
		if fails(candidate) {
			s = candidate
		} else {
			from += length
		}
	}
	return s
}
