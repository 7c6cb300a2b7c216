// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command 5 is case 5 of the review: it has repeats wait for connections that come up late.
package main

import (
	"os"

	"fernrail/review/lab2"
)

func main() { lab2.Main("window", os.Args[1]) }
