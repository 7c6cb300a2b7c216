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
	monitor := newDelayMonitor()
	if monitor.Delay() != 0 {
		t.Error("there is a lag before it is measured")
	}
	go monitor.run(t.Context(), zerolog.Nop())
	time.Sleep(3 * delaySampleInterval)
	spin := func(duration time.Duration) {
		for start := time.Now(); time.Since(start) < duration; {
		}
	}
	const busyTime = 400 * time.Millisecond
	delays := make(chan int64)
	for range 8 { // ready work that takes its time together
		go func() {
			spin(busyTime / 8)
			delays <- monitor.Delay()
		}()
	}
	maxDelay := int64(0)
	for range 8 {
		maxDelay = max(maxDelay, <-delays)
	}
	if maxDelay < int64(busyTime)/8 { // each gets its turn for some 10 ms
		t.Errorf("lag %v while work waited for %v", time.Duration(maxDelay), busyTime)
	}
	for start := time.Now(); monitor.Delay() > int64(busyTime)/4; time.Sleep(delaySampleInterval) {
		if time.Since(start) > 20*time.Second {
			t.Fatalf("lag %v long after that", time.Duration(monitor.Delay()))
		}
	}
}
