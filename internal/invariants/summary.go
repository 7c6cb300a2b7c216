// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"maps"
	"slices"
)

// Group is the service of one scheme, tenant or stretch of time, in billing value of first tries.
type Group struct {
	Asked  float64 `json:"asked"`
	OnTime float64 `json:"on_time"`
	Late   float64 `json:"late"` // answered, past the aim; full value, before any part that a late answer earns
}

// Share is the part served in time; one where nothing was asked for.
func (g Group) Share() float64 {
	if g.Asked == 0 {
		return 1
	}
	return g.OnTime / g.Asked
}

// Summary are the service that a log shows. A client's tries count as one, from its first on.
type Summary struct {
	All      Group            `json:"all"`
	Schemes  map[string]Group `json:"schemes"`
	Tenants  map[string]Group `json:"tenants,omitempty"`
	Worst    float64          `json:"worst_10s"` // share in time of the worst ten seconds in a row
	Waits    []int64          `json:"-"`         // from first try to answer of what was served, in order of size
	Tries    int              `json:"tries"`
	Postings int              `json:"postings"`
	Declined int              `json:"declined"`
	Reversed int              `json:"reversed"`
}

// At is the wait that so large a part of what was served did not exceed; 0 if nothing was.
func (f *Summary) At(part float64) int64 {
	if len(f.Waits) == 0 {
		return 0
	}
	return f.Waits[min(int(part*float64(len(f.Waits))), len(f.Waits)-1)]
}

type demand struct {
	class, tenant      string
	firstAt, objective int64
	weight             float64
	answeredAt         int64 // 0: not
}

// Collector gathers figures from events, in any order of calls that keeps the log's.
type Collector struct {
	clients  map[string]*demand // by client
	requests map[string]*demand // by txn
	summary  Summary
}

func NewCollector() *Collector {
	return &Collector{clients: map[string]*demand{}, requests: map[string]*demand{}}
}

func (c *Collector) Add(e Event) {
	switch e.Kind {
	case RequestAccepted:
		if c.clients[e.Client] == nil {
			c.clients[e.Client] = &demand{class: e.Class, tenant: e.Tenant, firstAt: e.First, objective: e.LatencyObjective, weight: e.Weight}
		}
		c.requests[e.Request] = c.clients[e.Client]
		c.summary.Tries++
	case AttemptSent:
		c.summary.Postings++
	case RequestAnswered:
		switch w := c.requests[e.Request]; {
		case e.Result == "declined":
			c.summary.Declined++
		case e.Result == "reversed":
			c.summary.Reversed++
		case w != nil && w.answeredAt == 0:
			w.answeredAt = e.At
		}
	}
}

// End gives the figures.
func (c *Collector) End() *Summary {
	f := c.summary
	f.Schemes, f.Tenants = map[string]Group{}, map[string]Group{}
	bySecond := map[int64]Group{}
	for _, id := range slices.Sorted(maps.Keys(c.clients)) { // sums of fractions depend on their order
		w := c.clients[id]
		add := func(g Group) Group {
			g.Asked += w.weight
			if w.answeredAt > 0 && w.answeredAt <= w.objective {
				g.OnTime += w.weight
			} else if w.answeredAt > 0 {
				g.Late += w.weight
			}
			return g
		}
		f.All, f.Schemes[w.class], bySecond[w.firstAt/1e9] = add(f.All), add(f.Schemes[w.class]), add(bySecond[w.firstAt/1e9])
		if w.tenant != "" {
			f.Tenants[w.tenant] = add(f.Tenants[w.tenant])
		}
		if w.answeredAt > 0 && w.weight > 0 {
			f.Waits = append(f.Waits, w.answeredAt-w.firstAt)
		}
	}
	slices.Sort(f.Waits)
	f.Worst = f.All.Share()
	for from := range bySecond {
		var g Group
		for s := from; s < from+10; s++ {
			g.Asked, g.OnTime = g.Asked+bySecond[s].Asked, g.OnTime+bySecond[s].OnTime
		}
		if g.Asked > 0 && bySecond[from].Asked > 0 && bySecond[from+9].Asked > 0 {
			f.Worst = min(f.Worst, g.Share())
		}
	}
	return &f
}

// Names gives the keys of groups in order.
func Names(groups map[string]Group) []string {
	return slices.SortedFunc(maps.Keys(groups), cmp.Compare[string])
}
