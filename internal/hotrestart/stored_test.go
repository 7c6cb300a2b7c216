// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// During an upgrade, a process of an earlier release runs beside one of this release. The files that they
// share must not change: their names, the JSON of the exclusion file and the locked bytes of the lock file.

// storeExclusions copies the exclusion file that release be9205f wrote for the node n/1 into a directory.
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

// TestStoredExclusions checks that the exclusions and listed servers of an earlier release are read, and that
// a change is written in the format of that release.
func TestStoredExclusions(t *testing.T) {
	dir := t.TempDir()
	path := storeExclusions(t, dir)
	process := join(t, dir)
	excluded, err := process.Exclusions()
	if want := []string{`s "4"`, "s-1", "s-é"}; err != nil || !slices.Equal(excluded, want) {
		t.Errorf("got exclusions %q, error %v; want %q", excluded, err, want)
	}
	for _, id := range []string{"s-1", "s-2", `s "4"`, "s-é", "gone"} {
		if !process.WasListed(id) {
			t.Errorf("WasListed(%q): got false, want true", id)
		}
	}
	if process.WasListed("s-9") {
		t.Error("WasListed(s-9): got true, want false: s-9 was only excluded and included")
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
		t.Errorf("got file %s, error %v; want %s", written, err, want)
	}
}

// TestLockedBytes checks that each state of a process locks the same byte as in earlier releases.
func TestLockedBytes(t *testing.T) {
	dir := t.TempDir()
	processes := []*Process{join(t, dir), join(t, dir)}
	check := func(what string, want ...int64) {
		t.Helper()
		if got := lockedBytes(t, filepath.Join(dir, "fernrail-n%2F1.locks")); !slices.Equal(got, want) {
			t.Errorf("%s: got locked bytes %d, want %d", what, got, want)
		}
	}
	check("two starting processes", 0, 1, 16, 17)
	processes[1].StartServing()
	check("the second process serves", 0, 1, 9, 16)
	processes[0].StartServing()
	check("both processes serve", 0, 1, 8, 9)
	processes[0].AcquireOwnership()
	check("the first process is the owner", 0, 1, 8, 9, 24)
	processes[0].StopServing()
	processes[0].ReleaseOwnership()
	check("the first process has handed over", 0, 1, 9)
	err := processes[1].update(func() bool {
		check("the second process writes exclusions", 0, 1, 9, 25)
		return false
	})
	if err != nil {
		t.Errorf("update: %v", err)
	}
	processes[0].Leave()
	check("the first process has left", 1, 9)
}

// TestIDFileLayout checks where a process stores a reservation in the id file, which processes of other releases
// read: the version at offset 0, the latest end of each region in a cache line of its own from offset 64 on, and
// the slots of 16 bytes in regions of 1 MiB from offset 4096 on, by the FNV-1a hash of the id.
func TestIDFileLayout(t *testing.T) {
	dir := t.TempDir()
	join(t, dir)
	second := join(t, dir)
	reserve(t, "second", second, "a", true)
	content, err := os.ReadFile(idsPath(dir))
	if err != nil || len(content) != 4096+8<<20 {
		t.Fatalf("got %d bytes, error %v; want %d", len(content), err, 4096+8<<20)
	}
	word := func(offset uint64) uint64 { return binary.NativeEndian.Uint64(content[offset:]) }
	const keyOfA = 0xaf63dc4c8601ec8c // FNV-1a, 64 bits
	slot := uint64(4096 + 1<<20 + keyOfA%(1<<16)*16)
	if word(0) != 1 || word(slot) != keyOfA || word(slot+8) == 0 || word(slot+8) != word(128) {
		t.Errorf("got version %d, key %#x, end %d, latest end %d; want 1, %#x and equal ends",
			word(0), word(slot), word(slot+8), word(128), uint64(keyOfA))
	}
}

// lockedBytes returns the offsets of the locked bytes of a file, queried without a lock of its own.
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
