// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command 6 is case 6 of the review: it has the id of an open request sent again during an upgrade.
package main

import (
	"os"

	"fernrail/review/lab2"
)

func main() { lab2.Main("twin", os.Args[1]) }
