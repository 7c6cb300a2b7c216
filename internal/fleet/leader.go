// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"fernrail/internal/fleet/budget"
)

const (
	// batchWindow is the time during which requests are collected into one log entry, so that they share one
	// disk write.
	batchWindow = 5 * time.Millisecond
	// maxBatch is the maximum number of requests in one log entry.
	maxBatch = 512
	// maxPending is the maximum number of requests that wait at a voter. Further requests are rejected.
	maxPending = 4096
	// expiryInterval is the time between two searches for leases and cooldowns that have ended.
	expiryInterval = 25 * time.Millisecond
)

var (
	// errVotersUnreachable ends a leader term if messages get through in one direction only: this leader
	// would stay elected although no node gets a lease.
	errVotersUnreachable = errors.New("leader's responses do not reach a majority of the voters' nodes")
	// errLeadershipLost ends a leader term.
	errLeadershipLost = errors.New("another voter was elected")
)

// pendingRequest is a lease request that waits for its response.
type pendingRequest struct {
	budget.LeaseRequest
	response chan *budget.LeaseResponse // receives one value; nil if the request is not granted
}

// adminCommand is an operator's change of totals, by budget.
type adminCommand struct {
	totals map[string]int64
	done   chan error
}

// runLeader serves lease requests whenever this voter is elected, until the context ends.
func (v *voter) runLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case elected := <-v.raft.LeaderCh():
			if !elected {
				continue
			}
		}
		err := v.serveLeases(ctx)
		v.endTerm(err)
		if ctx.Err() != nil {
			return
		}
		v.log.Warn().Err(err).Msg("leader term ended; rejecting pending lease requests")
		v.rejectPending()
		// A voter with a full disk could stay elected without granting leases, so another voter has to take
		// over.
		if v.raft.State() == raft.Leader {
			// The transfer fails if no other voter can take over. The next election then decides.
			_ = v.raft.LeadershipTransfer().Error()
		}
	}
}

// serveLeases runs one leader term until it ends. It returns the reason, or nil if the context has ended.
func (v *voter) serveLeases(ctx context.Context) error {
	term, err := v.beginTerm()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for v.raft.State() == raft.Leader {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			err = v.expireLeases(term)
		case command := <-v.commands:
			_, err = v.commit(&budget.LogEntry{Epoch: term.Epoch, Totals: command.totals})
			command.done <- err
		case first := <-v.pending:
			err = v.answerBatch(term, v.collectBatch(first))
		}
		if err != nil {
			return err
		}
	}
	return errLeadershipLost
}

// beginTerm waits until the ledger is up to date and commits the entry that begins this voter's term.
func (v *voter) beginTerm() (*budget.LeaderTerm, error) {
	if err := v.raft.Barrier(time.Duration(v.cfg.Agreement.Lease)).Error(); err != nil {
		return nil, err
	}
	epoch := v.raft.CurrentTerm()
	_, err := v.commit(&budget.LogEntry{
		NewTerm:   true,
		Epoch:     epoch,
		Agreement: &v.cfg.Agreement,
		ClusterID: randomID(),
	})
	if err != nil {
		return nil, err
	}
	var term *budget.LeaderTerm
	v.state.withLedger(func(ledger *budget.Ledger) {
		term = budget.NewLeaderTerm(ledger, epoch, v.clock())
	})
	v.mu.Lock()
	v.serving = true
	v.mu.Unlock()
	v.log.Info().Uint64("epoch", epoch).Msg("became leader")
	return term, nil
}

func (v *voter) endTerm(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serving = false
	v.termError = ""
	if err != nil {
		v.termError = err.Error()
	}
}

// isServing reports whether this voter is the leader and answers lease requests.
func (v *voter) isServing() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serving
}

// expireLeases commits the end of the leases and cooldowns that are due.
func (v *voter) expireLeases(term *budget.LeaderTerm) error {
	if term.Unreachable(v.voterNames(), v.clock()) {
		return errVotersUnreachable
	}
	var due *budget.LogEntry
	v.state.withLedger(func(*budget.Ledger) {
		due = term.DueExpirations(v.clock())
	})
	if due == nil {
		return nil
	}
	if _, err := v.commit(due); err != nil {
		return err
	}
	v.state.withLedger(func(ledger *budget.Ledger) {
		term.RecordApplied(ledger, due, nil, v.clock())
	})
	return nil
}

func (v *voter) voterNames() []string {
	names := make([]string, 0, len(v.cfg.Voters))
	for _, peer := range v.cfg.Voters {
		names = append(names, peer.Name)
	}
	return names
}

// collectBatch returns the first request and those that arrive within batchWindow after it, at most maxBatch.
func (v *voter) collectBatch(first *pendingRequest) []*pendingRequest {
	batch := []*pendingRequest{first}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case request := <-v.pending:
			batch = append(batch, request)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// answerBatch commits the requests as one log entry and answers each of them. It returns an error if the
// entry was not committed.
func (v *voter) answerBatch(term *budget.LeaderTerm, batch []*pendingRequest) error {
	entry := &budget.LogEntry{Epoch: term.Epoch}
	for _, request := range batch {
		v.recordClockRate(request.Node, request.ClockRate)
		term.ObserveRequest(&request.LeaseRequest, v.clock())
		entry.Requests = append(entry.Requests, request.LeaseRequest)
	}
	responses, err := v.commit(entry)
	if err != nil {
		for _, request := range batch {
			request.response <- nil
		}
		return err
	}
	v.state.withLedger(func(ledger *budget.Ledger) {
		term.RecordApplied(ledger, entry, responses, v.clock())
	})
	for i, request := range batch {
		if responses[i] != nil {
			responses[i].LeaderTime = v.clock()
		}
		request.response <- responses[i]
	}
	return nil
}

// recordClockRate records the nodes whose clock rate provably differs from the leader's by more than the
// margin, and logs each of them once. A clockRate of 0 means that the node has detected no such skew.
func (v *voter) recordClockRate(node string, clockRate float64) {
	v.mu.Lock()
	_, known := v.skewedClocks[node]
	if clockRate != 0 {
		v.skewedClocks[node] = clockRate
	} else {
		delete(v.skewedClocks, node)
	}
	v.mu.Unlock()
	if clockRate == 0 || known {
		return
	}
	v.log.Error().
		Str("clock", node).
		Float64("rate", clockRate).
		Float64("margin", v.cfg.Agreement.ClockMargin).
		Msg("clock skew of a node exceeds the margin; the node uses no leases")
}

// rejectPending answers the requests that are still waiting after a leader term has ended. They are not
// granted.
func (v *voter) rejectPending() {
	for {
		select {
		case request := <-v.pending:
			request.response <- nil
		default:
			return
		}
	}
}
