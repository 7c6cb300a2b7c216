// SPDX-License-Identifier: Apache-2.0

//go:build rig

package main

import (
	"fmt"
	"math"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"fernrail/internal/fleet"
)

// This file is part of builds for tests alone. FERNRAIL_TEST_CLOCK=RATE,AHEAD,AFTER sets the clock AHEAD seconds, and
// has it run at another rate from AFTER seconds after the start on or, where AFTER is negative, from SIGUSR1 on.
func init() {
	var rate, ahead, after float64
	if n, _ := fmt.Sscanf(os.Getenv("FERNRAIL_TEST_CLOCK"), "%f,%f,%f", &rate, &ahead, &after); n < 3 {
		return
	}
	began := fleet.Boottime()
	var until atomic.Int64 // it runs at the right rate
	until.Store(int64(after * 1e9))
	if after < 0 {
		until.Store(math.MaxInt64)
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGUSR1)
		go func() {
			<-told
			until.Store(fleet.Boottime() - began)
		}()
	}
	clock = func() int64 {
		passed := fleet.Boottime() - began
		right := min(passed, until.Load())
		return began + int64(ahead*1e9) + right + int64(rate*float64(passed-right))
	}
}
