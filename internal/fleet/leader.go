// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"fernrail/internal/fleet/budget"
)

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	budget.LeaseRequest
	response chan *budget.LeaseResponse // nil comes: not granted here
}

// adminCommand is an operators' change of a whole.
type adminCommand struct {
	totals map[string]int64
	done   chan error
}

// runLeader grants for as long as this seat is the elected one.
func (s *voter) runLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case elected := <-s.raft.LeaderCh():
			if !elected {
				continue
			}
		}
		err := s.serveLeases(ctx)
		s.mu.Lock()
		s.serving, s.termError = false, ""
		if err != nil {
			s.termError = err.Error()
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(err).Msg("this seat grants no more")
		s.rejectPending()
		// Danger: a seat with a full disk that stays elected, and grants nothing. The others go on without it.
		if s.raft.State() == raft.Leader {
			s.raft.LeadershipTransfer().Error()
		}
	}
}

// serveLeases is one reign, up to its end.
func (s *voter) serveLeases(ctx context.Context) error {
	if err := s.raft.Barrier(time.Duration(s.cfg.Agreement.Lease)).Error(); err != nil {
		return err
	}
	epoch := s.raft.CurrentTerm()
	if _, err := s.commit(&budget.LogEntry{NewTerm: true, Epoch: epoch, Agreement: &s.cfg.Agreement, ClusterID: randomID()}); err != nil {
		return err
	}
	s.state.mu.Lock()
	reign := budget.NewLeaderTerm(s.state.ledger, epoch, s.clock())
	s.state.mu.Unlock()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	s.log.Info().Uint64("epoch", epoch).Msg("this seat grants")
	var names []string
	for _, x := range s.cfg.Voters {
		names = append(names, x.Name)
	}
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for s.raft.State() == raft.Leader {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if reign.Unreachable(names, s.clock()) {
				return errors.New("most nodes with seats get no answers of this one")
			}
			s.state.mu.Lock()
			due := reign.DueExpirations(s.clock())
			s.state.mu.Unlock()
			if due != nil {
				if _, err = s.commit(due); err == nil {
					s.state.mu.Lock()
					reign.RecordApplied(s.state.ledger, due, nil, s.clock())
					s.state.mu.Unlock()
				}
			}
		case o := <-s.commands:
			_, err = s.commit(&budget.LogEntry{Epoch: epoch, Totals: o.totals})
			o.done <- err
		case first := <-s.pending:
			err = s.answerBatch(reign, s.collectBatch(first))
		}
		if err != nil {
			return err
		}
	}
	return errors.New("another seat was elected")
}

// recordClockRate keeps the nodes that say their clocks are beyond the margin, and names each as it turns out to be so.
func (s *voter) recordClockRate(node string, of float64) {
	s.mu.Lock()
	_, was := s.skewedClocks[node]
	if of != 0 {
		s.skewedClocks[node] = of
	} else {
		delete(s.skewedClocks, node)
	}
	s.mu.Unlock()
	if of != 0 && !was {
		s.log.Error().Str("clock", node).Float64("rate", of).Float64("margin", s.cfg.Agreement.ClockMargin).Msg("a clock is beyond the margin: its node uses no lease")
	}
}

// collectBatch gathers requests that come within a moment.
func (s *voter) collectBatch(first *pendingRequest) []*pendingRequest {
	all, enough := []*pendingRequest{first}, time.NewTimer(batchWindow)
	defer enough.Stop()
	for len(all) < maxBatch {
		select {
		case a := <-s.pending:
			all = append(all, a)
		case <-enough.C:
			return all
		}
	}
	return all
}

func (s *voter) answerBatch(reign *budget.LeaderTerm, all []*pendingRequest) error {
	e := &budget.LogEntry{Epoch: reign.Epoch}
	for _, a := range all {
		s.recordClockRate(a.Node, a.ClockRate)
		reign.ObserveRequest(&a.LeaseRequest, s.clock())
		e.Requests = append(e.Requests, a.LeaseRequest)
	}
	answers, err := s.commit(e)
	if err == nil {
		s.state.mu.Lock()
		reign.RecordApplied(s.state.ledger, e, answers, s.clock())
		s.state.mu.Unlock()
	}
	for i, a := range all {
		if err != nil {
			a.response <- nil
		} else {
			if answers[i] != nil {
				answers[i].LeaderTime = s.clock()
			}
			a.response <- answers[i]
		}
	}
	return err
}

// rejectPending answers those that still wait.
func (s *voter) rejectPending() {
	for {
		select {
		case a := <-s.pending:
			a.response <- nil
		default:
			return
		}
	}
}

func (s *voter) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}
