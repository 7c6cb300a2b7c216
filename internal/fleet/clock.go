// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"golang.org/x/sys/unix"
)

// Clock returns a time in nanoseconds that goes on while the process is stopped and while the machine sleeps.
type Clock func() int64

// Boottime is the Clock of this machine. The runtime's own monotonic clock is none: it stands still while a machine
// sleeps, so that a lease would seem to last longer than it does.
func Boottime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return t.Nano()
}
