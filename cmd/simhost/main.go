// SPDX-License-Identifier: Apache-2.0

// Command simhost serves the simulator's wire protocol: it reads batches of events from standard input and
// writes the dispatcher's decisions to standard output.
package main

import (
	"fmt"
	"os"

	"fernrail/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
