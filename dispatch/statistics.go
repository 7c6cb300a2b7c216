// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"slices"
)

// decayingRatio is what was asked for and what of it was earned, fading.
type decayingRatio struct {
	total, hits float64
	decayedAt   int64
}

// decay lets what is old count less and less.
func (l *decayingRatio) decay(now int64) *decayingRatio {
	f := math.Exp(-float64(now-l.decayedAt) / decayTime)
	l.total, l.hits, l.decayedAt = l.total*f, l.hits*f, now
	return l
}

// record adds one that was asked for.
func (l *decayingRatio) record(earned bool) {
	if l.total++; earned {
		l.hits++
	}
}

type timedAmount struct {
	at     int64
	amount float64
}

// recentAmounts are in order of time.
type recentAmounts []timedAmount

// add notes one more, and forgets those over a span old.
func (c recentAmounts) add(at int64, work float64, span int64) recentAmounts {
	return append(slices.DeleteFunc(c, func(o timedAmount) bool { return at-o.at > span }), timedAmount{at, work})
}

// sum adds those from a time on to what there is.
func (c recentAmounts) sum(all float64, since int64) float64 {
	for _, o := range c {
		if o.at >= since {
			all += o.amount
		}
	}
	return all
}
