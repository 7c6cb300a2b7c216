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
	// delaySampleInterval is between two measurements. Each wakes the process once, which costs it about 10 us.
	delaySampleInterval = 50 * time.Millisecond
	// delayLogThreshold is the lag from which the log tells of it, once a second at most: a process with a small share of a core is
	// behind by some tens of milliseconds whenever two requests meet.
	delayLogThreshold = 100 * time.Millisecond
)

// delayMonitor measures how far this process is behind: how long work that is ready waits until it runs. It is behind when it is short of
// processor time, was stopped, or its host was.
//
// A goroutine sleeps for lagInterval and then yields, so that all that is ready by then runs first; the time beyond the interval is
// the lag. Between two measurements the next one's delay so far counts, so that a process that runs again after it stood still knows
// at once how long it did.
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

// Delay is how long what is handled at this moment may have waited, in ns.
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
		// A timer's goroutine goes before those that are ready; two yields put it behind them.
		runtime.Gosched()
		runtime.Gosched()
		lag := max(d.now()-due, 0)
		if d.lastDelay.Store(lag); lag >= int64(delayLogThreshold) {
			log.Warn().Int64("lag_ms", lag/1e6).Msg("process is short of CPU time; runnable work is delayed")
		}
	}
}
