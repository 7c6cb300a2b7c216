// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"
	"runtime/debug"
	"time"
)

// clock is Unix time that never goes back, the clock that discovery tells starts by.
func (r *Router) clock() int64 { return r.startTime.UnixNano() + int64(time.Since(r.startTime)) }

// event tells the module one thing.
func (r *Router) event(step func()) error {
	return r.recoverPanic(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.module.Advance(r.clock())
		r.module.SetSchedulingDelay(r.delay.Delay())
		step()
		r.module.ProcessQueue()
	})
}

// recoverPanic ends a panic with the step it came from, and tells of it with its stack.
func (r *Router) recoverPanic(step func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			r.log.Error().Err(err).Bytes("stack", debug.Stack()).Msg("recovered from a panic; only this step is lost")
		}
	}()
	step()
	return nil
}

// Schedule implements dispatch.Door, as do the methods after it. All are called under the lock and none blocks.
func (r *Router) Schedule(after int64, then func()) (forget func()) {
	alarm := time.AfterFunc(time.Duration(after), func() { r.event(then) })
	return func() { alarm.Stop() }
}
