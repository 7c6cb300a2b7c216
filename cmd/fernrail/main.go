// SPDX-License-Identifier: Apache-2.0

// Command fernrail is one node of the dispatcher: it takes requests from clients and forwards them to servers.
package main

import (
	"math"
	"os"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet"
)

// sampledLines is how many lines of each of the levels debug and warn are logged in a second. A node in trouble
// spends its core on clients.
const sampledLines = 20

// clock is what leases are timed by. Builds for tests replace it.
var clock fleet.Clock = fleet.Boottime

func main() {
	if len(os.Args) > 1 {
		runCommand()
		return
	}
	serve()
}

// serve runs a node, as a start without arguments does, and ends the program with status 1 where that fails.
func serve() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("node ends")
		os.Exit(1)
	}
}

// nodeLogger returns the logger of a node: named, at its level, and with few debug and warn lines a second.
func nodeLogger(log zerolog.Logger, c *config.Node) zerolog.Logger {
	few := &zerolog.BurstSampler{Burst: sampledLines, Period: time.Second}
	sampler := &zerolog.LevelSampler{DebugSampler: few, WarnSampler: few}
	return log.With().Str("node", c.Name).Logger().Level(c.LogLevel).Sample(sampler)
}

// limitCores has the runtime use as many threads as the node may use cores, rounded up.
func limitCores(cores float64) {
	runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
}
