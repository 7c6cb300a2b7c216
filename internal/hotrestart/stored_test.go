// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// During an upgrade a process of an earlier release stands beside one of this release. What they share may not
// change: the names of the files, the JSON of one and the locked bytes of the other.

// storeExclusions puts the file that an earlier release, be9205f, wrote for the node n/1 into a directory.
func storeExclusions(t *testing.T, dir string) (path string) {
	t.Helper()
	text, err := os.ReadFile("testdata/exclusions.json")
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "fernrail-n%2F1.bans")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestStoredExclusions: exclusions and listed servers of an earlier release are known, and a change is written in its
// form.
func TestStoredExclusions(t *testing.T) {
	dir := t.TempDir()
	path := storeExclusions(t, dir)
	process := join(t, dir)
	excluded, err := process.Exclusions()
	if want := []string{`s "4"`, "s-1", "s-é"}; err != nil || !slices.Equal(excluded, want) {
		t.Errorf("excluded %q, %v, want %q", excluded, err, want)
	}
	for _, id := range []string{"s-1", "s-2", `s "4"`, "s-é", "gone"} {
		if !process.WasListed(id) {
			t.Errorf("%q was listed, and is not known", id)
		}
	}
	if process.WasListed("s-9") {
		t.Error("s-9 was excluded and included alone, and counts as listed")
	}
	if err := process.Exclude("s-0"); err != nil {
		t.Fatal(err)
	}
	if err := process.RecordListed([]string{"s-0"}); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	want := `{"version":1,"bans":["s \"4\"","s-0","s-1","s-é"],"listed":["s-1","s-2","s \"4\"","s-é","gone","s-0"]}`
	if err != nil || string(written) != want {
		t.Errorf("wrote %s, %v, want %s", written, err, want)
	}
}

// TestLockedBytes: each fact about a process is a lock on the byte that earlier releases look at.
func TestLockedBytes(t *testing.T) {
	dir := t.TempDir()
	processes := []*Process{join(t, dir), join(t, dir)}
	check := func(what string, want ...int64) {
		t.Helper()
		if got := lockedBytes(t, filepath.Join(dir, "fernrail-n%2F1.locks")); !slices.Equal(got, want) {
			t.Errorf("%s: bytes %d are locked, want %d", what, got, want)
		}
	}
	check("two processes that start", 0, 1, 16, 17)
	processes[1].StartServing()
	check("the second one serves", 0, 1, 9, 16)
	processes[0].StartServing()
	check("both serve", 0, 1, 8, 9)
	processes[0].AcquireOwnership()
	check("the first one owns the node's part of budgets", 0, 1, 8, 9, 24)
	processes[0].StopServing()
	processes[0].ReleaseOwnership()
	check("the first one hands over", 0, 1, 9)
	err := processes[1].update(func() bool {
		check("the second one writes", 0, 1, 9, 25)
		return false
	})
	if err != nil {
		t.Error(err)
	}
	processes[0].Leave()
	check("the first one has left", 1, 9)
}

// lockedBytes returns the bytes of a file that are locked, as one that has no lock of its own sees them.
func lockedBytes(t *testing.T, path string) (offsets []int64) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for offset := range int64(64) {
		query := unix.Flock_t{Type: unix.F_RDLCK, Start: offset, Len: 1}
		if err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &query); err != nil {
			t.Fatal(err)
		}
		if query.Type != unix.F_UNLCK {
			offsets = append(offsets, offset)
		}
	}
	return offsets
}
