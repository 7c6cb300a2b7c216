// SPDX-License-Identifier: Apache-2.0

// Command simhost plays the decision module on the bench's wire: batches in on standard input, replies out.
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
