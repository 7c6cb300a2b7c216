// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"slices"
)

// decayTime (ns) is the time constant by which old observations lose their weight and reliability returns to
// 1.
const decayTime = 10e9

// decayingRatio counts events and the successful ones among them. Older events count less.
type decayingRatio struct {
	total, hits float64
	decayedAt   int64 // clock time for which both counts are valid
}

// decay updates both counts to the given clock time. It must be called before the counts are read or
// changed.
func (r *decayingRatio) decay(now int64) *decayingRatio {
	factor := math.Exp(-float64(now-r.decayedAt) / decayTime)
	r.total *= factor
	r.hits *= factor
	r.decayedAt = now
	return r
}

// record adds an event.
func (r *decayingRatio) record(hit bool) {
	r.total++
	if hit {
		r.hits++
	}
}

// timedAmount is an amount of work or slots at a clock time.
type timedAmount struct {
	at     int64 // clock time, ns
	amount float64
}

// recentAmounts are the amounts of the recent past, in order of time.
type recentAmounts []timedAmount

// add appends an amount and drops those older than span (ns).
func (a recentAmounts) add(at int64, amount float64, span int64) recentAmounts {
	a = slices.DeleteFunc(a, func(old timedAmount) bool { return at-old.at > span })
	return append(a, timedAmount{at, amount})
}

// sum returns a start value plus the amounts since a clock time.
func (a recentAmounts) sum(start float64, since int64) float64 {
	for _, recent := range a {
		if recent.at >= since {
			start += recent.amount
		}
	}
	return start
}
