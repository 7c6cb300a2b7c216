// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

const (
	// maxHistogramCount is the count at which all bins are halved, so that old values lose their weight.
	maxHistogramCount = 64
	// binsPerDoubling and histogramStart define the bounds of the bins.
	binsPerDoubling = 2
	histogramStart  = 256 // reciprocal of the upper bound of the first bin
)

// histogram counts ratios or seconds in bins of equal width on a logarithmic scale.
type histogram struct {
	bins  [36]uint16
	count int
}

func binOf(value float64) int {
	return min(int(binsPerDoubling*math.Log2(max(value*histogramStart, 1))), len(histogram{}.bins)-1)
}

func (h *histogram) add(value float64) {
	h.bins[binOf(value)]++
	h.count++
	if h.count < maxHistogramCount {
		return
	}
	h.count = 0
	for i := range h.bins {
		h.bins[i] /= 2
		h.count += int(h.bins[i])
	}
}

// shareBelow is the estimated share of values below a bound; 0.5 if there are no values.
func (h *histogram) shareBelow(bound float64) float64 {
	below := 0
	for _, count := range h.bins[:binOf(bound)] {
		below += int(count)
	}
	return (float64(below) + 0.5) / float64(h.count+1)
}

// quantile is the q-quantile, or the value of unknown if there are no values.
func (h *histogram) quantile(q, fallback float64) float64 {
	remaining := q * float64(h.count)
	for i, count := range h.bins {
		remaining -= float64(count)
		if remaining < 0 {
			return math.Exp2((float64(i)+0.5)/binsPerDoubling) / histogramStart
		}
	}
	return fallback
}
