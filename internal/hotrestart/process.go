// SPDX-License-Identifier: Apache-2.0

// Package hotrestart coordinates the processes of one node while one takes over from another. Through files
// in a shared directory, each process sees which others run and which serve clients, which one owns what only
// one process of the node may use, which servers operators have excluded, and which request ids are reserved.
//
// Which processes run, serve or own something consists of locks on bytes of one file. The kernel releases the
// locks of a process when it exits for any reason, so a dead process never counts as running, and there is no
// state that could be read half written. The exclusions and the request ids are in files of their own.
package hotrestart

import (
	"errors"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// The ends of the names of the shared files. Processes of different releases share them.
const (
	locksSuffix      = ".locks"
	exclusionsSuffix = ".bans"
	requestIDsSuffix = ".ids"
)

// startingWeight is the weight of a starting process in the division of the node's limits; a serving process
// has weight 1. A starting process needs descriptors for files, discovery and operators, but has no clients
// yet.
const startingWeight = 0.25

// Process is the membership of this process in its node. Its methods are safe for concurrent use.
type Process struct {
	number int64 // of this process within the node, from 0

	mu       sync.Mutex // guards the fields below
	starting bool       // this process has not served clients yet
	locks    *os.File   // nil: no shared directory
	path     string     // of the exclusion file; empty: no shared directory
	exclusions

	requestIDs *RequestIDs // nil: no shared directory
}

// Join adds this process to the processes of the named node that share the directory. If dir is empty or
// cannot be used, the process runs uncoordinated. The error is the reason why dir or a file in it cannot be
// used; it is nil for an empty dir. The returned Process can be used even if the error is not nil.
func Join(dir, name string) (*Process, error) {
	p := &Process{starting: true}
	if dir == "" {
		return p, nil
	}
	base := filepath.Join(dir, "fernrail-"+url.PathEscape(name))
	locks, err := os.OpenFile(base+locksSuffix, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return p, err
	}
	number, err := takeNumber(locks)
	if err != nil {
		locks.Close()
		return p, &FileError{Path: locks.Name(), Err: err}
	}
	p.number, p.path, p.locks = number, base+exclusionsSuffix, locks
	p.requestIDs = &RequestIDs{number: number, otherProcesses: p.OtherProcesses, clock: newMachineClock()}
	_, err = p.Exclusions()
	return p, errors.Join(err, p.OpenRequestIDs())
}

// RequestIDs returns the request ids that the processes of the node have reserved, or nil if this process runs
// uncoordinated.
func (p *Process) RequestIDs() *RequestIDs { return p.requestIDs }

// OpenRequestIDs opens the file of the reserved request ids if that has failed before.
func (p *Process) OpenRequestIDs() (err error) {
	p.withLocks(func(locks *os.File) {
		err = p.requestIDs.open(strings.TrimSuffix(locks.Name(), locksSuffix)+requestIDsSuffix, locks)
	})
	return err
}

// Leave releases the locks of this process, as the kernel does when the process exits.
func (p *Process) Leave() {
	p.withLocks(func(locks *os.File) {
		locks.Close()
		p.closeFile()
		p.path, p.locks = "", nil
	})
}

// Coordinated reports whether this process shares a directory with other processes of the node.
func (p *Process) Coordinated() (coordinated bool) {
	p.withLocks(func(*os.File) { coordinated = true })
	return coordinated
}

// OtherProcesses returns the number of other running processes of this node.
func (p *Process) OtherProcesses() int { return p.lockHolders(runningOffset) }

// HasSuccessor reports whether another process of this node serves clients.
func (p *Process) HasSuccessor() bool { return p.lockHolders(servingOffset) > 0 }

// LimitShare returns the fraction of the node's limits that this process may use. A process that does not
// serve yet leaves most of them to the others, which would otherwise reject clients while this one accepts
// none.
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

// StartServing announces to the other processes that this one serves clients.
func (p *Process) StartServing() {
	p.withLocks(func(locks *os.File) {
		p.starting = false
		// No other process ever locks the bytes of this process's number.
		_ = lockByte(locks, servingOffset+p.number)
		unlockByte(locks, startingOffset+p.number)
	})
}

// StopServing announces to the other processes that this one no longer serves clients.
func (p *Process) StopServing() {
	p.withLocks(func(locks *os.File) {
		p.starting = false
		unlockByte(locks, servingOffset+p.number)
		unlockByte(locks, startingOffset+p.number)
	})
}

// AcquireOwnership tries to become the one process that uses what only one process of the node may use, such
// as its floors of the budgets. It reports whether this process is the owner now.
func (p *Process) AcquireOwnership() bool {
	owner := true
	p.withLocks(func(locks *os.File) { owner = lockByte(locks, ownershipOffset) == nil })
	return owner
}

// ReleaseOwnership lets another process become the owner.
func (p *Process) ReleaseOwnership() {
	p.withLocks(func(locks *os.File) { unlockByte(locks, ownershipOffset) })
}
