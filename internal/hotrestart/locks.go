// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"os"

	"golang.org/x/sys/unix"
)

// maxProcesses is the largest number of processes of one node. An upgrade needs two processes; one that
// starts before the previous one has finished needs three.
const maxProcesses = 8

// Offsets of the locked bytes. Processes of different releases share the file, so the offsets must never
// change.
const (
	runningOffset   = 0                   // process exists; one byte for each process, as for the next two
	servingOffset   = maxProcesses        // process serves clients
	startingOffset  = 2 * maxProcesses    // process has not served clients yet
	ownershipOffset = 3 * maxProcesses    // process owns what only one process of the node may use
	writeOffset     = ownershipOffset + 1 // process writes the exclusion file
)

// The locks belong to open file descriptions. Unlike the locks of a process, they are not released when
// another descriptor of the same file is closed.

// lockByte locks a byte. It fails if another process holds the lock.
func lockByte(file *os.File, offset int64) error {
	return controlLock(file, unix.F_OFD_SETLK, unix.F_WRLCK, offset)
}

// waitForByte locks a byte, and waits while another process holds the lock.
func waitForByte(file *os.File, offset int64) error {
	return controlLock(file, unix.F_OFD_SETLKW, unix.F_WRLCK, offset)
}

// unlockByte unlocks a byte. Unlocking does not fail on an open file, and the kernel releases all locks of
// the process when it exits.
func unlockByte(file *os.File, offset int64) {
	_ = controlLock(file, unix.F_OFD_SETLK, unix.F_UNLCK, offset)
}

func controlLock(file *os.File, command int, lockType int16, offset int64) error {
	return unix.FcntlFlock(file.Fd(), command, &unix.Flock_t{Type: lockType, Start: offset, Len: 1})
}

// lockedByOther reports whether another process has locked a byte.
func lockedByOther(file *os.File, offset int64) bool {
	query := unix.Flock_t{Type: unix.F_WRLCK, Start: offset, Len: 1}
	err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &query)
	return err == nil && query.Type != unix.F_UNLCK
}

// takeNumber takes the first number that no running process of the node uses, and marks this process as
// running and as starting.
func takeNumber(locks *os.File) (number int64, err error) {
	for number = range int64(maxProcesses) {
		if err = lockByte(locks, runningOffset+number); err != nil {
			continue
		}
		return number, lockByte(locks, startingOffset+number)
	}
	return 0, err
}

// withLocks calls a function with the lock file while it holds mu. It does nothing if there is no shared
// directory.
func (p *Process) withLocks(do func(locks *os.File)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.locks != nil {
		do(p.locks)
	}
}

// lockHolders returns how many other processes have locked their byte in the range that begins at offset.
func (p *Process) lockHolders(offset int64) (count int) {
	p.withLocks(func(locks *os.File) {
		for number := range int64(maxProcesses) {
			if number != p.number && lockedByOther(locks, offset+number) {
				count++
			}
		}
	})
	return count
}
