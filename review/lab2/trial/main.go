// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command trial plays a case of the second review by its name, also those that have no folder.
package main

import (
	"flag"

	"fernrail/review/lab2"
)

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	lab2.Main(*name, *dir)
}
