// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// join takes a seat that is left with the test. Two in one process are two descriptions of the file, which is what the
// kernel tells locks apart by.
func join(t *testing.T, dir string) *Process {
	t.Helper()
	s, err := Join(dir, "n/1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Leave)
	return s
}

// TestTwoSeats: each sees that the other lives and serves; the budget is one's alone, until that one gives it up.
func TestTwoSeats(t *testing.T) {
	dir := t.TempDir()
	old := join(t, dir)
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() || old.LimitShare() != 1 {
		t.Error("alone")
	}
	old.SetServing(true)
	fresh := join(t, dir)
	if old.OtherProcesses() != 1 || fresh.OtherProcesses() != 1 || old.HasSuccessor() || !fresh.HasSuccessor() {
		t.Error("the other was not seen")
	}
	if old.LimitShare() != 0.8 || fresh.LimitShare() != 0.2 {
		t.Error("parts", old.LimitShare(), fresh.LimitShare())
	}
	if fresh.AcquireOwnership() || !old.AcquireOwnership() {
		t.Error("two own one budget")
	}
	fresh.SetServing(true)
	old.SetServing(false)
	if !old.HasSuccessor() || fresh.HasSuccessor() {
		t.Error("who serves was not seen")
	}
	if old.ReleaseOwnership(); !fresh.AcquireOwnership() || old.AcquireOwnership() {
		t.Error("the budget was not handed over")
	}
	if old.LimitShare() != 0.5 || fresh.LimitShare() != 0.5 {
		t.Error("parts", old.LimitShare(), fresh.LimitShare())
	}
	fresh.Leave()
	if old.LimitShare() != 1 {
		t.Error("the whole is not its own again")
	}
	if old.OtherProcesses() != 0 || old.HasSuccessor() || !old.AcquireOwnership() {
		t.Error("one that has ended is taken for living")
	}
}

// TestBans: what one bans holds for the other, and for the next; changes made at once are all kept.
func TestBans(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var both sync.WaitGroup
	for i, s := range []*Process{a, b} {
		both.Go(func() {
			for n := range 50 {
				id := fmt.Sprintf("%c-%02d", 'a'+i, n)
				if err := s.SetExcluded(id, true); err != nil {
					t.Error(err)
				}
				if n%2 == 0 {
					s.SetExcluded(id, false)
				}
			}
		})
	}
	both.Wait()
	seenA, _ := a.Exclusions()
	seenB, err := b.Exclusions()
	if len(seenA) != 50 || !slices.Equal(seenA, seenB) || err != nil {
		t.Errorf("%q, %q, %v", seenA, seenB, err)
	}
	for range 2 {
		if err := a.SetExcluded("a-01", true); err != nil {
			t.Error(err)
		}
	}
	a.Leave()
	b.Leave()
	if kept, err := join(t, dir).Exclusions(); !slices.Equal(kept, seenA) || err != nil {
		t.Errorf("%q, %v", kept, err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	if len(files) != 2 {
		t.Errorf("left behind: %q", files)
	}
}

// TestFaultyFile: a file that is torn, foreign or of another version changes no ban, and no ban is taken that it could
// not keep; one that is gone holds no news.
func TestFaultyFile(t *testing.T) {
	for name, text := range map[string]string{"torn": `{"version":1,"ba`, "foreign": "hello", "newer": `{"version":2,"bans":[]}`, "empty": ""} {
		s := join(t, t.TempDir())
		if err := s.SetExcluded("s-1", true); err != nil {
			t.Fatal(err)
		}
		os.WriteFile(s.path, []byte(text), 0o600)
		bans, err := s.Exclusions()
		if !slices.Equal(bans, []string{"s-1"}) || err == nil || !strings.Contains(err.Error(), s.path) {
			t.Errorf("%s: %q, %v", name, bans, err)
		}
		if err := s.SetExcluded("s-2", true); err == nil || !strings.Contains(err.Error(), s.path) {
			t.Errorf("%s: %v", name, err)
		}
		if after, _ := os.ReadFile(s.path); string(after) != text {
			t.Errorf("%s: was written over by %q", name, after)
		}
		os.Remove(s.path)
		if err := s.SetExcluded("s-2", true); err != nil {
			t.Error(err)
		}
		if bans, err := s.Exclusions(); !slices.Equal(bans, []string{"s-1", "s-2"}) || err != nil {
			t.Errorf("%s: %q, %v", name, bans, err)
		}
	}
}

// TestListed: who was listed at one process is known at the other and at the next, the latest of very many; bans that
// are changed meanwhile stay.
func TestListed(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var both sync.WaitGroup
	for i, s := range []*Process{a, b} {
		both.Go(func() {
			for n := range 30 {
				if err := s.RecordListed([]string{fmt.Sprint("s-", n), fmt.Sprint("s-", i, "-", n)}); err != nil {
					t.Error(err)
				}
				s.SetExcluded(fmt.Sprint("b-", i, "-", n), true)
			}
		})
	}
	both.Wait()
	a.Leave()
	b.Leave()
	c := join(t, dir)
	if bans, _ := c.Exclusions(); len(bans) != 60 || len(c.listed) != 90 {
		t.Errorf("%d bans, %d listed", len(bans), len(c.listed))
	}
	if !c.WasListed("s-0") || !c.WasListed("s-1-29") || c.WasListed("never") {
		t.Error("who was listed")
	}
	var many []string
	for n := range maxListed {
		many = append(many, fmt.Sprint("m-", n))
	}
	if err := c.RecordListed(many); err != nil || len(c.listed) != maxListed || c.WasListed("s-0") || !c.WasListed("m-0") {
		t.Errorf("%v, %d listed", err, len(c.listed))
	}
}

// TestNoDirectory: one that is missing is told of, by name, and the seat is a single one.
func TestNoDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "absent")
	s, err := Join(dir, "n")
	if err == nil || !strings.Contains(err.Error(), dir) {
		t.Error(err)
	}
	if s.OtherProcesses() != 0 || s.HasSuccessor() || !s.AcquireOwnership() || s.SetExcluded("s-1", true) != nil {
		t.Error("a single seat")
	}
	s.SetServing(true)
	s.ReleaseOwnership()
	s.Leave()
	if s, err := Join("", "n"); s == nil || err != nil {
		t.Error(err)
	}
}

// TestKilled: the kernel drops what a process held that was killed without a word.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("HANDOVER_TEST_DIR"); dir != "" {
		s, err := Join(dir, "n/1")
		if err != nil || !s.AcquireOwnership() {
			os.Exit(1)
		}
		s.SetServing(true)
		fmt.Println("seated")
		select {}
	}
	dir := t.TempDir()
	other := exec.Command(os.Args[0], "-test.run=^TestKilled$")
	other.Env = append(os.Environ(), "HANDOVER_TEST_DIR="+dir)
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

// TestSameFileIsNotReadAgain: a look at a file of thousands of names costs no decoding while it is the same, and each change is seen at
// the next look, however soon it comes. Danger: ten looks a second at a node with a small share of a core.
func TestSameFileIsNotReadAgain(t *testing.T) {
	dir := t.TempDir()
	one, _ := Join(dir, "n")
	two, _ := Join(dir, "n")
	defer one.Leave()
	defer two.Leave()
	var names []string
	for i := range maxListed {
		names = append(names, fmt.Sprint("s-", i))
	}
	if err := one.RecordListed(names); err != nil {
		t.Fatal(err)
	}
	two.Exclusions()
	if allocations := testing.AllocsPerRun(10, func() { two.Exclusions() }); allocations > 20 {
		t.Errorf("%v allocations a look", allocations)
	}
	for i := range 100 {
		one.SetExcluded("s-1", i%2 == 0)
		if bans, err := two.Exclusions(); err != nil || (len(bans) == 1) != (i%2 == 0) {
			t.Fatalf("change %d: %v, %v", i, bans, err)
		}
	}
}
