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

// TestExclusions checks that an exclusion applies in the other process and in the next one, and that
// concurrent changes of two processes are all stored.
func TestExclusions(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var writers sync.WaitGroup
	for i, s := range []*Process{a, b} {
		writers.Go(func() {
			for n := range 50 {
				id := fmt.Sprintf("%c-%02d", 'a'+i, n)
				if err := s.Exclude(id); err != nil {
					t.Errorf("Exclude(%q): %v", id, err)
				}
				if n%2 == 0 {
					if err := s.Include(id); err != nil {
						t.Errorf("Include(%q): %v", id, err)
					}
				}
			}
		})
	}
	writers.Wait()
	excludedA, _ := a.Exclusions()
	excludedB, err := b.Exclusions()
	if len(excludedA) != 50 || !slices.Equal(excludedA, excludedB) || err != nil {
		t.Errorf("got %q and %q, error %v; want the same 50 ids in both processes", excludedA, excludedB, err)
	}
	for range 2 {
		if err := a.Exclude("a-01"); err != nil {
			t.Errorf("Exclude(a-01), which is already excluded: %v", err)
		}
	}
	a.Leave()
	b.Leave()
	if stored, err := join(t, dir).Exclusions(); !slices.Equal(stored, excludedA) || err != nil {
		t.Errorf("next process: got %q, error %v; want the ids of the earlier processes", stored, err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for i, name := range files {
		files[i] = filepath.Base(name)
	}
	want := []string{"fernrail-n%2F1.bans", "fernrail-n%2F1.ids", "fernrail-n%2F1.locks"}
	if !slices.Equal(files, want) {
		t.Errorf("got files %q, want %q: the exclusions, the request ids and the locks", files, want)
	}
}

// TestInvalidFile checks that a truncated or foreign file, or one of another version, changes no exclusion
// and is not overwritten: Exclude fails, because it could not store the exclusion. If the file is missing,
// the known exclusions stay.
func TestInvalidFile(t *testing.T) {
	isSyntaxError := func(err error) bool {
		var syntaxError *json.SyntaxError
		return errors.As(err, &syntaxError)
	}
	isUnknownVersion := func(err error) bool { return errors.Is(err, ErrUnknownVersion) }
	for name, c := range map[string]struct {
		text      string
		wantError func(error) bool
	}{
		"truncated": {`{"version":1,"ba`, isSyntaxError},
		"foreign":   {"hello", isSyntaxError},
		"newer":     {`{"version":2,"bans":[]}`, isUnknownVersion},
		"empty":     {"", isSyntaxError},
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
			t.Errorf("%s: got exclusions %q, want s-1", name, excluded)
		}
		checkFileError(t, name, err, s.path)
		err = s.Exclude("s-2")
		checkFileError(t, name, err, s.path)
		if !c.wantError(err) {
			t.Errorf("%s: Exclude(s-2): got error %v, want the kind of error of this case", name, err)
		}
		if after, _ := os.ReadFile(s.path); string(after) != c.text {
			t.Errorf("%s: the file was overwritten with %q, want it unchanged", name, after)
		}
		if err := os.Remove(s.path); err != nil {
			t.Fatal(err)
		}
		if err := s.Exclude("s-2"); err != nil {
			t.Errorf("%s: Exclude(s-2) after the file was removed: %v", name, err)
		}
		if excluded, err := s.Exclusions(); !slices.Equal(excluded, []string{"s-1", "s-2"}) || err != nil {
			t.Errorf("%s: got exclusions %q, error %v; want s-1 and s-2", name, excluded, err)
		}
	}
}

// checkFileError fails the test unless err is a FileError for the file and its text contains the path.
func checkFileError(t *testing.T, what string, err error, path string) {
	t.Helper()
	var fileError *FileError
	if !errors.As(err, &fileError) || fileError.Path != path || !strings.Contains(err.Error(), path) {
		t.Errorf("%s: got error %v, want a FileError for %s", what, err, path)
	}
}

// TestListed checks that listed servers recorded by one process are known to the other and to the next one,
// that only the latest maxListed are stored, and that concurrent changes of exclusions are not lost.
func TestListed(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	var writers sync.WaitGroup
	for i, s := range []*Process{a, b} {
		writers.Go(func() {
			for n := range 30 {
				if err := s.RecordListed([]string{fmt.Sprint("s-", n), fmt.Sprint("s-", i, "-", n)}); err != nil {
					t.Errorf("RecordListed in round %d of process %d: %v", n, i, err)
				}
				if err := s.Exclude(fmt.Sprint("b-", i, "-", n)); err != nil {
					t.Errorf("Exclude in round %d of process %d: %v", n, i, err)
				}
			}
		})
	}
	writers.Wait()
	a.Leave()
	b.Leave()
	c := join(t, dir)
	if excluded, _ := c.Exclusions(); len(excluded) != 60 || len(c.listed) != 90 {
		t.Errorf("got %d excluded and %d listed servers, want 60 and 90", len(excluded), len(c.listed))
	}
	if !c.WasListed("s-0") || !c.WasListed("s-1-29") || c.WasListed("never") {
		t.Errorf("WasListed: got %t for s-0, %t for s-1-29 and %t for never, want true, true and false",
			c.WasListed("s-0"), c.WasListed("s-1-29"), c.WasListed("never"))
	}
	var ids []string
	for n := range maxListed {
		ids = append(ids, fmt.Sprint("m-", n))
	}
	if err := c.RecordListed(ids); err != nil || len(c.listed) != maxListed ||
		c.WasListed("s-0") || !c.WasListed("m-0") {
		t.Errorf("got error %v, %d listed servers; want the latest %d, without s-0",
			err, len(c.listed), maxListed)
	}
}

// TestUnchangedFileIsNotDecoded checks that a file is decoded only after a change, and that each change is
// seen by the next call, however soon it comes. A node that has a small fraction of a core checks the file
// ten times a second, and it can contain thousands of ids.
func TestUnchangedFileIsNotDecoded(t *testing.T) {
	dir := t.TempDir()
	writer, reader := join(t, dir), join(t, dir)
	var names []string
	for i := range maxListed {
		names = append(names, fmt.Sprint("s-", i))
	}
	if err := writer.RecordListed(names); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Exclusions(); err != nil {
		t.Fatal(err)
	}
	if allocations := testing.AllocsPerRun(10, func() { reader.Exclusions() }); allocations > 20 {
		t.Errorf("got %v allocations per call on an unchanged file, want at most 20", allocations)
	}
	for i := range 100 {
		change := writer.Include
		if i%2 == 0 {
			change = writer.Exclude
		}
		if err := change("s-1"); err != nil {
			t.Errorf("change %d: %v", i, err)
		}
		if excluded, err := reader.Exclusions(); err != nil || (len(excluded) == 1) != (i%2 == 0) {
			t.Fatalf("change %d: got exclusions %v, error %v; want s-1 after even changes only",
				i, excluded, err)
		}
	}
}
