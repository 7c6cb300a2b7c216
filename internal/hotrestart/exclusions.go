// SPDX-License-Identifier: Apache-2.0

package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// fileVersion is the version of the exclusion file that this release reads and writes.
const fileVersion = 1

// maxListed is the number of server ids in the record of servers that were ever listed. The oldest are
// dropped.
const maxListed = 2000

// ErrUnknownVersion is wrapped by the error for an exclusion file whose version this release does not
// support.
var ErrUnknownVersion = errors.New("unknown version")

// FileError reports a shared file that cannot be used. Its text begins with the path of the file.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

func (e *FileError) Unwrap() error { return e.Err }

// exclusionFile is the content of the exclusion file, which the processes of one node share.
type exclusionFile struct {
	Version  int      `json:"version"`
	Excluded []string `json:"bans"`
	Listed   []string `json:"listed"`
}

// exclusions is the content of the exclusion file at the last read or write. Guarded by Process.mu.
type exclusions struct {
	openFile *os.File    // the file that was read last; kept open so that no newer file can get its inode
	fileInfo os.FileInfo // of openFile; nil: its content was not read
	excluded []string    // sorted server ids
	listed   []string    // ids of servers that were ever listed, oldest first
}

// Exclusions returns the sorted ids of the servers that operators have excluded. With an error, it returns
// the last known ids.
func (p *Process) Exclusions() ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.refresh()
	return slices.Clone(p.excluded), err
}

// Exclude excludes a server in all current and future processes of the node. With an error, nothing has
// changed: an exclusion that is not stored would end with this process, possibly while an operator works on
// the server.
func (p *Process) Exclude(id string) error {
	return p.update(func() bool {
		index, found := slices.BinarySearch(p.excluded, id)
		if found {
			return false
		}
		p.excluded = slices.Insert(slices.Clone(p.excluded), index, id)
		return true
	})
}

// Include ends the exclusion of a server. With an error, nothing has changed.
func (p *Process) Include(id string) error {
	return p.update(func() bool {
		index, found := slices.BinarySearch(p.excluded, id)
		if !found {
			return false
		}
		p.excluded = slices.Delete(slices.Clone(p.excluded), index, index+1)
		return true
	})
}

// RecordListed stores ids of listed servers for processes that start after discovery has removed them.
func (p *Process) RecordListed(ids []string) error {
	return p.update(func() bool {
		known := make(map[string]bool, len(p.listed)+len(ids))
		for _, id := range p.listed {
			known[id] = true
		}
		before := len(p.listed)
		for _, id := range ids {
			if !known[id] {
				known[id] = true
				p.listed = append(p.listed, id)
			}
		}
		added := len(p.listed) > before
		p.listed = p.listed[max(len(p.listed)-maxListed, 0):]
		return added
	})
}

// WasListed reports whether a process of this node has recorded a server as listed.
func (p *Process) WasListed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.refresh() // if the file cannot be read, the last known content applies
	return slices.Contains(p.listed, id)
}

// update applies a change to the current content of the file, and writes the file if change returns true. A
// lock prevents processes from overwriting each other's changes.
func (p *Process) update(change func() bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.path == "" {
		change()
		return nil
	}
	if err := waitForByte(p.locks, writeOffset); err != nil {
		return &FileError{Path: p.locks.Name(), Err: err}
	}
	defer unlockByte(p.locks, writeOffset)
	if err := p.refresh(); err != nil {
		return err
	}
	excluded, listed := p.excluded, p.listed
	if !change() {
		return nil
	}
	if err := p.write(); err != nil {
		p.excluded, p.listed = excluded, listed
		return err
	}
	return nil
}

// refresh reads the file if it has changed. If the file does not exist, the known content stays. The caller
// holds mu.
func (p *Process) refresh() error {
	if p.path == "" || p.isCurrent() {
		return nil
	}
	p.closeFile()
	file, err := os.Open(p.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	p.openFile = file
	info, err := file.Stat()
	if err != nil {
		return err
	}
	content, err := decodeExclusions(file)
	if err != nil {
		return &FileError{Path: p.path, Err: err}
	}
	p.excluded, p.listed, p.fileInfo = content.Excluded, content.Listed, info
	return nil
}

// isCurrent reports whether the file is the one that was read last. The file is checked several times a
// second and can contain thousands of ids, so it is decoded only if it was replaced; each change writes a new
// file. The caller holds mu.
func (p *Process) isCurrent() bool {
	if p.fileInfo == nil {
		return false
	}
	info, err := os.Stat(p.path)
	return err == nil &&
		os.SameFile(info, p.fileInfo) &&
		info.Size() == p.fileInfo.Size() &&
		info.ModTime().Equal(p.fileInfo.ModTime())
}

// decodeExclusions reads and checks the content of an exclusion file.
func decodeExclusions(file io.Reader) (*exclusionFile, error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	var content exclusionFile
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, err
	}
	if content.Version != fileVersion {
		return nil, fmt.Errorf("%w %d; this release supports version %d",
			ErrUnknownVersion, content.Version, fileVersion)
	}
	return &content, nil
}

// closeFile closes the file that was read last, so that the next refresh reads again. The caller holds mu.
func (p *Process) closeFile() {
	if p.openFile != nil {
		p.openFile.Close()
	}
	p.openFile, p.fileInfo = nil, nil
}

// write replaces the file atomically, so that no process reads a partial one. The caller holds mu and the
// write lock.
func (p *Process) write() error {
	text, err := json.Marshal(exclusionFile{Version: fileVersion, Excluded: p.excluded, Listed: p.listed})
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", p.path, p.number)
	if err = os.WriteFile(temporary, text, 0o600); err == nil {
		err = os.Rename(temporary, p.path)
	}
	if err != nil {
		_ = os.Remove(temporary) // it may not exist; the first error is the one to return
	}
	return err
}
