// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The layout of the id file. Processes of different releases share the file, so a changed layout needs another
// version. All integers have the byte order of the machine.
const (
	// idFileVersion is the version of the layout that this release reads and writes.
	idFileVersion = 1
	// idSlots is the number of slots of a process, a power of two. At half of it searches stay short; that is
	// 3,000 requests a second whose ids are reserved for 10 s.
	idSlots = 1 << 16
	// idProbes is the number of consecutive slots in which a key may be.
	idProbes       = 32
	cacheLineBytes = 64
	idHeaderBytes  = 4096
	idSlotBytes    = int(unsafe.Sizeof(idSlot{}))
	idRegionBytes  = idSlots * idSlotBytes
	idFileBytes    = idHeaderBytes + maxProcesses*idRegionBytes
)

// idSlot is one reservation. A process writes only to the slots of its own region.
type idSlot struct {
	key atomic.Uint64 // hash of the id; 0: never used
	// end is when the reservation ends, in ns of the monotonic clock of the machine. It is negative while the
	// reservation is a claim that its process has not confirmed yet.
	end atomic.Int64
}

// idRegion is the hash table of one process, with linear probing.
type idRegion struct {
	latestEnd *atomic.Int64 // no reservation in slots ends later
	slots     []idSlot
}

// find returns the end of the reservation of a key, or 0 if there is none. claimed reports whether it is a
// claim.
func (r *idRegion) find(key uint64, now int64) (end int64, claimed bool) {
	if r.latestEnd.Load() <= now {
		return 0, false
	}
	for i := range uint64(idProbes) {
		slot := r.slot(key + i)
		if slot.key.Load() != key {
			continue
		}
		// The slot may get another key between the two loads.
		if end := slot.end.Load(); isReserved(end, now) && slot.key.Load() == key {
			return abs(end), end < 0
		}
	}
	return 0, false
}

// claim adds a claim that ends at the given time. If all slots for the key are in use, it replaces the
// reservation that ends first, which is one of a finished request unless all are open.
func (r *idRegion) claim(key uint64, now, end int64) {
	slot := r.slot(key)
	for i := range uint64(idProbes) {
		candidate := r.slot(key + i)
		candidateEnd := candidate.end.Load()
		if !isReserved(candidateEnd, now) {
			slot = candidate
			break
		}
		if abs(candidateEnd) < abs(slot.end.Load()) {
			slot = candidate
		}
	}
	r.extend(now, end)
	slot.end.Store(0)
	slot.key.Store(key)
	slot.end.Store(-end)
}

// move confirms the reservation of a key and sets its end; 0 withdraws it.
func (r *idRegion) move(key uint64, now, end int64) {
	for i := range uint64(idProbes) {
		slot := r.slot(key + i)
		if slot.key.Load() == key && isReserved(slot.end.Load(), now) {
			r.extend(now, end)
			slot.end.Store(end)
			return
		}
	}
}

// extend sets latestEnd so that it covers an end.
func (r *idRegion) extend(now, end int64) {
	if latest := r.latestEnd.Load(); end > latest || !isReserved(latest, now) {
		r.latestEnd.Store(end)
	}
}

func (r *idRegion) slot(position uint64) *idSlot { return &r.slots[position%idSlots] }

// isReserved reports whether a reservation with an end is valid.
func isReserved(end, now int64) bool {
	end = abs(end)
	return end > now && end <= now+int64(maxReservation)
}

func abs(n int64) int64 { return max(n, -n) }

// idTable is the mapped id file.
type idTable struct {
	regions  [maxProcesses]idRegion
	writable bool // disk space is allocated for the region of this process
}

// openIDTable maps the id file, and allocates the region of the process with the given number. lock is the lock
// file of the node. If only the allocation fails, it returns the error, and if readOnly is set, a table that can
// be read.
func openIDTable(path string, lock *os.File, number int64, readOnly bool) (*idTable, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	table, err := mapIDFile(file, lock, number, readOnly)
	if err != nil {
		return table, &FileError{Path: path, Err: err}
	}
	return table, nil
}

func mapIDFile(file, lock *os.File, number int64, readOnly bool) (*idTable, error) {
	if err := waitForByte(lock, writeOffset); err != nil {
		return nil, err
	}
	defer unlockByte(lock, writeOffset)
	if err := extendIDFile(file); err != nil {
		return nil, err
	}
	allocationErr := allocateIDFile(file, number)
	if allocationErr != nil && !readOnly {
		return nil, allocationErr
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, idFileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	table := newIDTable(memory)
	table.writable = allocationErr == nil
	faultErr := accessMapped(func() { err = checkIDFileVersion(memory, table.writable) })
	if err := errors.Join(faultErr, err); err != nil {
		_ = unix.Munmap(memory) // nothing uses it yet
		return nil, err
	}
	return table, allocationErr
}

// extendIDFile extends a new file to its size, without disk space.
func extendIDFile(file *os.File) error {
	info, err := file.Stat()
	if err != nil || info.Size() >= int64(idFileBytes) {
		return err
	}
	return file.Truncate(int64(idFileBytes))
}

// fallocate is replaced in tests.
var fallocate = unix.Fallocate

// allocateIDFile allocates disk space for the header and the region of a process. Without the space, a write to
// the mapped memory would fail on a full disk.
func allocateIDFile(file *os.File, number int64) error {
	region := idHeaderBytes + number*int64(idRegionBytes)
	for _, part := range []struct{ offset, length int64 }{{0, idHeaderBytes}, {region, int64(idRegionBytes)}} {
		err := fallocate(int(file.Fd()), 0, part.offset, part.length)
		// On a file system that cannot allocate in advance, a full disk is noticed at the first access.
		if err != nil && !errors.Is(err, unix.EOPNOTSUPP) {
			return err
		}
	}
	return nil
}

// checkIDFileVersion checks the version of the file. A new file has none, and gets it once it is writable.
func checkIDFileVersion(memory []byte, writable bool) error {
	version := (*atomic.Int64)(unsafe.Pointer(&memory[0]))
	if writable {
		version.CompareAndSwap(0, idFileVersion)
	}
	if got := version.Load(); got != idFileVersion && got != 0 {
		return fmt.Errorf("%w %d; this release supports version %d", ErrUnknownVersion, got, idFileVersion)
	}
	return nil
}

// newIDTable returns the table in the memory of a mapped file. The header has a cache line for the version and
// one for the latest end of each region.
func newIDTable(memory []byte) *idTable {
	table := &idTable{}
	for number := range table.regions {
		latestEnd := &memory[(1+number)*cacheLineBytes]
		slots := &memory[idHeaderBytes+number*idRegionBytes]
		table.regions[number] = idRegion{
			latestEnd: (*atomic.Int64)(unsafe.Pointer(latestEnd)),
			slots:     unsafe.Slice((*idSlot)(unsafe.Pointer(slots)), idSlots),
		}
	}
	return table
}

// hashID returns the key of an id, which is not 0.
func hashID(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return max(hash.Sum64(), 1)
}
