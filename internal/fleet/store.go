// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	// storeFile is the name of the bolt file with the raft log, term and vote in the voter's data directory.
	storeFile = "seat.db"
	// retainedSnapshots is the number of snapshots that are kept on disk.
	retainedSnapshots = 2
	// writeRetryInterval is the time between two attempts to write to a disk that rejects writes.
	writeRetryInterval = time.Second
)

// voterIDKey is the key in the bolt file under which the voter's id is stored.
var voterIDKey = []byte("fernrail id")

// errForeignStore reports that another node's voter wrote the data directory.
var errForeignStore = errors.New("the data directory belongs to another voter")

// raftStorage is the set of stores that the raft library uses.
type raftStorage struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openStore opens the voter's state and sets its id.
//
// The id is part of the state. A voter that lost its state but kept its id could vote twice in one election,
// and would lack grants that it had acknowledged. Under a new id it is not a member of the cluster until the
// others add it.
func (v *voter) openStore() (*raftStorage, error) {
	if v.cfg.DataDir == "" {
		v.id = newVoterID(v.name)
		store := raft.NewInmemStore()
		return &raftStorage{logs: store, stable: store, snapshots: raft.NewInmemSnapshotStore()}, nil
	}
	if err := os.MkdirAll(v.cfg.DataDir, 0o700); err != nil {
		return nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(v.cfg.DataDir, storeFile))
	if err != nil {
		return nil, err
	}
	v.store = store
	if v.id, err = loadVoterID(store, v.name); err != nil {
		return nil, err
	}
	if owner := nodeName(v.id); owner != v.name {
		return nil, fmt.Errorf("%w: %s was written by the voter of node %s",
			errForeignStore, v.cfg.DataDir, owner)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(v.cfg.DataDir, retainedSnapshots,
		hclog.NewNullLogger())
	if err != nil {
		return nil, err
	}
	retrying := &retryingStore{BoltStore: store, voter: v}
	return &raftStorage{logs: retrying, stable: retrying, snapshots: snapshots}, nil
}

// loadVoterID returns the id in the store. A store without an id is new; loadVoterID creates and stores its
// id.
func loadVoterID(store *raftboltdb.BoltStore, node string) (string, error) {
	stored, err := store.Get(voterIDKey)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return "", err
	}
	if len(stored) > 0 {
		return string(stored), nil
	}
	id := newVoterID(node)
	if err := store.Set(voterIDKey, []byte(id)); err != nil {
		return "", err
	}
	return id, nil
}

// retryingStore retries writes of the raft term and vote until they succeed. The raft library would end the
// process if such a write failed. Instead, this voter stops responding as if it were down, and continues
// after the disk accepts writes again.
type retryingStore struct {
	*raftboltdb.BoltStore
	voter *voter
}

// Set implements raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	s.voter.retryWrite(func() error { return s.BoltStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	s.voter.retryWrite(func() error { return s.BoltStore.SetUint64(key, value) })
	return nil
}

// StoreLog implements raft.LogStore. It may fail: a leader then steps down, and a follower does not
// acknowledge the entry.
func (s *retryingStore) StoreLog(entry *raft.Log) error {
	return s.voter.recordDiskError(s.BoltStore.StoreLog(entry))
}

// StoreLogs implements raft.LogStore, as StoreLog does.
func (s *retryingStore) StoreLogs(entries []*raft.Log) error {
	return s.voter.recordDiskError(s.BoltStore.StoreLogs(entries))
}

// recordDiskError records the result of the latest write for the status, and returns it.
func (v *voter) recordDiskError(err error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.diskError = ""
	if err != nil {
		v.diskError = err.Error()
	}
	return err
}

// retryWrite repeats a write until it succeeds or the voter is closed. A closed voter sends nothing, so a
// vote that was not written never reaches another voter.
func (v *voter) retryWrite(write func() error) {
	for {
		err := v.recordDiskError(write())
		if err == nil {
			return
		}
		v.log.Error().Err(err).
			Msg("write to the voter's disk failed; the voter does not respond until a retry succeeds")
		select {
		case <-v.closed:
			return
		case <-time.After(writeRetryInterval):
		}
	}
}
