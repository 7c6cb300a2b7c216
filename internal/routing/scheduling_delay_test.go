// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestSchedulingDelay: while goroutines occupy the only processor, runnable work waits, and the monitor
// reports the delay immediately and for some time afterwards. In a process with enough CPU time the delay
// is close to 0.
func TestSchedulingDelay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	monitor := newDelayMonitor()
	if monitor.Delay() != 0 {
		t.Errorf("delay before the first measurement: got %d ns, want 0 ns", monitor.Delay())
	}
	go monitor.run(t.Context(), zerolog.Nop())
	time.Sleep(3 * delaySampleInterval)
	spin := func(duration time.Duration) {
		for start := time.Now(); time.Since(start) < duration; {
		}
	}
	const busyTime = 400 * time.Millisecond
	delays := make(chan int64)
	for range 8 { // runnable work that takes busyTime in total
		go func() {
			spin(busyTime / 8)
			delays <- monitor.Delay()
		}()
	}
	maxDelay := int64(0)
	for range 8 {
		maxDelay = max(maxDelay, <-delays)
	}
	if maxDelay < int64(busyTime)/8 { // the scheduler preempts each goroutine after about 10 ms
		t.Errorf("got delay %v while work waited for up to %v, want at least 1/8 of that",
			time.Duration(maxDelay), busyTime)
	}
	for start := time.Now(); monitor.Delay() > int64(busyTime)/4; time.Sleep(delaySampleInterval) {
		if time.Since(start) > 20*time.Second {
			t.Fatalf("got delay %v 20s after the load, want at most 100ms", time.Duration(monitor.Delay()))
		}
	}
}
