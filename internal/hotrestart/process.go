// SPDX-License-Identifier: Apache-2.0

// Package hotrestart is what the processes of one node share in a directory: which of them live, which serves, which
// holds the node's part of cold executors' budgets, and the operators' bans.
//
// All but the bans are locks on bytes of one file. The kernel drops them with their process, so that nobody is taken
// for living who has died, and nothing has to be read that may be torn.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

// maxProcesses is how many processes of one node are told apart; an upgrade needs two, one that overtakes another three.
const maxProcesses = 8

// startingWeight is what a process that has not taken clients yet holds of what one holds that has: its standard files, discovery
// and operators.
const startingWeight = 0.25

// What the bytes of the lock file stand for.
const (
	livingOffset    = 0                // and one for each seat, as for the next two
	servingOffset   = maxProcesses     // takes clients
	startingOffset  = 2 * maxProcesses // has not taken any yet
	ownershipOffset = 3 * maxProcesses // of cold executors
	writeOffset     = ownershipOffset + 1
)

// fileVersion of the file of bans.
const fileVersion = 1

// Process is one process's place among those of its node.
type Process struct {
	dir      string // empty: nothing is shared
	path     string // of bans
	locks    *os.File
	number   int64
	starting bool // has not taken clients yet

	mu       sync.Mutex
	openFile *os.File    // the file of bans as last read, kept open: no other file can have its number meanwhile
	fileInfo os.FileInfo // of it
	excluded []string    // as last read or written, sorted
	listed   []string    // executors that were ever listed, as last read or written, in that order
}

// Join takes a seat in a directory. Processes of one node have one name. With no directory, or one that can't be used,
// the seat is a single one: the error says why, and the node can serve on it.
func Join(dir, name string) (*Process, error) {
	s := &Process{starting: true}
	if dir == "" {
		return s, nil
	}
	base := filepath.Join(dir, "fernrail-"+url.PathEscape(name))
	locks, err := os.OpenFile(base+".locks", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return s, err
	}
	for s.number = 0; s.number < maxProcesses; s.number++ {
		if err = lock(locks, unix.F_OFD_SETLK, unix.F_WRLCK, livingOffset+s.number); err == nil {
			lock(locks, unix.F_OFD_SETLK, unix.F_WRLCK, startingOffset+s.number)
			s.dir, s.path, s.locks = dir, base+".bans", locks
			_, err = s.Exclusions()
			return s, err
		}
	}
	locks.Close()
	return s, fmt.Errorf("%s: %w", locks.Name(), err)
}

// Coordinated says whether other processes of this node could be seen.
func (s *Process) Coordinated() (yes bool) {
	s.withLocks(func(*os.File) { yes = true })
	return yes
}

// lock takes or frees one byte's lock.
func lock(f *os.File, how int, kind int16, at int64) error {
	return unix.FcntlFlock(f.Fd(), how, &unix.Flock_t{Type: kind, Start: at, Len: 1})
}

// withLocks does something with the locks, if there are any.
func (s *Process) withLocks(do func(locks *os.File)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks != nil {
		do(s.locks)
	}
}

// lockHolders is how many other processes hold a byte from the first one on, where each seat has its own.
func (s *Process) lockHolders(first int64) (count int) {
	s.withLocks(func(locks *os.File) {
		for seat := range int64(maxProcesses) {
			ask := unix.Flock_t{Type: unix.F_WRLCK, Start: first + seat, Len: 1}
			if seat != s.number && unix.FcntlFlock(locks.Fd(), unix.F_OFD_GETLK, &ask) == nil && ask.Type != unix.F_UNLCK {
				count++
			}
		}
	})
	return count
}

// OtherProcesses is how many other processes of this node live.
func (s *Process) OtherProcesses() int { return s.lockHolders(livingOffset) }

// LimitShare is this process's part of what the node may hold. One that takes no clients yet leaves the most to the others.
// Danger: an even part, too soon, has the old process decline at the door what the new one does not take yet.
func (s *Process) LimitShare() float64 {
	starting := s.lockHolders(startingOffset)
	all := float64(s.OtherProcesses()-starting) + startingWeight*float64(starting)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := 1.0
	if s.starting {
		own = startingWeight
	}
	return own / (own + all)
}

// HasSuccessor says whether another process of this node takes clients.
func (s *Process) HasSuccessor() bool { return s.lockHolders(servingOffset) > 0 }

// SetServing tells the others that this process takes clients, or no longer.
func (s *Process) SetServing(yes bool) {
	kind := int16(unix.F_UNLCK)
	if yes {
		kind = unix.F_WRLCK
	}
	s.withLocks(func(locks *os.File) {
		s.starting = false
		lock(locks, unix.F_OFD_SETLK, kind, servingOffset+s.number)
		lock(locks, unix.F_OFD_SETLK, unix.F_UNLCK, startingOffset+s.number)
	})
}

