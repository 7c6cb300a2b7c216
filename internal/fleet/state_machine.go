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

// stateMachine are the replicated state; raft alone changes it.
type stateMachine struct {
	mu     sync.Mutex
	ledger *budget.Ledger
}

type applyResult struct {
	responses []*budget.LeaseResponse
	err       error
}

func (b *stateMachine) Apply(l *raft.Log) any {
	var e budget.LogEntry
	if err := json.Unmarshal(l.Data, &e); err != nil {
		return applyResult{err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, err := b.ledger.Apply(&e)
	return applyResult{answers, err}
}

func (b *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(b.ledger)
	return ledgerSnapshot(text), err
}

func (b *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	fresh := budget.NewLedger()
	if err := json.NewDecoder(r).Decode(fresh); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger = fresh
	return nil
}

type ledgerSnapshot []byte

func (i ledgerSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (i ledgerSnapshot) Release() {}

// commit has a step agreed on by most seats, and gives what came of it.
// Danger: a seat that was stopped and goes on believes that it is still the one that grants. Nothing is answered before
// most seats have written the step down under its reign, and that proves that no other reign had begun when they did.
func (s *voter) commit(e *budget.LogEntry) ([]*budget.LeaseResponse, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(text, time.Duration(s.cfg.Agreement.Lease))
	if err := f.Error(); err != nil {
		return nil, err
	}
	done := f.Response().(applyResult)
	return done.responses, done.err
}
