// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// claimWait bounds the wait for another process to settle its claim of the same id. A process may be
	// suspended for 150 ms between two of its steps.
	claimWait = 200 * time.Millisecond
	// claimPollInterval is the time between two looks at that claim.
	claimPollInterval = 100 * time.Microsecond
	// maxReservation bounds the reservation of an id. A reservation that ends later was made before the machine
	// was restarted and its monotonic clock began anew.
	maxReservation = 2 * time.Hour
)

// ErrIDsUnknown is returned by Reserve if other processes of the node run and the ids that they have reserved
// cannot be determined.
var ErrIDsUnknown = errors.New("the request ids of the other processes of this node are not known")

// RequestIDs are the request ids that the processes of a node have reserved, for open requests and for
// finished ones whose repeats have to be recognized. Its methods are safe for concurrent use.
//
// The reservations are in a file that all processes map into memory, so a process that has no other beside it
// makes no system call for a request. They outlive their process: what it had reserved when it ended or was
// killed stays reserved until the end of each reservation. Disk space is allocated when the file is opened, and
// a later error of the disk leaves the mapped memory as it is. Without the space, the others' reservations are
// read and none is written.
type RequestIDs struct {
	number         int64 // of this process
	otherProcesses func() int
	clock          machineClock
	table          atomic.Pointer[idTable] // nil: cannot be used
	mu             sync.Mutex              // held to write to this process's region
}

// Reserve reserves an id for a request that will be open for at most the given time. It reports false if
// another process, or an earlier one, has reserved the id. Of several processes that reserve it at one moment,
// one succeeds.
func (ids *RequestIDs) Reserve(id string, atMost time.Duration) (reserved bool, err error) {
	table := ids.table.Load()
	if table == nil {
		return ids.reserveUnshared()
	}
	key, now := hashID(id), ids.clock.now()
	end := now + int64(min(atMost, maxReservation))
	fault := accessMapped(func() { reserved, err = ids.reserveShared(table, key, now, end) })
	if fault != nil {
		ids.drop(table)
		return ids.reserveUnshared()
	}
	return reserved, err
}

// reserveShared decides on an id with the table.
func (ids *RequestIDs) reserveShared(table *idTable, key uint64, now, end int64) (reserved bool, err error) {
	if table.writable {
		return ids.claim(table, key, now, end), nil
	}
	if ids.heldByAny(table, key, now) {
		return false, nil
	}
	return ids.reserveUnshared()
}

// Release ends the reservation of a finished request's id after the given time.
func (ids *RequestIDs) Release(id string, after time.Duration) {
	table := ids.table.Load()
	if table == nil || !table.writable {
		return
	}
	key, now := hashID(id), ids.clock.now()
	end := now + int64(min(after, maxReservation))
	err := accessMapped(func() {
		ids.write(func() { table.regions[ids.number].move(key, now, end) })
	})
	if err != nil {
		ids.drop(table)
	}
}

// claim reserves a key until end unless another process holds it. The claim is visible to the others before
// this process looks at theirs, so of two processes at least one sees the claim of the other. The one with the
// lower number then waits for the other to withdraw its claim, or to confirm it because it had looked before.
func (ids *RequestIDs) claim(table *idTable, key uint64, now, end int64) bool {
	own := &table.regions[ids.number]
	if ids.heldByPredecessor(own, key, now) {
		return false
	}
	ids.write(func() { own.claim(key, now, end) })
	for number := range int64(maxProcesses) {
		if number != ids.number && ids.heldByOther(table, number, key, now) {
			ids.write(func() { own.move(key, now, 0) })
			return false
		}
	}
	ids.write(func() { own.move(key, now, end) })
	return true
}

// heldByPredecessor reports whether an earlier process with this process's number has reserved a key. Within
// this process, the caller sees to it that an id is reserved once.
func (ids *RequestIDs) heldByPredecessor(own *idRegion, key uint64, now int64) bool {
	end, _ := own.find(key, now)
	return end > 0
}

// heldByOther reports whether the process with another number has reserved a key, or has claimed it with
// precedence over this process.
func (ids *RequestIDs) heldByOther(table *idTable, number int64, key uint64, now int64) bool {
	region := &table.regions[number]
	for {
		end, claimed := region.find(key, now)
		switch {
		case end == 0:
			return false
		case !claimed, number < ids.number, ids.clock.now()-now > int64(claimWait):
			return true
		}
		time.Sleep(claimPollInterval)
	}
}

// heldByAny reports whether any process, or an earlier one with this process's number, holds a key.
func (ids *RequestIDs) heldByAny(table *idTable, key uint64, now int64) bool {
	for number := range int64(maxProcesses) {
		if end, _ := table.regions[number].find(key, now); end > 0 {
			return true
		}
	}
	return false
}

// write calls a function that writes to this process's region, one at a time.
func (ids *RequestIDs) write(do func()) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	do()
}

// reserveUnshared decides on an id that cannot be written to the table: it is reserved if no other process runs.
func (ids *RequestIDs) reserveUnshared() (reserved bool, err error) {
	if ids.otherProcesses() == 0 {
		return true, nil
	}
	return false, ErrIDsUnknown
}

// open opens the table unless it is open and writable.
func (ids *RequestIDs) open(path string, lock *os.File) error {
	opened := ids.table.Load()
	if opened != nil && opened.writable {
		return nil
	}
	table, err := openIDTable(path, lock, ids.number, opened == nil)
	if table != nil {
		ids.table.Store(table)
	}
	return err
}

// drop stops the use of a table after an error. The memory stays mapped, since other goroutines may still
// access it.
func (ids *RequestIDs) drop(table *idTable) { ids.table.CompareAndSwap(table, nil) }

// accessMapped calls a function that accesses mapped memory, and returns an error if the file no longer backs
// that memory because it was truncated or its disk failed. The kernel reports this by a signal, which would end
// the process.
func accessMapped(do func()) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		cause := recover()
		if fault, isFault := cause.(interface{ Addr() uintptr }); isFault {
			err = fmt.Errorf("accessing the mapped file failed at address %#x", fault.Addr())
		} else if cause != nil {
			panic(cause)
		}
	}()
	do()
	return nil
}

// machineClock reads the monotonic clock of the machine, which is the same in all processes, without a system
// call.
type machineClock struct {
	start   time.Time
	atStart int64 // ns
}

func newMachineClock() machineClock {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // fails only for unknown clocks
	return machineClock{start: time.Now(), atStart: now.Nano()}
}

// now returns the time in ns.
func (c machineClock) now() int64 { return c.atStart + int64(time.Since(c.start)) }
