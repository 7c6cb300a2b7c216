// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
)

// clusterSlots is how many fleets run at a time: each is some processes that mostly wait, on machines of four cores
// and more.
var clusterSlots = make(chan struct{}, min(max(runtime.NumCPU()/2, 1), 3))

func runParallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// binary is the node, built once for all tests; with the tag its clock can be set, which no other build allows.
var binary string

// raceFlags has the program built as the tests are.
var raceFlags []string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "fernrail-rig")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "fernrail")
		target := []string{"-o", binary, "fernrail/cmd/fernrail"}
		arguments := slices.Concat([]string{"build", "-tags", "rig"}, raceFlags, target)
		if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
			fmt.Printf("%s\n", out)
			return 1
		}
		return m.Run()
	}())
}
