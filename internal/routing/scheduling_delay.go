// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"math"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// delaySampleInterval is between two measurements. Each wakes the process once, which costs it
	// about 10 us.
	delaySampleInterval = 50 * time.Millisecond
	// delayLogThreshold is the delay from which it is logged, once a second at most. A process with
	// a small share of a core is late by some tens of milliseconds whenever two requests meet.
	delayLogThreshold = 100 * time.Millisecond
)

// delayMonitor measures the scheduling delay of this process: how long runnable work waits for the
// processor. It grows when the process is short of CPU time, or when the process or its host was
// stopped.
//
// A goroutine sleeps for delaySampleInterval and then yields, so that all that is runnable by then
// runs first; the time beyond the interval is the delay. While it sleeps, the time by which it is
// overdue counts as well, so that a process that runs again after a stop knows at once how long it
// lasted.
type delayMonitor struct {
	lastDelay atomic.Int64 // ns; as measured last
	due       atomic.Int64 // ns since start, when the next measurement should end; far off while none is made
	now       func() int64 // ns since start, monotonic
}

func newDelayMonitor() *delayMonitor {
	start := time.Now()
	d := &delayMonitor{now: func() int64 { return int64(time.Since(start)) }}
	d.due.Store(math.MaxInt64)
	return d
}

// Delay is how long work that runs at this moment may have waited, in ns.
func (d *delayMonitor) Delay() int64 {
	return max(d.lastDelay.Load(), d.now()-d.due.Load(), 0)
}

// run measures until the context ends.
func (d *delayMonitor) run(ctx context.Context, log zerolog.Logger) {
	log = log.Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second})
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		due := d.now() + int64(delaySampleInterval)
		d.due.Store(due)
		timer.Reset(delaySampleInterval)
		select {
		case <-ctx.Done():
			d.due.Store(math.MaxInt64)
			d.lastDelay.Store(0)
			return
		case <-timer.C:
		}
		// A goroutine that a timer woke runs before those that are runnable already; two yields put
		// it behind them.
		runtime.Gosched()
		runtime.Gosched()
		delay := max(d.now()-due, 0)
		d.lastDelay.Store(delay)
		if delay >= int64(delayLogThreshold) {
			log.Warn().
				Int64("lag_ms", delay/1e6).
				Msg("process is short of CPU time; runnable work is delayed")
		}
	}
}
