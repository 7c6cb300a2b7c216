// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"golang.org/x/sys/unix"
)

// Clock tells nanoseconds that go on while the process is stopped and the machine sleeps.
type Clock func() int64

// Boottime is the machine's own such clock. Danger: the runtime's monotonic clock stands still while a machine sleeps.
func Boottime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return t.Nano()
}
