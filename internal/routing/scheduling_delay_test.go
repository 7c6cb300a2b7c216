// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestSchedulingDelay: what is ready while another goroutine holds the only processor waits, and
// the meter says for how long, at once and for a while after. A process that is not short of it has
// next to none.
func TestSchedulingDelay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := newDelayMonitor()
	if m.Delay() != 0 {
		t.Error("there is a lag before it is measured")
	}
	go m.run(t.Context(), zerolog.Nop())
	time.Sleep(3 * delaySampleInterval)
	hold := func(span time.Duration) {
		for start := time.Now(); time.Since(start) < span; {
		}
	}
	const held = 400 * time.Millisecond
	end := make(chan int64)
	for range 8 { // ready work that takes its time together
		go func() {
			hold(held / 8)
			end <- m.Delay()
		}()
	}
	most := int64(0)
	for range 8 {
		most = max(most, <-end)
	}
	if most < int64(held)/8 { // each gets its turn for some 10 ms
		t.Errorf("lag %v while work waited for %v", time.Duration(most), held)
	}
	for start := time.Now(); m.Delay() > int64(held)/4; time.Sleep(delaySampleInterval) {
		if time.Since(start) > 20*time.Second {
			t.Fatalf("lag %v long after that", time.Duration(m.Delay()))
		}
	}
}
