// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"os"

	"golang.org/x/sys/unix"
)

// maxProcesses is how many processes of one node are told apart. An upgrade needs two, one that overtakes another
// three.
const maxProcesses = 8

// Offsets of the locked bytes. Processes of different releases stand side by side, so that they never change.
const (
	livingOffset    = 0                // and one byte for each process, as for the next two
	servingOffset   = maxProcesses     // serves clients
	startingOffset  = 2 * maxProcesses // has not served clients yet
	ownershipOffset = 3 * maxProcesses // uses the node's part of what one process may hold alone
	writeOffset     = ownershipOffset + 1
)

// The locks are those of open file descriptions: unlike the ones of a process they are not lost when another
// descriptor of the same file is closed.

// lockByte locks a byte, unless another process holds it.
func lockByte(file *os.File, offset int64) error {
	return controlLock(file, unix.F_OFD_SETLK, unix.F_WRLCK, offset)
}

// waitForByte locks a byte once no other process holds it.
func waitForByte(file *os.File, offset int64) error {
	return controlLock(file, unix.F_OFD_SETLKW, unix.F_WRLCK, offset)
}

// unlockByte releases a byte. To unlock one of an open file does not fail, and if it did the kernel would do it with
// the end of the process.
func unlockByte(file *os.File, offset int64) {
	_ = controlLock(file, unix.F_OFD_SETLK, unix.F_UNLCK, offset)
}

func controlLock(file *os.File, command int, lockType int16, offset int64) error {
	return unix.FcntlFlock(file.Fd(), command, &unix.Flock_t{Type: lockType, Start: offset, Len: 1})
}

// lockedByOther reports whether another process holds a byte.
func lockedByOther(file *os.File, offset int64) bool {
	query := unix.Flock_t{Type: unix.F_WRLCK, Start: offset, Len: 1}
	err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &query)
	return err == nil && query.Type != unix.F_UNLCK
}

// takeNumber finds the first number that no living process of the node has, and marks this process as living.
func takeNumber(locks *os.File) (number int64, err error) {
	for number = range int64(maxProcesses) {
		if err = lockByte(locks, livingOffset+number); err != nil {
			continue
		}
		return number, lockByte(locks, startingOffset+number)
	}
	return 0, err
}

// withLocks calls a function with the lock file while it holds mu, unless nothing is shared.
func (p *Process) withLocks(do func(locks *os.File)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.locks != nil {
		do(p.locks)
	}
}

// lockHolders returns how many other processes hold their byte from an offset on.
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
