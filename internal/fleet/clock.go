// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"golang.org/x/sys/unix"
)

// Clock returns a monotonic time in nanoseconds that advances while the process is stopped and while the
// machine sleeps.
type Clock func() int64

// BootTime is the Clock of this machine. The monotonic clock of the Go runtime is unsuitable: it stops while
// the machine sleeps, so a lease would appear to last longer than it does.
func BootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // available on every Linux since 2.6.39
	}
	return t.Nano()
}
