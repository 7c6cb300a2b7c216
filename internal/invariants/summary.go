// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// worstSeconds is the length of the stretch of time whose service Summary.Worst gives, in seconds.
const worstSeconds = 10

const (
	resultCompensated = "reversed"
	second            = int64(time.Second)
)

// Group is the service of one class, tenant or stretch of time, in priority weights of clients' first requests.
type Group struct {
	Asked  float64 `json:"asked"`
	OnTime float64 `json:"on_time"` // answered within the latency objective
	Late   float64 `json:"late"`    // answered after it; the full weight, whatever a late answer is worth
}

// Share returns the part served in time, 1 if nothing was asked for.
func (g Group) Share() float64 {
	if g.Asked == 0 {
		return 1
	}
	return g.OnTime / g.Asked
}

// plus returns the sum of two groups.
func (g Group) plus(other Group) Group {
	return Group{Asked: g.Asked + other.Asked, OnTime: g.OnTime + other.OnTime, Late: g.Late + other.Late}
}

// Summary is the service that a log shows. A client's retries count as one request, from the first on.
type Summary struct {
	All      Group            `json:"all"`
	Schemes  map[string]Group `json:"schemes"` // by class
	Tenants  map[string]Group `json:"tenants,omitempty"`
	Worst    float64          `json:"worst_10s"` // the part served in time of the worst ten seconds in a row
	Waits    []int64          `json:"-"`         // nanoseconds from first request to answer of what was served, sorted
	Tries    int              `json:"tries"`     // requests, with retries
	Postings int              `json:"postings"`  // attempts
	Declined int              `json:"declined"`  // requests that were shed
	Reversed int              `json:"reversed"`  // requests that were compensated
}

// At returns the wait, in nanoseconds, that a part of what was served did not exceed, such as 0.99; 0 if nothing was.
func (s *Summary) At(part float64) int64 {
	if len(s.Waits) == 0 {
		return 0
	}
	return s.Waits[min(int(part*float64(len(s.Waits))), len(s.Waits)-1)]
}

// demand is what one client asked for, over all its retries.
type demand struct {
	class, tenant string
	firstAt       int64
	objective     int64 // until when an answer is in time
	weight        float64
	answeredAt    int64 // 0: not
}

func (d *demand) isAnswered() bool { return d.answeredAt > 0 }

// service returns the demand as a group.
func (d *demand) service() Group {
	g := Group{Asked: d.weight}
	switch {
	case !d.isAnswered():
	case d.answeredAt <= d.objective:
		g.OnTime = d.weight
	default:
		g.Late = d.weight
	}
	return g
}

// Collector makes a summary from the events of a log, in their order.
type Collector struct {
	clients  map[string]*demand
	requests map[string]*demand
	summary  Summary
}

// NewCollector returns a collector that has seen no event.
func NewCollector() *Collector {
	return &Collector{clients: map[string]*demand{}, requests: map[string]*demand{}}
}

// Add takes the next event.
func (c *Collector) Add(e Event) {
	switch e.Kind {
	case RequestAccepted:
		c.accept(e)
	case AttemptSent:
		c.summary.Postings++
	case RequestAnswered:
		c.answer(e)
	}
}

func (c *Collector) accept(e Event) {
	if c.clients[e.Client] == nil {
		c.clients[e.Client] = &demand{
			class:     e.Class,
			tenant:    e.Tenant,
			firstAt:   e.First,
			objective: e.LatencyObjective,
			weight:    e.Weight,
		}
	}
	c.requests[e.Request] = c.clients[e.Client]
	c.summary.Tries++
}

func (c *Collector) answer(e Event) {
	d := c.requests[e.Request]
	switch {
	case e.Result == resultShed:
		c.summary.Declined++
	case e.Result == resultCompensated:
		c.summary.Reversed++
	case d != nil && !d.isAnswered():
		d.answeredAt = e.At
	}
}

// End returns the summary of the events so far.
func (c *Collector) End() *Summary {
	s := c.summary
	s.Schemes, s.Tenants = map[string]Group{}, map[string]Group{}
	bySecond := map[int64]Group{}
	for _, id := range slices.Sorted(maps.Keys(c.clients)) { // sums of fractions depend on their order
		d := c.clients[id]
		served := d.service()
		s.All = s.All.plus(served)
		s.Schemes[d.class] = s.Schemes[d.class].plus(served)
		bySecond[d.firstAt/second] = bySecond[d.firstAt/second].plus(served)
		if d.tenant != "" {
			s.Tenants[d.tenant] = s.Tenants[d.tenant].plus(served)
		}
		if d.isAnswered() && d.weight > 0 {
			s.Waits = append(s.Waits, d.answeredAt-d.firstAt)
		}
	}
	slices.Sort(s.Waits)
	s.Worst = min(s.All.Share(), worstShare(bySecond))
	return &s
}

// worstShare returns the least part served in time of any stretch that begins and ends in seconds with demand, 1 if
// there is none.
func worstShare(bySecond map[int64]Group) float64 {
	worst := 1.0
	for from := range bySecond {
		last := from + worstSeconds - 1
		if bySecond[from].Asked <= 0 || bySecond[last].Asked <= 0 {
			continue
		}
		var stretch Group
		for at := from; at <= last; at++ {
			stretch = stretch.plus(bySecond[at])
		}
		worst = min(worst, stretch.Share())
	}
	return worst
}

// Names returns the keys of groups in order.
func Names(groups map[string]Group) []string {
	return slices.SortedFunc(maps.Keys(groups), cmp.Compare[string])
}
