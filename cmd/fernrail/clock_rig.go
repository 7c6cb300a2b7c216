// SPDX-License-Identifier: Apache-2.0

//go:build rig

package main

import (
	"fmt"
	"os"

	"fernrail/internal/fleet"
)

// Built for tests alone: a clock that is ahead by some seconds, and runs at another rate from some seconds after the start
// on, FERNRAIL_TEST_CLOCK=RATE,AHEAD,AFTER.
func init() {
	var rate, ahead, after float64
	if n, _ := fmt.Sscanf(os.Getenv("FERNRAIL_TEST_CLOCK"), "%f,%f,%f", &rate, &ahead, &after); n < 3 {
		return
	}
	began := fleet.Boottime()
	clock = func() int64 {
		passed := float64(fleet.Boottime() - began)
		right := min(passed, after*1e9)
		return began + int64(ahead*1e9+right+rate*(passed-right))
	}
}
