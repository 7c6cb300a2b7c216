// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is one fault, or the end of one.
type Step struct {
	At        time.Duration // from the start of the schedule
	Kind      string        // kill, start, forget, stop, go, end, upgrade, cut, heal, delay, reset, replay
	Node      int
	Other     int // cut, delay, reset, replay: the seat called
	Direction Direction
	Delay     time.Duration // delay
}

// Schedule is faults in the order of time. As text it is a line a step, which Parse reads.
type Schedule []Step

func (s Step) String() string {
	return fmt.Sprintf("%d %s %d %d %d %d", s.At.Milliseconds(), s.Kind, s.Node, s.Other, s.Direction, s.Delay.Milliseconds())
}

func (s Schedule) String() string {
	lines := []string{}
	for _, step := range s {
		lines = append(lines, step.String())
	}
	return strings.Join(lines, "\n")
}

// ParseSchedule reads what String wrote.
func ParseSchedule(text string) (s Schedule, err error) {
	in := bufio.NewScanner(strings.NewReader(text))
	for in.Scan() {
		var step Step
		var at, by int64
		if _, err := fmt.Sscan(in.Text(), &at, &step.Kind, &step.Node, &step.Other, &step.Direction, &by); err != nil {
			return nil, fmt.Errorf("%q: %w", in.Text(), err)
		}
		step.At, step.Delay = time.Duration(at)*time.Millisecond, time.Duration(by)*time.Millisecond
		s = append(s, step)
	}
	return s, nil
}

// RandomSchedule makes a schedule by chance: faults that begin within a span and overlap, each with its end, for so many nodes of which
// the first have seats. Seats lose their memory one at a time, and not while another is down: more is no fault to be borne.
func RandomSchedule(seed uint64, nodes, seats, faults int, span time.Duration) (s Schedule) {
	chance := rand.New(rand.NewPCG(seed, 11))
	at := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(chance.Int64N(int64(max(to-from, 1))))).Truncate(time.Millisecond)
	}
	busy := make([]time.Duration, nodes) // until when a node's process is being played with
	for range faults {
		n, other, begin := chance.IntN(nodes), chance.IntN(seats), at(0, span)
		over := begin + at(300*time.Millisecond, 4*time.Second)
		way := Direction(chance.IntN(2))
		process := func(first, last string) {
			if begin < busy[n] {
				return
			}
			busy[n] = over + 2*time.Second
			s = append(s, Step{At: begin, Kind: first, Node: n}, Step{At: over, Kind: last, Node: n})
		}
		switch chance.IntN(7) {
		case 0:
			process("kill", "start")
		case 1:
			process("stop", "go")
		case 2:
			process("end", "start")
		case 3:
			s = append(s, Step{At: begin, Kind: "cut", Node: n, Other: other, Direction: way}, Step{At: over, Kind: "heal", Node: n, Other: other})
		case 4: // a seat apart from all, both ways or one
			for i := range nodes {
				s = append(s, Step{At: begin, Kind: "cut", Node: i, Other: other, Direction: way}, Step{At: over, Kind: "heal", Node: i, Other: other})
			}
		case 5:
			s = append(s, Step{At: begin, Kind: "delay", Node: n, Other: other, Direction: way, Delay: at(50*time.Millisecond, 2*time.Second)},
				Step{At: over, Kind: "delay", Node: n, Other: other, Direction: way}, Step{At: over, Kind: "reset", Node: n, Other: other})
		case 6:
			s = append(s, Step{At: begin, Kind: "replay", Node: n, Other: other}, Step{At: over, Kind: "replay", Node: n, Other: other})
		}
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// Minimize cuts a schedule down to one that still fails, by leaving out ever smaller parts of it.
func (s Schedule) Minimize(fails func(Schedule) bool) Schedule {
	for part := len(s) / 2; part > 0; {
		smaller := false
		for from := 0; from+part <= len(s); {
			if less := slices.Concat(s[:from], s[from+part:]); fails(less) {
				s, smaller = less, true
			} else {
				from += part
			}
		}
		if !smaller || part > len(s) {
			part /= 2
		}
	}
	return s
}
