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

// join adds a process to the node n/1, which leaves when the test ends. Several calls in one test act as
// several processes, because the kernel assigns the locks to open files.
func join(t *testing.T, dir string) *Process {
	t.Helper()
	s, err := Join(dir, "n/1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Leave)
	return s
}

// TestTwoProcesses checks that each process sees whether the other runs and serves, and that only one of them
// is the owner until it releases the ownership.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	old := join(t, dir)
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() || old.LimitShare() != 1 {
		t.Errorf("single process: got %d others, successor %t, limit share %v; want 0, false, 1 and the ownership",
			old.OtherProcesses(), old.HasSuccessor(), old.LimitShare())
	}
	old.StartServing()
	fresh := join(t, dir)
	if old.OtherProcesses() != 1 || fresh.OtherProcesses() != 1 ||
		old.HasSuccessor() || !fresh.HasSuccessor() {
		t.Errorf("two processes: got %d and %d others, successors %t and %t; want 1, 1, false, true",
			old.OtherProcesses(), fresh.OtherProcesses(), old.HasSuccessor(), fresh.HasSuccessor())
	}
	if old.LimitShare() != 0.8 || fresh.LimitShare() != 0.2 {
		t.Error("want limit shares 0.8 and 0.2, got", old.LimitShare(), fresh.LimitShare())
	}
	if fresh.AcquireOwnership() || !old.AcquireOwnership() {
		t.Error("the old process must stay the only owner")
	}
	fresh.StartServing()
	old.StopServing()
	if !old.HasSuccessor() || fresh.HasSuccessor() {
		t.Errorf("only the fresh process must count as serving: got successors %t and %t, want true and false",
			old.HasSuccessor(), fresh.HasSuccessor())
	}
	if old.ReleaseOwnership(); !fresh.AcquireOwnership() || old.AcquireOwnership() {
		t.Error("the fresh process must become the only owner after the old one released the ownership")
	}
	if old.LimitShare() != 0.5 || fresh.LimitShare() != 0.5 {
		t.Error("want limit shares 0.5 and 0.5, got", old.LimitShare(), fresh.LimitShare())
	}
	fresh.Leave()
	if old.LimitShare() != 1 {
		t.Errorf("limit share of the remaining process: got %v, want 1", old.LimitShare())
	}
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() {
		t.Errorf("after the other has left: got %d others, successor %t; want 0, false and the ownership",
			old.OtherProcesses(), old.HasSuccessor())
	}
}

// TestNoDirectory checks that the error for a missing directory contains its path, and that the process runs
// uncoordinated.
func TestNoDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "absent")
	s, err := Join(dir, "n")
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), dir) {
		t.Errorf("got error %v, want one that wraps fs.ErrNotExist and contains %s", err, dir)
	}
	if s.OtherProcesses() != 0 || s.HasSuccessor() || !s.AcquireOwnership() || s.Exclude("s-1") != nil {
		t.Error("an uncoordinated process must see no others, be the owner and accept exclusions")
	}
	s.StartServing()
	s.ReleaseOwnership()
	s.Leave()
	if s, err := Join("", "n"); s == nil || err != nil {
		t.Errorf("Join without a directory: got %v, error %v; want a process and no error", s, err)
	}
}

// TestKilled checks that a killed process no longer counts as running, serving or owner.
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
		t.Errorf("beside a running owner: got %d others, successor %t; want 1, true and no ownership",
			s.OtherProcesses(), s.HasSuccessor())
	}
	other.Process.Kill()
	other.Wait()
	if s.OtherProcesses() != 0 || s.HasSuccessor() || !s.AcquireOwnership() {
		t.Errorf("after the other was killed: got %d others, successor %t; want 0, false and the ownership",
			s.OtherProcesses(), s.HasSuccessor())
	}
}
