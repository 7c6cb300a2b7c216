// SPDX-License-Identifier: Apache-2.0

// Command fleetsim looks at fleets of nodes from outside.
package main

import "github.com/alecthomas/kong"

func main() {
	var commands struct {
		Count      countCommand      `cmd:"" help:"Count postings over a whole fleet from all its nodes' logs, by time and by executor."`
		Experiment experimentCommand `cmd:"" help:"Play a grid of scenarios, variants and seeds; keep results, a table with paired intervals, and charts."`
		Emulate    emulateCommand    `cmd:"" help:"Play a scenario in virtual time. Ends with 0 if the rules are kept, 1 if not, 2 if it can't be read."`
		Scenario   struct {
			Check checkScenarioCommand `cmd:"" help:"Read scenarios and say what is wrong with them."`
		} `cmd:"" help:"Look at scenarios."`
		Judge judgeCommand `cmd:"" help:"Hold an event log against the four rules. Ends with 0 if they are kept, 1 if not, 2 if the log can't be read."`
	}
	run := kong.Parse(&commands, kong.Name("fleetsim"), kong.UsageOnError())
	run.FatalIfErrorf(run.Run())
}
