// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"
	"runtime/debug"
	"time"
)

// clock gives Unix time in ns that never goes back. Discovery reports the starts of servers by the
// same clock.
func (r *Router) clock() int64 { return r.startTime.UnixNano() + int64(time.Since(r.startTime)) }

// event runs one step of the decision module. A panic in it is logged and costs that step alone.
func (r *Router) event(step func()) {
	_ = r.tryEvent(step) // already logged by recoverPanic
}

// tryEvent is event for callers that have to act where the step panicked.
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

// recoverPanic turns a panic in a step into an error, and logs it with its stack.
func (r *Router) recoverPanic(step func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
			r.log.Error().
				Err(err).
				Bytes("stack", debug.Stack()).
				Msg("recovered from a panic; only this step is lost")
		}
	}()
	step()
	return nil
}

// Schedule implements dispatch.Actions: it runs a step of the module after so many ns. The function
// that it returns cancels that.
func (r *Router) Schedule(after int64, then func()) (cancel func()) {
	timer := time.AfterFunc(time.Duration(after), func() { r.event(then) })
	return func() { timer.Stop() }
}
