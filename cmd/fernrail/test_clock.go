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

// This file is part of test builds only. FERNRAIL_TEST_CLOCK=RATE,AHEAD,AFTER sets the clock forward by AHEAD
// seconds. From AFTER seconds after the start, or from SIGUSR1 if AFTER is negative, the clock runs at RATE
// times the true rate.
func init() {
	var rate, ahead, after float64
	if n, _ := fmt.Sscanf(os.Getenv("FERNRAIL_TEST_CLOCK"), "%f,%f,%f", &rate, &ahead, &after); n < 3 {
		return
	}
	start := fleet.BootTime()
	var trueRateUntil atomic.Int64 // ns after the start
	trueRateUntil.Store(int64(after * 1e9))
	if after < 0 {
		trueRateUntil.Store(math.MaxInt64)
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGUSR1)
		go func() {
			<-signals
			trueRateUntil.Store(fleet.BootTime() - start)
		}()
	}
	clock = func() int64 {
		elapsed := fleet.BootTime() - start
		atTrueRate := min(elapsed, trueRateUntil.Load())
		return start + int64(ahead*1e9) + atTrueRate + int64(rate*float64(elapsed-atTrueRate))
	}
}
