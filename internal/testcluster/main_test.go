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

// clusterSlots limits the number of clusters that run at the same time to half the number of cores, but at
// most 3. The processes of a cluster are idle most of the time.
var clusterSlots = make(chan struct{}, min(max(runtime.NumCPU()/2, 1), 3))

// runParallel marks the test as parallel and waits for one of the clusterSlots.
func runParallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// binary is the path of the program, built once for all tests. Its build tag permits tests to set the
// clock, which no other build does.
var binary string

// raceFlags are build flags that enable the race detector in the program if the tests are built with it.
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
		if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
			fmt.Printf("%s\n", output)
			return 1
		}
		return m.Run()
	}())
}
