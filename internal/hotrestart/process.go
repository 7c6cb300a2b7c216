// SPDX-License-Identifier: Apache-2.0

// Package hotrestart coordinates the processes of one node while one takes over from another. In a directory they
// share which of them live and which serve clients, who owns what one process of a node may hold alone, and the
// servers that operators have excluded.
//
// All but the exclusions are locks on bytes of one file. The kernel releases them when their process ends, however it
// ends, so that a dead process never counts as living, and no state that could be torn has to be read.
package hotrestart

import (
	"net/url"
	"os"
	"path/filepath"
	"sync"
)

// startingWeight is the part of a node's limits that a process holds before it serves clients, as a multiple of what
// one holds that does: it has open files, discovery and operators, and no clients yet.
const startingWeight = 0.25

// Process is this process among those of its node. Its methods are safe for concurrent use.
type Process struct {
	number int64 // among the processes of the node, from 0

	mu       sync.Mutex // guards what follows
	starting bool       // has not served clients yet
	locks    *os.File   // nil: nothing is shared
	path     string     // of the exclusion file; empty: nothing is shared
	exclusions
}

// Join enters this process among those of the node with that name, which share the directory. With no directory, or
// one that cannot be used, the process stands alone: the error says why, and the Process that is returned can be
// used.
func Join(dir, name string) (*Process, error) {
	p := &Process{starting: true}
	if dir == "" {
		return p, nil
	}
	base := filepath.Join(dir, "fernrail-"+url.PathEscape(name))
	locks, err := os.OpenFile(base+".locks", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return p, err
	}
	number, err := takeNumber(locks)
	if err != nil {
		locks.Close()
		return p, &FileError{Path: locks.Name(), Err: err}
	}
	p.number, p.path, p.locks = number, base+".bans", locks
	_, err = p.Exclusions()
	return p, err
}

// Leave ends this process's part; the kernel would do as much when the process ends.
func (p *Process) Leave() {
	p.withLocks(func(locks *os.File) {
		locks.Close()
		p.closeFile()
		p.path, p.locks = "", nil
	})
}

// Coordinated reports whether other processes of this node could be seen.
func (p *Process) Coordinated() (coordinated bool) {
	p.withLocks(func(*os.File) { coordinated = true })
	return coordinated
}

// OtherProcesses returns how many other processes of this node live.
func (p *Process) OtherProcesses() int { return p.lockHolders(livingOffset) }

// HasSuccessor reports whether another process of this node serves clients.
func (p *Process) HasSuccessor() bool { return p.lockHolders(servingOffset) > 0 }

// LimitShare returns this process's share of the node's limits. A process that does not serve yet leaves most of them
// to the others, which would otherwise reject clients that it does not accept yet.
func (p *Process) LimitShare() float64 {
	starting := p.lockHolders(startingOffset)
	serving := p.OtherProcesses() - starting
	others := float64(serving) + startingWeight*float64(starting)
	p.mu.Lock()
	defer p.mu.Unlock()
	own := 1.0
	if p.starting {
		own = startingWeight
	}
	return own / (own + others)
}

// StartServing tells the other processes that this one serves clients.
func (p *Process) StartServing() {
	p.withLocks(func(locks *os.File) {
		p.starting = false
		// No other process ever locks the bytes of this process's number.
		_ = lockByte(locks, servingOffset+p.number)
		unlockByte(locks, startingOffset+p.number)
	})
}

// StopServing tells the other processes that this one serves clients no longer.
func (p *Process) StopServing() {
	p.withLocks(func(locks *os.File) {
		p.starting = false
		unlockByte(locks, servingOffset+p.number)
		unlockByte(locks, startingOffset+p.number)
	})
}

// AcquireOwnership tries to become the one process that uses the node's part of what it may hold alone. It reports
// whether this process is the owner now.
func (p *Process) AcquireOwnership() bool {
	owner := true
	p.withLocks(func(locks *os.File) { owner = lockByte(locks, ownershipOffset) == nil })
	return owner
}

// ReleaseOwnership leaves the ownership to another process.
func (p *Process) ReleaseOwnership() {
	p.withLocks(func(locks *os.File) { unlockByte(locks, ownershipOffset) })
}
