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
	// delaySampleInterval is the time between two measurements. Each measurement wakes the process
	// once, which takes about 10 us of CPU time.
	delaySampleInterval = 50 * time.Millisecond
	// delayLogThreshold is the minimum delay that is logged. In a process that has only a fraction of
	// a core, two concurrent requests already cause delays of some tens of milliseconds.
	delayLogThreshold = 100 * time.Millisecond
)

// delayMonitor measures the scheduling delay of this process: how long runnable work waits for the
// processor. It grows when the process is short of CPU time, or when the process or its host was
// stopped.
//
// A goroutine sleeps for delaySampleInterval and then yields, so that all goroutines that are runnable
// by then run first. The time beyond the interval is the delay. A measurement that is overdue counts
// as well, so that the delay is correct immediately after a stopped process resumes.
type delayMonitor struct {
	lastDelay atomic.Int64 // result of the last measurement, ns
	due       atomic.Int64 // planned end of the next measurement, ns since start; math.MaxInt64 while none runs
	now       func() int64 // ns since start, monotonic
}

func newDelayMonitor() *delayMonitor {
	start := time.Now()
	d := &delayMonitor{now: func() int64 { return int64(time.Since(start)) }}
	d.due.Store(math.MaxInt64)
	return d
}

// Delay returns how long work that runs at this moment may have waited, in ns.
func (d *delayMonitor) Delay() int64 {
	return max(d.lastDelay.Load(), d.now()-d.due.Load(), 0)
}

// run measures the delay until the context ends. It logs a delay of at least delayLogThreshold,
// at most once a second.
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
		// A goroutine that a timer woke runs before those that are already runnable. Yielding twice
		// moves it behind them.
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
