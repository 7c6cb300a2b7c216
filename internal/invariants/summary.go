// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"maps"
	"slices"
)

// worstSpan is the length of the worst stretch of time, in seconds.
const worstSpan = 10

// Service is what a class, a tenant or a stretch of time got, in priority weight of clients' requests.
type Service struct {
	Requested float64 `json:"asked"`
	OnTime    float64 `json:"on_time"`
	Late      float64 `json:"late"` // answered after the latency objective, with the full weight
}

// Share is the part served on time; 1 where nothing was requested.
func (s Service) Share() float64 {
	if s.Requested == 0 {
		return 1
	}
	return s.OnTime / s.Requested
}

// Summary is the service that a log shows. All retries of one client count as one request, from its first sending on.
type Summary struct {
	All             Service            `json:"all"`
	Classes         map[string]Service `json:"schemes"`
	Tenants         map[string]Service `json:"tenants,omitempty"`
	WorstTenSeconds float64            `json:"worst_10s"` // share on time of the worst ten seconds in a row
	Latencies       []int64            `json:"-"`         // nanoseconds from first sending to answer of what was served, sorted
	Requests        int                `json:"tries"`     // clients' retries among them
	Attempts        int                `json:"postings"`
	Shed            int                `json:"declined"`
	Compensated     int                `json:"reversed"`
}

// Latency returns the latency that a part of the served requests, from 0 to 1, did not exceed; 0 if none was served.
func (s *Summary) Latency(part float64) int64 {
	if len(s.Latencies) == 0 {
		return 0
	}
	return s.Latencies[min(int(part*float64(len(s.Latencies))), len(s.Latencies)-1)]
}

// clientRequest is what a client wanted, over all its retries.
type clientRequest struct {
	class, tenant      string
	firstRequestedAt   int64
	latencyObjectiveAt int64
	weight             float64
	answeredAt         int64 // 0: not answered
}

// addTo adds this request to the service of a group.
func (r *clientRequest) addTo(s Service) Service {
	s.Requested += r.weight
	switch {
	case r.answeredAt == 0:
	case r.answeredAt <= r.latencyObjectiveAt:
		s.OnTime += r.weight
	default:
		s.Late += r.weight
	}
	return s
}

// Collector builds a summary from events in the order of the log.
type Collector struct {
	byClient  map[string]*clientRequest
	byRequest map[string]*clientRequest
	counts    Summary
}

// NewCollector returns a collector that has seen no event.
func NewCollector() *Collector {
	return &Collector{byClient: map[string]*clientRequest{}, byRequest: map[string]*clientRequest{}}
}

// Add counts the next event.
func (c *Collector) Add(e Event) {
	switch e.Kind {
	case RequestAccepted:
		c.addRequest(e)
	case AttemptSent:
		c.counts.Attempts++
	case RequestAnswered:
		c.addAnswer(e)
	}
}

func (c *Collector) addRequest(e Event) {
	if c.byClient[e.Client] == nil {
		c.byClient[e.Client] = &clientRequest{
			class:              e.Class,
			tenant:             e.Tenant,
			firstRequestedAt:   e.FirstRequestedAt,
			latencyObjectiveAt: e.LatencyObjective,
			weight:             e.Weight,
		}
	}
	c.byRequest[e.Request] = c.byClient[e.Client]
	c.counts.Requests++
}

func (c *Collector) addAnswer(e Event) {
	request := c.byRequest[e.Request]
	switch {
	case e.Result == resultShed:
		c.counts.Shed++
	case e.Result == resultCompensated:
		c.counts.Compensated++
	case request != nil && request.answeredAt == 0:
		request.answeredAt = e.At
	}
}

// Summary returns the figures of all events so far.
func (c *Collector) Summary() *Summary {
	out := c.counts
	out.Classes = map[string]Service{}
	out.Tenants = map[string]Service{}
	bySecond := map[int64]Service{}
	for _, client := range slices.Sorted(maps.Keys(c.byClient)) { // in order, since sums of fractions depend on it
		r := c.byClient[client]
		second := r.firstRequestedAt / nanosPerSecond
		out.All = r.addTo(out.All)
		out.Classes[r.class] = r.addTo(out.Classes[r.class])
		bySecond[second] = r.addTo(bySecond[second])
		if r.tenant != "" {
			out.Tenants[r.tenant] = r.addTo(out.Tenants[r.tenant])
		}
		if r.answeredAt > 0 && r.weight > 0 {
			out.Latencies = append(out.Latencies, r.answeredAt-r.firstRequestedAt)
		}
	}
	slices.Sort(out.Latencies)
	out.WorstTenSeconds = min(out.All.Share(), worstShare(bySecond))
	return &out
}

// worstShare is the least share on time of a span whose first and last seconds have requests; 1 if there is none.
func worstShare(bySecond map[int64]Service) float64 {
	worst := 1.0
	for first := range bySecond {
		if bySecond[first].Requested == 0 || bySecond[first+worstSpan-1].Requested == 0 {
			continue
		}
		var span Service
		for second := first; second < first+worstSpan; second++ {
			span.Requested += bySecond[second].Requested
			span.OnTime += bySecond[second].OnTime
		}
		worst = min(worst, span.Share())
	}
	return worst
}

// SortedNames returns the names of groups in order.
func SortedNames(groups map[string]Service) []string {
	return slices.SortedFunc(maps.Keys(groups), cmp.Compare[string])
}
