// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	testOpenTime = time.Minute
	testIDWindow = 100 * time.Millisecond
)

// reserve reserves an id for a minute and fails the test unless the result is as wanted.
func reserve(t *testing.T, who string, p *Process, id string, want bool) {
	t.Helper()
	if got, err := p.RequestIDs().Reserve(id, testOpenTime); got != want || err != nil {
		t.Errorf("%s reserves %s: got %t, error %v; want %t", who, id, got, err, want)
	}
}

// idsPath is the id file of the node n/1.
func idsPath(dir string) string { return filepath.Join(dir, "fernrail-n%2F1.ids") }

// TestIDsAreReservedInAllProcesses: in an upgrade, the id of a request that is open or was recently finished at
// one process arrives at the other, in either direction, and a request that must not run twice would run there
// again. The id must be reserved in all processes up to the end of its window, also after its process has ended,
// also if the next process gets the same number, and over two upgrades in a row.
func TestIDsAreReservedInAllProcesses(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	reserve(t, "first", first, "open", true)
	reserve(t, "first", first, "finished", true)
	first.RequestIDs().Release("finished", testOpenTime)
	reserve(t, "first", first, "short", true)
	first.RequestIDs().Release("short", testIDWindow)
	releasedAt := time.Now()
	second := join(t, dir)
	for _, id := range []string{"open", "finished"} {
		reserve(t, "second", second, id, false)
	}
	if got, _ := second.RequestIDs().Reserve("short", testOpenTime); got && time.Since(releasedAt) < testIDWindow {
		t.Errorf("a finished id was reserved again within its window of %v", testIDWindow)
	}
	reserve(t, "second", second, "open at second", true)
	reserve(t, "first", first, "open at second", false)
	first.Leave()
	third := join(t, dir) // gets the number of first
	for _, id := range []string{"open", "finished", "open at second"} {
		reserve(t, "third", third, id, false)
	}
	reserve(t, "third", third, "new", true)
	second.Leave()
	fourth := join(t, dir)
	for _, id := range []string{"open", "finished", "open at second", "new"} {
		reserve(t, "fourth", fourth, id, false)
	}
	time.Sleep(testIDWindow)
	reserve(t, "fourth", fourth, "short", true)
}

// TestIDsOfKilledProcess: a process is killed with a request open, whose job may still run. Its id must stay
// reserved for as long as the request could have been open, and no longer.
func TestIDsOfKilledProcess(t *testing.T) {
	if dir := os.Getenv("HOTRESTART_TEST_IDS"); dir != "" {
		p, err := Join(dir, "n/1")
		if err != nil {
			os.Exit(1)
		}
		p.RequestIDs().Reserve("long", testOpenTime)
		p.RequestIDs().Reserve("short", time.Second)
		fmt.Println("reserved")
		select {}
	}
	dir := t.TempDir()
	other := exec.Command(os.Args[0], "-test.run=^TestIDsOfKilledProcess$")
	other.Env = append(os.Environ(), "HOTRESTART_TEST_IDS="+dir)
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	if n, err := out.Read(make([]byte, 9)); n == 0 {
		t.Fatal(err)
	}
	reservedAt := time.Now()
	p := join(t, dir)
	other.Process.Kill()
	other.Wait()
	reserve(t, "beside the killed process", p, "long", false)
	if got, _ := p.RequestIDs().Reserve("short", testOpenTime); got && time.Since(reservedAt) < 900*time.Millisecond {
		t.Errorf("an id of the killed process was reserved again %v after its reservation for 1 s",
			time.Since(reservedAt))
	}
	p.Leave()
	successor := join(t, dir) // gets the number of the killed process
	reserve(t, "the process with its number", successor, "long", false)
	time.Sleep(time.Until(reservedAt.Add(1100 * time.Millisecond)))
	reserve(t, "after its time", successor, "short", true)
}

