// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// join enters a process of the node n/1, which leaves when the test ends. Several in one test are different ones to
// the kernel, which tells locks apart by open file.
func join(t *testing.T, dir string) *Process {
	t.Helper()
	s, err := Join(dir, "n/1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Leave)
	return s
}

// TestTwoProcesses: each sees that the other lives and serves; one of them owns the budgets, until it releases them.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	old := join(t, dir)
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() || old.LimitShare() != 1 {
		t.Error("alone")
	}
	old.StartServing()
	fresh := join(t, dir)
	if old.OtherProcesses() != 1 || fresh.OtherProcesses() != 1 || old.HasSuccessor() || !fresh.HasSuccessor() {
		t.Error("the other was not seen")
	}
	if old.LimitShare() != 0.8 || fresh.LimitShare() != 0.2 {
		t.Error("shares of the limits:", old.LimitShare(), fresh.LimitShare())
	}
	if fresh.AcquireOwnership() || !old.AcquireOwnership() {
		t.Error("two own one budget")
	}
	fresh.StartServing()
	old.StopServing()
	if !old.HasSuccessor() || fresh.HasSuccessor() {
		t.Error("who serves was not seen")
	}
	if old.ReleaseOwnership(); !fresh.AcquireOwnership() || old.AcquireOwnership() {
		t.Error("the budget was not handed over")
	}
	if old.LimitShare() != 0.5 || fresh.LimitShare() != 0.5 {
		t.Error("shares of the limits:", old.LimitShare(), fresh.LimitShare())
	}
	fresh.Leave()
	if old.LimitShare() != 1 {
		t.Error("the limits are not its own again")
	}
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() {
		t.Error("one that has ended is taken for living")
	}
}

// TestNoDirectory: a missing directory is named, and the process stands alone.
func TestNoDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "absent")
	s, err := Join(dir, "n")
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), dir) {
		t.Error(err)
	}
	if s.OtherProcesses() != 0 || s.HasSuccessor() || !s.AcquireOwnership() || s.Exclude("s-1") != nil {
		t.Error("a process that stands alone")
	}
	s.StartServing()
	s.ReleaseOwnership()
	s.Leave()
	if s, err := Join("", "n"); s == nil || err != nil {
		t.Error(err)
	}
}

// TestKilled: the kernel releases what a process held that was killed.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("HOTRESTART_TEST_DIR"); dir != "" {
		s, err := Join(dir, "n/1")
		if err != nil || !s.AcquireOwnership() {
			os.Exit(1)
		}
		s.StartServing()
		fmt.Println("joined")
		select {}
	}
	dir := t.TempDir()
	other := exec.Command(os.Args[0], "-test.run=^TestKilled$")
	other.Env = append(os.Environ(), "HOTRESTART_TEST_DIR="+dir)
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	if n, err := out.Read(make([]byte, 7)); n == 0 {
		t.Fatal(err)
	}
	s := join(t, dir)
	if s.OtherProcesses() != 1 || !s.HasSuccessor() || s.AcquireOwnership() {
		t.Error("a living process was not seen")
	}
	other.Process.Kill()
	other.Wait()
	if s.OtherProcesses() != 0 || s.HasSuccessor() || !s.AcquireOwnership() {
		t.Error("a dead process is taken for living")
	}
}
