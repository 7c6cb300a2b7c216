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
func join(t *testing.T, dir string) *Seat {
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
	if old.Others() != 0 || old.Successor() || !old.Own() || old.Part() != 1 {
		t.Error("alone")
	}
	old.Serve(true)
	fresh := join(t, dir)
	if old.Others() != 1 || fresh.Others() != 1 || old.Successor() || !fresh.Successor() {
		t.Error("the other was not seen")
	}
	if old.Part() != 0.8 || fresh.Part() != 0.2 {
		t.Error("parts", old.Part(), fresh.Part())
	}
	if fresh.Own() || !old.Own() {
		t.Error("two own one budget")
	}
	fresh.Serve(true)
	old.Serve(false)
	if !old.Successor() || fresh.Successor() {
		t.Error("who serves was not seen")
	}
	if old.Disown(); !fresh.Own() || old.Own() {
		t.Error("the budget was not handed over")
	}
	if old.Part() != 0.5 || fresh.Part() != 0.5 {
		t.Error("parts", old.Part(), fresh.Part())
	}
	fresh.Leave()
	if old.Part() != 1 {
		t.Error("the whole is not its own again")
	}
	if old.Others() != 0 || old.Successor() || !old.Own() {
		t.Error("one that has ended is taken for living")
	}
}

// TestBans: what one bans holds for the other, and for the next; changes made at once are all kept.
func TestBans(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var both sync.WaitGroup
	for i, s := range []*Seat{a, b} {
		both.Go(func() {
			for n := range 50 {
				id := fmt.Sprintf("%c-%02d", 'a'+i, n)
				if err := s.Ban(id, true); err != nil {
					t.Error(err)
				}
				if n%2 == 0 {
					s.Ban(id, false)
				}
			}
		})
	}
	both.Wait()
	seenA, _ := a.Bans()
	seenB, err := b.Bans()
	if len(seenA) != 50 || !slices.Equal(seenA, seenB) || err != nil {
		t.Errorf("%q, %q, %v", seenA, seenB, err)
	}
	for range 2 {
		if err := a.Ban("a-01", true); err != nil {
			t.Error(err)
		}
	}
	a.Leave()
	b.Leave()
	if kept, err := join(t, dir).Bans(); !slices.Equal(kept, seenA) || err != nil {
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
		if err := s.Ban("s-1", true); err != nil {
			t.Fatal(err)
		}
		os.WriteFile(s.file, []byte(text), 0o600)
		bans, err := s.Bans()
		if !slices.Equal(bans, []string{"s-1"}) || err == nil || !strings.Contains(err.Error(), s.file) {
			t.Errorf("%s: %q, %v", name, bans, err)
		}
		if err := s.Ban("s-2", true); err == nil || !strings.Contains(err.Error(), s.file) {
			t.Errorf("%s: %v", name, err)
		}
		if after, _ := os.ReadFile(s.file); string(after) != text {
			t.Errorf("%s: was written over by %q", name, after)
		}
		os.Remove(s.file)
		if err := s.Ban("s-2", true); err != nil {
			t.Error(err)
		}
		if bans, err := s.Bans(); !slices.Equal(bans, []string{"s-1", "s-2"}) || err != nil {
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
	for i, s := range []*Seat{a, b} {
		both.Go(func() {
			for n := range 30 {
				if err := s.Note([]string{fmt.Sprint("s-", n), fmt.Sprint("s-", i, "-", n)}); err != nil {
					t.Error(err)
				}
				s.Ban(fmt.Sprint("b-", i, "-", n), true)
			}
		})
	}
	both.Wait()
	a.Leave()
	b.Leave()
	c := join(t, dir)
	if bans, _ := c.Bans(); len(bans) != 60 || len(c.listed) != 90 {
		t.Errorf("%d bans, %d listed", len(bans), len(c.listed))
	}
	if !c.Listed("s-0") || !c.Listed("s-1-29") || c.Listed("never") {
		t.Error("who was listed")
	}
	var many []string
	for n := range most {
		many = append(many, fmt.Sprint("m-", n))
	}
	if err := c.Note(many); err != nil || len(c.listed) != most || c.Listed("s-0") || !c.Listed("m-0") {
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
	if s.Others() != 0 || s.Successor() || !s.Own() || s.Ban("s-1", true) != nil {
		t.Error("a single seat")
	}
	s.Serve(true)
	s.Disown()
	s.Leave()
	if s, err := Join("", "n"); s == nil || err != nil {
		t.Error(err)
	}
}

// TestKilled: the kernel drops what a process held that was killed without a word.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("HANDOVER_TEST_DIR"); dir != "" {
		s, err := Join(dir, "n/1")
		if err != nil || !s.Own() {
			os.Exit(1)
		}
		s.Serve(true)
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
	if s.Others() != 1 || !s.Successor() || s.Own() {
		t.Error("a living process was not seen")
	}
	other.Process.Kill()
	other.Wait()
	if s.Others() != 0 || s.Successor() || !s.Own() {
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
	for i := range most {
		names = append(names, fmt.Sprint("s-", i))
	}
	if err := one.Note(names); err != nil {
		t.Fatal(err)
	}
	two.Bans()
	if allocations := testing.AllocsPerRun(10, func() { two.Bans() }); allocations > 20 {
		t.Errorf("%v allocations a look", allocations)
	}
	for i := range 100 {
		one.Ban("s-1", i%2 == 0)
		if bans, err := two.Bans(); err != nil || (len(bans) == 1) != (i%2 == 0) {
			t.Fatalf("change %d: %v, %v", i, bans, err)
		}
	}
}
