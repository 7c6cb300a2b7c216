// SPDX-License-Identifier: Apache-2.0

// Command fleetsim simulates and analyzes fleets of nodes: it emulates them, runs experiments on the
// emulator, checks event logs, and counts attempts in the logs of real nodes.
package main

import "github.com/alecthomas/kong"

func main() {
	var commands struct {
		Count      countCommand      `name:"count" cmd:"" help:"Count attempts over a whole fleet from all its nodes' logs, by time and by server."`
		Experiment experimentCommand `name:"experiment" cmd:"" help:"Play a grid of scenarios, variants and seeds; keep results, a table with paired intervals, and charts."`
		Emulate    emulateCommand    `name:"emulate" cmd:"" help:"Play a scenario in virtual time. Ends with 0 if the rules are kept, 1 if not, 2 if it can't be read."`
		Scenario   struct {
			Check scenarioCheckCommand `name:"check" cmd:"" help:"Read scenarios and say what is wrong with them."`
		} `name:"scenario" cmd:"" help:"Look at scenarios."`
		Judge checkCommand `name:"judge" cmd:"" help:"Check an event log against the rules. Ends with 0 if they are kept, 1 if not, 2 if the log can't be read."`
	}
	run := kong.Parse(&commands, kong.Name("fleetsim"), kong.UsageOnError())
	run.FatalIfErrorf(run.Run())
}