// TestIDsAtOneInstant: requests with one id arrive at all processes of a node at the same moment. Exactly one
// process must reserve the id.
func TestIDsAtOneInstant(t *testing.T) {
	const rounds = 2000
	dir := t.TempDir()
	processes := []*Process{join(t, dir), join(t, dir), join(t, dir)}
	for round := range rounds {
		var successes atomic.Int32
		var running sync.WaitGroup
		start := make(chan struct{})
		for _, p := range processes {
			running.Go(func() {
				<-start
				if reserved, err := p.RequestIDs().Reserve(fmt.Sprint(round), testOpenTime); err != nil {
					t.Error(err)
				} else if reserved {
					successes.Add(1)
				}
			})
		}
		close(start)
		running.Wait()
		if got := successes.Load(); got != 1 {
			t.Fatalf("round %d: %d processes reserved the id, want 1", round, got)
		}
	}
}

// TestUnconfirmedClaims: a process is suspended or killed between its claim of an id and its confirmation. The
// others must neither reserve the id nor wait for longer than claimWait.
func TestUnconfirmedClaims(t *testing.T) {
	dir := t.TempDir()
	lower, higher := join(t, dir), join(t, dir)
	for _, p := range []struct{ claims, reserves *Process }{{lower, higher}, {higher, lower}} {
		ids := p.claims.RequestIDs()
		id := fmt.Sprint(ids.number)
		now := ids.clock.now()
		ids.table.Load().regions[ids.number].claim(hashID(id), now, now+int64(testOpenTime))
		start := time.Now()
		reserve(t, "the other process", p.reserves, id, false)
		if took := time.Since(start); took > 2*claimWait {
			t.Errorf("Reserve took %v, want at most %v", took, 2*claimWait)
		}
	}
}

// TestIDsWithoutFile: the file of the ids cannot be used: its path is a directory, or the file is truncated while
// it is in use. A process alone must serve all the same; beside another one it must report that the other's ids
// are not known; and as soon as the file can be used, ids are shared again.
func TestIDsWithoutFile(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(idsPath(dir), 0o700); err != nil {
		t.Fatal(err)
	}
	first, err := Join(dir, "n/1")
	if err == nil {
		t.Error("Join with a directory in place of the id file: got no error")
	}
	defer first.Leave()
	reserve(t, "alone", first, "a", true)
	second, _ := Join(dir, "n/1")
	defer second.Leave()
	expectUnknown := func(p *Process) {
		t.Helper()
		if reserved, err := p.RequestIDs().Reserve("b", testOpenTime); reserved || !errors.Is(err, ErrIDsUnknown) {
			t.Errorf("beside another process: got %t, error %v; want ErrIDsUnknown", reserved, err)
		}
	}
	expectUnknown(first)
	expectUnknown(second)
	reopen := func() {
		t.Helper()
		if err := errors.Join(first.OpenRequestIDs(), second.OpenRequestIDs()); err != nil {
			t.Error(err)
		}
	}
	os.Remove(idsPath(dir))
	reopen()
	reserve(t, "first", first, "c", true)
	reserve(t, "second", second, "c", false)
	if err := os.Truncate(idsPath(dir), 0); err != nil {
		t.Fatal(err)
	}
	expectUnknown(first)
	second.RequestIDs().Release("c", testIDWindow)
	expectUnknown(second)
	reopen()
	reserve(t, "second", second, "d", true)
	reserve(t, "first", first, "d", false)
}

