// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"fernrail/internal/fleet/budget"
)

// stateMachine is the replicated ledger. It implements raft.FSM. Only the raft library changes it.
type stateMachine struct {
	mu     sync.Mutex // guards ledger
	ledger *budget.Ledger
}

// applyResult is the result of Apply, which the voter that proposed the entry receives.
type applyResult struct {
	responses []*budget.LeaseResponse // to the requests of the entry; nil for late and duplicate requests
	err       error
}

// withLedger calls f while the ledger is locked.
func (m *stateMachine) withLedger(f func(ledger *budget.Ledger)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.ledger)
}

// Apply implements raft.FSM.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var decoded budget.LogEntry
	if err := json.Unmarshal(entry.Data, &decoded); err != nil {
		return applyResult{err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	responses, err := m.ledger.Apply(&decoded)
	return applyResult{responses: responses, err: err}
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := json.Marshal(m.ledger)
	return ledgerSnapshot(text), err
}

// Restore implements raft.FSM.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	ledger := budget.NewLedger()
	if err := json.NewDecoder(snapshot).Decode(ledger); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger = ledger
	return nil
}

// ledgerSnapshot is a snapshot of the ledger in JSON.
type ledgerSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s ledgerSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		// The error of the write is the one to report; an incomplete snapshot is never used.
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s ledgerSnapshot) Release() {}

// commit replicates an entry to a majority of the voters, and returns the responses from applying it.
//
// A voter that was paused and continues still acts as the leader. Therefore requests are answered only after
// a majority has written the entry in this voter's term, which proves that no later term had begun by then.
func (v *voter) commit(entry *budget.LogEntry) ([]*budget.LeaseResponse, error) {
	text, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	future := v.raft.Apply(text, time.Duration(v.cfg.Agreement.Lease))
	if err := future.Error(); err != nil {
		return nil, err
	}
	result := future.Response().(applyResult)
	return result.responses, result.err
}
