// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"
	"runtime/debug"
	"time"
)

// clock returns the node's clock: Unix time in ns that never decreases. It is comparable with the
// start times of servers, which discovery reports as Unix times.
func (r *Router) clock() int64 { return r.startTime.UnixNano() + int64(time.Since(r.startTime)) }

// event runs one step of the decision module. A panic in the step is logged and affects only that step.
func (r *Router) event(step func()) {
	_ = r.tryEvent(step) // recoverPanic has logged the error
}

// tryEvent is like event, but returns an error if the step panicked.
func (r *Router) tryEvent(step func()) error {
	return r.recoverPanic(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.module.Advance(r.clock())
		r.module.SetSchedulingDelay(r.delay.Delay())
		step()
		r.module.ProcessQueue()
	})
}

// recoverPanic runs a step, logs a panic in it with its stack and returns it as an error.
func (r *Router) recoverPanic(step func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			r.log.Error().
				Err(err).
				Bytes("stack", debug.Stack()).
				Msg("recovered from a panic; the rest of this step is skipped")
		}
	}()
	step()
	return nil
}

// Schedule implements dispatch.Actions: it runs a step of the module after a delay in ns. The returned
// function cancels the step.
func (r *Router) Schedule(after int64, then func()) (cancel func()) {
	timer := time.AfterFunc(time.Duration(after), func() { r.event(then) })
	return func() { timer.Stop() }
}
