// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// halveAt is the number of entries at which a histogram is halved: some tens of seconds of a scheme's answers.
const halveAt = 64

// spread is a small histogram over ratios or seconds, two bins a doubling from 1/256 upwards.
type spread struct {
	bin [36]uint16
	n   int
}

func bin(v float64) int {
	return min(int(2*math.Log2(max(v*256, 1))), len(spread{}.bin)-1)
}

func (s *spread) add(v float64) {
	s.bin[bin(v)]++
	if s.n++; s.n >= halveAt {
		s.n = 0
		for i := range s.bin {
			s.bin[i] /= 2
			s.n += int(s.bin[i])
		}
	}
}

// below is the share of entries under a value; half while nothing is known.
func (s *spread) below(v float64) float64 {
	under := 0
	for _, c := range s.bin[:bin(v)] {
		under += int(c)
	}
	return (float64(under) + 0.5) / float64(s.n+1)
}

// at is the q-quantile, or the given value while nothing is known.
func (s *spread) at(q, unknown float64) float64 {
	left := q * float64(s.n)
	for i, c := range s.bin {
		if left -= float64(c); left < 0 {
			return math.Exp2((float64(i)+0.5)/2) / 256
		}
	}
	return unknown
}
