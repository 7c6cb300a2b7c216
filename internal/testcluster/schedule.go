// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is what a step of a schedule does. Its text is what schedules are written with.
type FaultKind string

// The kinds of steps. Those on links concern the relay from Step.Node to the voter Step.Other.
const (
	FaultKill     FaultKind = "kill"    // kills the process
	FaultStart    FaultKind = "start"   // starts it, if it does not run
	FaultLoseDisk FaultKind = "forget"  // kills the process and removes its voter's state
	FaultStop     FaultKind = "stop"    // has the process stand still
	FaultContinue FaultKind = "go"      // ends that
	FaultEnd      FaultKind = "end"     // tells the process to end
	FaultUpgrade  FaultKind = "upgrade" // starts a second process that takes over
	FaultCut      FaultKind = "cut"     // cuts one direction of a link
	FaultHeal     FaultKind = "heal"    // heals both directions
	FaultDelay    FaultKind = "delay"   // delays one direction
	FaultReset    FaultKind = "reset"   // resets the connections of a link
	FaultReplay   FaultKind = "replay"  // replays calls that went over a link
)

// Step is one fault, or the end of one.
type Step struct {
	At        time.Duration // from the start of the schedule
	Kind      FaultKind
	Node      int
	Other     int // of a link
	Direction Direction
	Delay     time.Duration // of FaultDelay
}

// Schedule is faults in the order of time. Its text has a line for each step, which ParseSchedule reads.
type Schedule []Step

// String returns the line of a step. Times are in milliseconds.
func (s Step) String() string {
	return fmt.Sprintf("%d %s %d %d %d %d",
		s.At.Milliseconds(), s.Kind, s.Node, s.Other, s.Direction, s.Delay.Milliseconds())
}

// String returns the text of a schedule.
func (s Schedule) String() string {
	lines := []string{}
	for _, step := range s {
		lines = append(lines, step.String())
	}
	return strings.Join(lines, "\n")
}

// ParseSchedule reads what String wrote.
func ParseSchedule(text string) (Schedule, error) {
	var s Schedule
	in := bufio.NewScanner(strings.NewReader(text))
	for in.Scan() {
		step, err := parseStep(in.Text())
		if err != nil {
			return nil, fmt.Errorf("%q: %w", in.Text(), err)
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

// Minimize cuts a schedule down to one that still fails, by leaving out ever smaller parts of it.
func (s Schedule) Minimize(fails func(Schedule) bool) Schedule {
	for part := len(s) / 2; part > 0; {
		shorter := s.without(part, fails)
		if len(shorter) == len(s) || part > len(shorter) {
			part /= 2
		}
		s = shorter
	}
	return s
}

// without leaves out each part of a length that is not needed for the schedule to fail.
func (s Schedule) without(part int, fails func(Schedule) bool) Schedule {
	for from := 0; from+part <= len(s); {
		less := slices.Concat(s[:from], s[from+part:])
		if fails(less) {
			s = less
		} else {
			from += part
		}
	}
	return s
}
