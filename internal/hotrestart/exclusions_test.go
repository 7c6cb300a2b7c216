// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// TestExclusions: what one process excludes holds for the other and for the next one; changes at once are all kept.
func TestExclusions(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var both sync.WaitGroup
	for i, s := range []*Process{a, b} {
		both.Go(func() {
			for n := range 50 {
				id := fmt.Sprintf("%c-%02d", 'a'+i, n)
				if err := s.Exclude(id); err != nil {
					t.Error(err)
				}
				if n%2 == 0 {
					if err := s.Include(id); err != nil {
						t.Error(err)
					}
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
		if err := a.Exclude("a-01"); err != nil {
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

// TestFaultyFile: a file that is torn, foreign or of another version changes no exclusion, and none is accepted that it
// could not store; a file that is gone leaves what is known.
func TestFaultyFile(t *testing.T) {
	isSyntaxError := func(err error) bool {
		var syntaxError *json.SyntaxError
		return errors.As(err, &syntaxError)
	}
	isUnknownVersion := func(err error) bool { return errors.Is(err, ErrUnknownVersion) }
	for name, c := range map[string]struct {
		text     string
		expected func(error) bool
	}{
		"torn":    {`{"version":1,"ba`, isSyntaxError},
		"foreign": {"hello", isSyntaxError},
		"newer":   {`{"version":2,"bans":[]}`, isUnknownVersion},
		"empty":   {"", isSyntaxError},
	} {
		s := join(t, t.TempDir())
		if err := s.Exclude("s-1"); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		excluded, err := s.Exclusions()
		if !slices.Equal(excluded, []string{"s-1"}) {
			t.Errorf("%s: %q", name, excluded)
		}
		checkFileError(t, name, err, s.path)
		err = s.Exclude("s-2")
		checkFileError(t, name, err, s.path)
		if !c.expected(err) {
			t.Errorf("%s: %v is of another kind", name, err)
		}
		if after, _ := os.ReadFile(s.path); string(after) != c.text {
			t.Errorf("%s: was written over by %q", name, after)
		}
		if err := os.Remove(s.path); err != nil {
			t.Fatal(err)
		}
		if err := s.Exclude("s-2"); err != nil {
			t.Error(err)
		}
		if excluded, err := s.Exclusions(); !slices.Equal(excluded, []string{"s-1", "s-2"}) || err != nil {
			t.Errorf("%s: %q, %v", name, excluded, err)
		}
	}
}

// checkFileError fails the test unless err is a FileError about the file, which its text names.
func checkFileError(t *testing.T, what string, err error, path string) {
	t.Helper()
	var fileError *FileError
	if !errors.As(err, &fileError) || fileError.Path != path || !strings.Contains(err.Error(), path) {
		t.Errorf("%s: %v is no error about %s", what, err, path)
	}
}

// TestListed: servers that were listed at one process are known at the other and at the next one, the latest of very
// many; exclusions that are changed meanwhile stay.
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
				if err := s.Exclude(fmt.Sprint("b-", i, "-", n)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	both.Wait()
	a.Leave()
	b.Leave()
	c := join(t, dir)
	if excluded, _ := c.Exclusions(); len(excluded) != 60 || len(c.listed) != 90 {
		t.Errorf("%d excluded, %d listed", len(excluded), len(c.listed))
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

// TestSameFileIsNotReadAgain: a look at a file of thousands of names decodes nothing while the file is the same, and
// each change is seen at the next look, however soon it comes. A node with a small share of a core looks ten times a
// second.
func TestSameFileIsNotReadAgain(t *testing.T) {
	dir := t.TempDir()
	one, two := join(t, dir), join(t, dir)
	var names []string
	for i := range maxListed {
		names = append(names, fmt.Sprint("s-", i))
	}
	if err := one.RecordListed(names); err != nil {
		t.Fatal(err)
	}
	if _, err := two.Exclusions(); err != nil {
		t.Fatal(err)
	}
	if allocations := testing.AllocsPerRun(10, func() { two.Exclusions() }); allocations > 20 {
		t.Errorf("%v allocations a look", allocations)
	}
	for i := range 100 {
		change := one.Include
		if i%2 == 0 {
			change = one.Exclude
		}
		if err := change("s-1"); err != nil {
			t.Error(err)
		}
		if excluded, err := two.Exclusions(); err != nil || (len(excluded) == 1) != (i%2 == 0) {
			t.Fatalf("change %d: %v, %v", i, excluded, err)
		}
	}
}