// AcquireOwnership takes this node's part of cold executors' budgets, which one process holds at a time; false: another one does.
func (s *Process) AcquireOwnership() bool {
	owns := true
	s.withLocks(func(locks *os.File) { owns = lock(locks, unix.F_OFD_SETLK, unix.F_WRLCK, ownershipOffset) == nil })
	return owns
}

// ReleaseOwnership leaves it to another process.
func (s *Process) ReleaseOwnership() {
	s.withLocks(func(locks *os.File) { lock(locks, unix.F_OFD_SETLK, unix.F_UNLCK, ownershipOffset) })
}

// exclusionFile is the file of bans.
type exclusionFile struct {
	Version  int      `json:"version"`
	Excluded []string `json:"bans"`
	Listed   []string `json:"listed"`
}

// maxListed is how many executors that were listed are remembered, the latest; files count as memory.
const maxListed = 2000

// refresh brings the bans up to date. A file that is not there yet holds no news. Under mu.
func (s *Process) refresh() error {
	if s.dir == "" {
		return nil
	}
	// Danger: a file that names thousands is decoded ten times a second, at a node with a small share of a core. Each change is a file
	// of its own, so one that is still the same has nothing new.
	if is, err := os.Stat(s.path); err == nil && s.fileInfo != nil && os.SameFile(is, s.fileInfo) && is.Size() == s.fileInfo.Size() &&
		is.ModTime().Equal(s.fileInfo.ModTime()) {
		return nil
	}
	s.closeFile()
	file, err := os.Open(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s.openFile = file
	seen, err := file.Stat()
	if err != nil {
		return err
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	var l exclusionFile
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	if l.Version != fileVersion {
		return fmt.Errorf("%s: version %d, this program knows %d", s.path, l.Version, fileVersion)
	}
	s.excluded, s.listed, s.fileInfo = l.Excluded, l.Listed, seen
	return nil
}

// closeFile forgets the file as last read. Under mu.
func (s *Process) closeFile() {
	if s.openFile != nil {
		s.openFile.Close()
	}
	s.openFile, s.fileInfo = nil, nil
}

// Exclusions gives the ids of banned executors, sorted. Where they can't be read, they are what they last were.
func (s *Process) Exclusions() ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.refresh()
	return slices.Clone(s.excluded), err
}

// SetExcluded adds an executor to the banned or takes it out. With an error nothing has changed.
// Danger: a ban that is not kept ends with the process while the operators' staff work on the machine.
func (s *Process) SetExcluded(id string, yes bool) error {
	return s.update(func() bool {
		at, banned := slices.BinarySearch(s.excluded, id)
		switch {
		case yes && !banned:
			s.excluded = slices.Insert(slices.Clone(s.excluded), at, id)
		case !yes && banned:
			s.excluded = slices.Delete(slices.Clone(s.excluded), at, at+1)
		}
		return yes != banned
	})
}

// RecordListed remembers executors that were listed, for processes that come after they have gone.
func (s *Process) RecordListed(ids []string) error {
	return s.update(func() bool {
		before := len(s.listed)
		known := make(map[string]bool, before+len(ids))
		for _, id := range s.listed {
			known[id] = true
		}
		for _, id := range ids {
			if !known[id] {
				known[id], s.listed = true, append(s.listed, id)
			}
		}
		grown := len(s.listed) > before
		s.listed = s.listed[max(len(s.listed)-maxListed, 0):]
		return grown
	})
}

// WasListed says whether a process of this node has noted an executor.
func (s *Process) WasListed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return slices.Contains(s.listed, id)
}

// update brings what is shared up to date, changes it and writes it if that made a difference.
// Danger: two processes that change it at once; one would write over what the other has just kept.
func (s *Process) update(do func() bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dir == "" {
		do()
		return nil
	}
	if err := lock(s.locks, unix.F_OFD_SETLKW, unix.F_WRLCK, writeOffset); err != nil {
		return fmt.Errorf("%s: %w", s.locks.Name(), err)
	}
	defer lock(s.locks, unix.F_OFD_SETLK, unix.F_UNLCK, writeOffset)
	if err := s.refresh(); err != nil {
		return err
	}
	bans, listed := s.excluded, s.listed
	if !do() {
		return nil
	}
	err := s.write()
	if err != nil {
		s.excluded, s.listed = bans, listed
	}
	return err
}

// write puts a whole new file in the old one's place.
func (s *Process) write() error {
	text, err := json.Marshal(exclusionFile{fileVersion, s.excluded, s.listed})
	if err != nil {
		return err
	}
	fresh := fmt.Sprintf("%s.%d", s.path, s.number)
	if err = os.WriteFile(fresh, text, 0o600); err == nil {
		err = os.Rename(fresh, s.path)
	}
	if err != nil {
		os.Remove(fresh)
	}
	return err
}

// Leave gives the seat up, and whatever goes with it; the kernel would do as much when the process ends.
func (s *Process) Leave() {
	s.withLocks(func(locks *os.File) {
		locks.Close()
		s.closeFile()
		s.dir, s.locks = "", nil
	})
}
