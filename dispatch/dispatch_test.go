// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

func TestSpreadQuantile(t *testing.T) {
	var s spread
	if got := s.at(0.5, 7); got != 7 {
		t.Fatalf("empty: %v", got)
	}
	for range 100 {
		s.add(0.3)
	}
	if got := s.at(0.5, 7); got < 0.25 || got > 0.36 {
		t.Fatalf("median of 0.3s: %v", got)
	}
	if s.n >= halveAt {
		t.Fatalf("not halved: %d", s.n)
	}
}
