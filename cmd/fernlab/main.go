// SPDX-License-Identifier: Apache-2.0

// Command fernlab looks at fleets of nodes from outside.
package main

import "github.com/alecthomas/kong"

func main() {
	var commands struct {
		Count count `cmd:"" help:"Count postings over a whole fleet from all its nodes' logs, by time and by executor."`
	}
	run := kong.Parse(&commands, kong.Name("fernlab"), kong.UsageOnError())
	run.FatalIfErrorf(run.Run())
}
