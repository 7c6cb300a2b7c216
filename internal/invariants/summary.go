// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"cmp"
	"maps"
	"slices"
)

// worstSpan is the length in seconds of the spans of which the worst is reported.
const worstSpan = 10

// Service is the service that a class, a tenant or a span of time received, in priority weight of clients'
// requests.
type Service struct {
	Requested float64 `json:"asked"`
	OnTime    float64 `json:"on_time"`
	Late      float64 `json:"late"` // answered after the latency objective, with the full weight
}

// Share returns the share served on time; 1 if nothing was requested.
func (s Service) Share() float64 {
	if s.Requested == 0 {
		return 1
	}
	return s.OnTime / s.Requested
}

// Summary is the service that a log shows. A client's retries count as one request that starts with the first
// of them.
type Summary struct {
	All             Service            `json:"all"`
	Classes         map[string]Service `json:"schemes"`
	Tenants         map[string]Service `json:"tenants,omitempty"`
	WorstTenSeconds float64            `json:"worst_10s"` // share on time of the worst ten seconds in a row
	Latencies       []int64            `json:"-"`         // of served requests, in nanoseconds; sorted
	Requests        int                `json:"tries"`     // clients' retries included
	Attempts        int                `json:"postings"`
	Shed            int                `json:"declined"`
	Compensated     int                `json:"reversed"`
}

// Latency returns a quantile, from 0 to 1, of the latencies in nanoseconds; 0 if no request was served.
func (s *Summary) Latency(quantile float64) int64 {
	if len(s.Latencies) == 0 {
		return 0
	}
	return s.Latencies[min(int(quantile*float64(len(s.Latencies))), len(s.Latencies)-1)]
}

// clientRequest is a client's request with all of its retries.
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

// NewCollector returns a collector without events.
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

// Summary returns the summary of all events so far.
func (c *Collector) Summary() *Summary {
	summary := c.counts
	summary.Classes = map[string]Service{}
	summary.Tenants = map[string]Service{}
	bySecond := map[int64]Service{}
	// Sorted, since floating-point sums depend on the order.
	for _, client := range slices.Sorted(maps.Keys(c.byClient)) {
		r := c.byClient[client]
		second := r.firstRequestedAt / nanosPerSecond
		summary.All = r.addTo(summary.All)
		summary.Classes[r.class] = r.addTo(summary.Classes[r.class])
		bySecond[second] = r.addTo(bySecond[second])
		if r.tenant != "" {
			summary.Tenants[r.tenant] = r.addTo(summary.Tenants[r.tenant])
		}
		if r.answeredAt > 0 && r.weight > 0 {
			summary.Latencies = append(summary.Latencies, r.answeredAt-r.firstRequestedAt)
		}
	}
	slices.Sort(summary.Latencies)
	summary.WorstTenSeconds = min(summary.All.Share(), worstShare(bySecond))
	return &summary
}

// worstShare returns the lowest share on time of all spans whose first and last seconds have requests; 1 if
// there is no such span.
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
