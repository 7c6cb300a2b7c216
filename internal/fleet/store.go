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

// openStore opens what the seat has agreed to. Without a directory it begins anew, under another id, at each start.
// Danger: a seat that has lost its memory and answers as before would vote twice in one election, and forget what it had
// agreed to have granted. The id is lost with the memory, and whoever has another id is not part of the group.
func (s *voter) openStore() (logs raft.LogStore, stable raft.StableStore, snaps raft.SnapshotStore, err error) {
	if s.cfg.DataDir == "" {
		s.id = s.name + "/" + randomID()
		store := raft.NewInmemStore()
		return store, store, raft.NewInmemSnapshotStore(), nil
	}
	if err := os.MkdirAll(s.cfg.DataDir, 0o700); err != nil {
		return nil, nil, nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(s.cfg.DataDir, "seat.db"))
	if err != nil {
		return nil, nil, nil, err
	}
	s.store = store
	id, err := store.Get([]byte("fernrail id"))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil, nil, nil, err
	}
	if len(id) == 0 {
		id = []byte(s.name + "/" + randomID())
		if err := store.Set([]byte("fernrail id"), id); err != nil {
			return nil, nil, nil, err
		}
	}
	// Danger: a directory that was another seat's.
	if s.id = string(id); nodeName(s.id) != s.name {
		return nil, nil, nil, fmt.Errorf("%s is the memory of %s", s.cfg.DataDir, nodeName(s.id))
	}
	snaps, err = raft.NewFileSnapshotStoreWithLogger(s.cfg.DataDir, 2, hclog.NewNullLogger())
	own := &retryingStore{store, s}
	return own, own, snaps, err
}

// retryingStore is what the group needs to have written before it goes on: terms and votes. The library ends the whole process if
// that fails. Here it waits: a seat whose disk takes nothing is silent, as a dead one is, and goes on once it does.
type retryingStore struct {
	*raftboltdb.BoltStore
	voter *voter
}

func (d *retryingStore) Set(key, value []byte) error {
	return d.voter.retryWrite(func() error { return d.BoltStore.Set(key, value) })
}

func (d *retryingStore) SetUint64(key []byte, value uint64) error {
	return d.voter.retryWrite(func() error { return d.BoltStore.SetUint64(key, value) })
}

// StoreLog and StoreLogs may fail: the library then lets go of the grant, or leaves the step to the others.
func (d *retryingStore) StoreLog(l *raft.Log) error {
	return d.voter.recordDiskError(d.BoltStore.StoreLog(l))
}

func (d *retryingStore) StoreLogs(l []*raft.Log) error {
	return d.voter.recordDiskError(d.BoltStore.StoreLogs(l))
}

// recordDiskError keeps what the disk said last, for operators.
func (s *voter) recordDiskError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError = ""; err != nil {
		s.diskError = err.Error()
	}
	return err
}

// retryWrite tries until it is written, or the seat is left; then its door is shut, so that nobody hears of what was not.
func (s *voter) retryWrite(write func() error) error {
	for {
		err := s.recordDiskError(write())
		if err == nil {
			return nil
		}
		s.log.Error().Err(err).Msg("the seat's disk takes nothing: it is silent until it does")
		select {
		case <-s.closed:
			return nil
		case <-time.After(time.Second):
		}
	}
}
