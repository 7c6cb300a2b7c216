// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 4 * time.Second
	// processRest is the minimum time between two faults of the same node's process.
	processRest = 2 * time.Second
	minDelay    = 50 * time.Millisecond
	maxDelay    = 2 * time.Second
)

// ScheduleSize sets the number and the range of the faults that RandomSchedule draws.
type ScheduleSize struct {
	Nodes  int
	Voters int           // number of nodes with a voter; these are the first nodes
	Faults int           // number of faults; the end of each is also in the schedule
	Span   time.Duration // time within which all faults begin
}

// RandomSchedule draws faults that may overlap, each with its end. The same seed gives the same schedule.
// No voter loses its state, since a cluster is not required to survive a simultaneous loss of state of
// several voters.
func RandomSchedule(seed uint64, size ScheduleSize) Schedule {
	g := &scheduleGenerator{
		rand:  rand.New(rand.NewPCG(seed, 11)),
		nodes: size.Nodes,
		busy:  make([]time.Duration, size.Nodes),
	}
	for range size.Faults {
		f := drawnFault{
			node:  g.rand.IntN(size.Nodes),
			other: g.rand.IntN(size.Voters),
			begin: g.duration(0, size.Span),
		}
		f.end = f.begin + g.duration(minFaultTime, maxFaultTime)
		f.direction = Direction(g.rand.IntN(2))
		g.add(f)
	}
	slices.SortStableFunc(g.schedule, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return g.schedule
}

// drawnFault is a fault whose kind has not been drawn yet.
type drawnFault struct {
	node, other int
	begin, end  time.Duration
	direction   Direction
}

// step returns a step that applies to the fault's node, link and direction.
func (f drawnFault) step(at time.Duration, kind FaultKind) Step {
	return Step{At: at, Kind: kind, Node: f.node, Other: f.other, Direction: f.direction}
}

// undirected returns a step that applies to both directions of a link.
func (f drawnFault) undirected(at time.Duration, kind FaultKind) Step {
	return Step{At: at, Kind: kind, Node: f.node, Other: f.other}
}

// scheduleGenerator draws a schedule.
type scheduleGenerator struct {
	rand     *rand.Rand
	nodes    int
	busy     []time.Duration // by node: end of its last process fault plus processRest
	schedule Schedule
}

// duration draws a duration in whole milliseconds.
func (g *scheduleGenerator) duration(from, to time.Duration) time.Duration {
	offset := time.Duration(g.rand.Int64N(int64(max(to-from, 1))))
	return (from + offset).Truncate(time.Millisecond)
}

// add draws the kind of a fault and adds its steps.
func (g *scheduleGenerator) add(f drawnFault) {
	switch g.rand.IntN(7) {
	case 0:
		g.addProcessFault(f, FaultKill, FaultStart)
	case 1:
		g.addProcessFault(f, FaultStop, FaultContinue)
	case 2:
		g.addProcessFault(f, FaultEnd, FaultStart)
	case 3:
		g.addCut(f)
	case 4: // all nodes lose one direction of their link to a voter
		for node := range g.nodes {
			f.node = node
			g.addCut(f)
		}
	case 5:
		delay := f.step(f.begin, FaultDelay)
		delay.Delay = g.duration(minDelay, maxDelay)
		g.schedule = append(g.schedule, delay, f.step(f.end, FaultDelay), f.undirected(f.end, FaultReset))
	case 6:
		g.schedule = append(g.schedule, f.undirected(f.begin, FaultReplay), f.undirected(f.end, FaultReplay))
	}
}

// addProcessFault adds a fault of a node's process, unless the process is still in or resting from another
// fault.
func (g *scheduleGenerator) addProcessFault(f drawnFault, first, last FaultKind) {
	if f.begin < g.busy[f.node] {
		return
	}
	g.busy[f.node] = f.end + processRest
	g.schedule = append(g.schedule,
		Step{At: f.begin, Kind: first, Node: f.node},
		Step{At: f.end, Kind: last, Node: f.node},
	)
}

func (g *scheduleGenerator) addCut(f drawnFault) {
	g.schedule = append(g.schedule, f.step(f.begin, FaultCut), f.undirected(f.end, FaultHeal))
}