// TestIDsOnFullDisk: the disk has no space when a process starts beside another one. It must not write to memory
// that the disk does not back, must recognize what the other has reserved, and must report of other ids that it
// does not know. Alone, it serves, and still recognizes the ids of the process before it. With space, it shares.
func TestIDsOnFullDisk(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	reserve(t, "first", first, "a", true)
	fallocate = func(int, uint32, int64, int64) error { return unix.ENOSPC }
	defer func() { fallocate = unix.Fallocate }()
	second, err := Join(dir, "n/1")
	if !errors.Is(err, unix.ENOSPC) {
		t.Errorf("Join on a full disk: got error %v, want ENOSPC", err)
	}
	defer second.Leave()
	if err := second.OpenRequestIDs(); !errors.Is(err, unix.ENOSPC) {
		t.Errorf("another try on a full disk: got error %v, want ENOSPC", err)
	}
	reserve(t, "second", second, "a", false)
	if reserved, err := second.RequestIDs().Reserve("b", testOpenTime); reserved || !errors.Is(err, ErrIDsUnknown) {
		t.Errorf("beside another process: got %t, error %v; want ErrIDsUnknown", reserved, err)
	}
	second.RequestIDs().Release("b", testIDWindow)
	first.Leave()
	reserve(t, "second alone", second, "a", false)
	reserve(t, "second alone", second, "b", true)
	fallocate = unix.Fallocate
	if err := second.OpenRequestIDs(); err != nil {
		t.Error(err)
	}
	reserve(t, "second", second, "c", true)
	reserve(t, "third", join(t, dir), "c", false)
}

// TestUnknownIDFileVersion: a later release has changed the layout of the file. It must not be written to.
func TestUnknownIDFileVersion(t *testing.T) {
	dir := t.TempDir()
	text := make([]byte, idFileBytes)
	text[0] = idFileVersion + 1
	if err := os.WriteFile(idsPath(dir), text, 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := Join(dir, "n/1")
	defer p.Leave()
	if !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("got error %v, want ErrUnknownVersion", err)
	}
	p.RequestIDs().Reserve("a", testOpenTime)
	written, err := os.ReadFile(idsPath(dir))
	if err != nil || string(written) != string(text) {
		t.Errorf("the file was changed, or reading it failed: %v", err)
	}
}

// TestFullRegion: more ids are reserved than there are slots for. Those that end first must be replaced, which
// are the ids of finished requests, and no open one; and reservations from before a restart of the machine,
// whose clock began anew, must not take slots.
func TestFullRegion(t *testing.T) {
	p := join(t, t.TempDir())
	ids := p.RequestIDs()
	region := &ids.table.Load().regions[ids.number]
	now := ids.clock.now()
	const sameSlot = 7
	key := func(i int) uint64 { return uint64(i+1)*idSlots + sameSlot }
	reserved := func(i int) bool {
		end, _ := region.find(key(i), now)
		return end > 0
	}
	for i := range idProbes {
		region.claim(key(i), now, now+2*int64(maxReservation))
	}
	for i := range idProbes {
		region.claim(key(i), now, now+int64(time.Hour))
		region.move(key(i), now, now+int64(time.Hour))
	}
	region.move(key(5), now, now+int64(time.Second))
	region.claim(key(idProbes), now, now+int64(time.Hour))
	for i := range idProbes + 1 {
		if got, want := reserved(i), i != 5; got != want {
			t.Errorf("key %d reserved: got %t, want %t", i, got, want)
		}
	}
}

// BenchmarkReserve measures what one request costs, alone and beside another process.
func BenchmarkReserve(b *testing.B) {
	for _, others := range []int{0, 1} {
		b.Run(fmt.Sprint("others=", others), func(b *testing.B) {
			dir := b.TempDir()
			p, err := Join(dir, "n/1")
			if err != nil {
				b.Fatal(err)
			}
			defer p.Leave()
			for i := range others {
				other, err := Join(dir, "n/1")
				if err != nil {
					b.Fatal(err)
				}
				defer other.Leave()
				other.RequestIDs().Reserve(fmt.Sprint("other", i), testOpenTime)
			}
			names := make([]string, 1<<14)
			for i := range names {
				names[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := names[i%len(names)]
				p.RequestIDs().Reserve(id, time.Second)
				p.RequestIDs().Release(id, 0)
			}
		})
	}
}
