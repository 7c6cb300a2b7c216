// SPDX-License-Identifier: Apache-2.0

// Command fleetsim simulates and analyzes fleets of nodes: it emulates them, runs experiments on the
// emulator, checks event logs, and counts attempts in the logs of real nodes.
package main

import "github.com/alecthomas/kong"

func main() {
	var commands struct {
		Count      countCommand      `name:"count" cmd:"" help:"Count the attempts of a fleet from the logs of all its nodes, by time and by server."`
		Experiment experimentCommand `name:"experiment" cmd:"" help:"Run a grid of scenarios, variants and seeds; write results, a table with paired intervals, and charts."`
		Emulate    emulateCommand    `name:"emulate" cmd:"" help:"Simulate a scenario in virtual time. Exit codes: 0 if no rule is violated, 1 if one is, 2 if the scenario is invalid."`
		Scenario   struct {
			Check scenarioCheckCommand `name:"check" cmd:"" help:"Validate scenarios."`
		} `name:"scenario" cmd:"" help:"Work with scenario files."`
		Judge checkCommand `name:"judge" cmd:"" help:"Check an event log against the rules. Exit codes: 0 if no rule is violated, 1 if one is, 2 if the log is invalid."`
	}
	run := kong.Parse(&commands, kong.Name("fleetsim"), kong.UsageOnError())
	run.FatalIfErrorf(run.Run())
}
