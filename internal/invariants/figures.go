// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"maps"
	"slices"
)

// Service is the service of one scheme, tenant or stretch of time, in billing value of first tries.
type Service struct {
	Requested float64 `json:"asked"`
	OnTime    float64 `json:"on_time"`
	Late      float64 `json:"late"` // answered, past the aim; full value, before any part that a late answer earns
}

// Share is the part served in time; one where nothing was asked for.
func (g Service) Share() float64 {
	if g.Requested == 0 {
		return 1
	}
	return g.OnTime / g.Requested
}

// Summary are the service that a log shows. A client's tries count as one, from its first on.
type Summary struct {
	All             Service            `json:"all"`
	Classes         map[string]Service `json:"schemes"`
	Tenants         map[string]Service `json:"tenants,omitempty"`
	WorstTenSeconds float64            `json:"worst_10s"` // share in time of the worst ten seconds in a row
	Latencies       []int64            `json:"-"`         // from first try to answer of what was served, in order of size
	Requests        int                `json:"tries"`
	Attempts        int                `json:"postings"`
	Shed            int                `json:"declined"`
	Compensated     int                `json:"reversed"`
}

// Latency is the wait that so large a part of what was served did not exceed; 0 if nothing was.
func (f *Summary) Latency(part float64) int64 {
	if len(f.Latencies) == 0 {
		return 0
	}
	return f.Latencies[min(int(part*float64(len(f.Latencies))), len(f.Latencies)-1)]
}

type want struct {
	scheme, tenant string
	first, aim     int64
	value          float64
	answered       int64 // 0: not
}

// Collector gathers figures from events, in any order of calls that keeps the log's.
type Collector struct {
	wants map[string]*want // by client
	tries map[string]*want // by txn
	out   Summary
}

func NewCollector() *Collector {
	return &Collector{wants: map[string]*want{}, tries: map[string]*want{}}
}

func (c *Collector) Add(e Event) {
	switch e.Kind {
	case RequestAccepted:
		if c.wants[e.Client] == nil {
			c.wants[e.Client] = &want{scheme: e.Class, tenant: e.Tenant, first: e.FirstRequestedAt, aim: e.LatencyObjective, value: e.Weight}
		}
		c.tries[e.Request] = c.wants[e.Client]
		c.out.Requests++
	case AttemptSent:
		c.out.Attempts++
	case RequestAnswered:
		switch w := c.tries[e.Request]; {
		case e.Result == "declined":
			c.out.Shed++
		case e.Result == "reversed":
			c.out.Compensated++
		case w != nil && w.answered == 0:
			w.answered = e.At
		}
	}
}

// Summary gives the figures.
func (c *Collector) Summary() *Summary {
	f := c.out
	f.Classes, f.Tenants = map[string]Service{}, map[string]Service{}
	bySecond := map[int64]Service{}
	for _, id := range slices.Sorted(maps.Keys(c.wants)) { // sums of fractions depend on their order
		w := c.wants[id]
		add := func(g Service) Service {
			g.Requested += w.value
			if w.answered > 0 && w.answered <= w.aim {
				g.OnTime += w.value
			} else if w.answered > 0 {
				g.Late += w.value
			}
			return g
		}
		f.All, f.Classes[w.scheme], bySecond[w.first/1e9] = add(f.All), add(f.Classes[w.scheme]), add(bySecond[w.first/1e9])
		if w.tenant != "" {
			f.Tenants[w.tenant] = add(f.Tenants[w.tenant])
		}
		if w.answered > 0 && w.value > 0 {
			f.Latencies = append(f.Latencies, w.answered-w.first)
		}
	}
	slices.Sort(f.Latencies)
	f.WorstTenSeconds = f.All.Share()
	for from := range bySecond {
		var g Service
		for s := from; s < from+10; s++ {
			g.Requested, g.OnTime = g.Requested+bySecond[s].Requested, g.OnTime+bySecond[s].OnTime
		}
		if g.Requested > 0 && bySecond[from].Requested > 0 && bySecond[from+9].Requested > 0 {
			f.WorstTenSeconds = min(f.WorstTenSeconds, g.Share())
		}
	}
	return &f
}

// SortedNames gives the keys of groups in order.
func SortedNames(groups map[string]Service) []string {
	return slices.SortedFunc(maps.Keys(groups), cmp.Compare[string])
}
