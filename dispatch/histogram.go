// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// maxHistogramCount is the number of entries at which a histogram is halved: some tens of seconds of a scheme's answers.
const maxHistogramCount = 64

// histogram is a small histogram over ratios or seconds, two bins a doubling from 1/256 upwards.
type histogram struct {
	bins  [36]uint16
	count int
}

func binOf(v float64) int {
	return min(int(2*math.Log2(max(v*256, 1))), len(histogram{}.bins)-1)
}

func (s *histogram) add(v float64) {
	s.bins[binOf(v)]++
	if s.count++; s.count >= maxHistogramCount {
		s.count = 0
		for i := range s.bins {
			s.bins[i] /= 2
			s.count += int(s.bins[i])
		}
	}
}

// shareBelow is the share of entries under a value; half while nothing is known.
func (s *histogram) shareBelow(v float64) float64 {
	under := 0
	for _, c := range s.bins[:binOf(v)] {
		under += int(c)
	}
	return (float64(under) + 0.5) / float64(s.count+1)
}

// quantile is the q-quantile, or the given value while nothing is known.
func (s *histogram) quantile(q, unknown float64) float64 {
	left := q * float64(s.count)
	for i, c := range s.bins {
		if left -= float64(c); left < 0 {
			return math.Exp2((float64(i)+0.5)/2) / 256
		}
	}
	return unknown
}
