// SPDX-License-Identifier: Apache-2.0

// Command fernrail is one node of the dispatcher: it forwards requests from clients to servers.
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

// maxSampledLines is the most log lines per second at each of the levels debug and warn. It keeps an
// overloaded node from spending its core on logging.
const maxSampledLines = 20

// clock is the clock for leases. Builds for tests replace it.
var clock fleet.Clock = fleet.BootTime

func main() {
	if len(os.Args) > 1 {
		runCommand()
		return
	}
	serve()
}

// serve runs a node and exits with status 1 if that fails.
func serve() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("node failed; exiting")
		os.Exit(1)
	}
}

// nodeLogger returns the logger of a node, with its name, its level and the limit on debug and warn lines.
func nodeLogger(log zerolog.Logger, c *config.Node) zerolog.Logger {
	limit := &zerolog.BurstSampler{Burst: maxSampledLines, Period: time.Second}
	sampler := &zerolog.LevelSampler{DebugSampler: limit, WarnSampler: limit}
	return log.With().Str("node", c.Name).Logger().Level(c.LogLevel).Sample(sampler)
}

// limitCores sets GOMAXPROCS to the number of cores that the node may use, rounded up.
func limitCores(cores float64) {
	runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
}
