// SPDX-License-Identifier: Apache-2.0

// Package fleet holds budgets together with other nodes: it asks for leases, keeps to them at the moment of sending, and on
// some nodes keeps a seat of the group that grants. What is divided and how is internal/fleet/budget's business.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

// Fleet is one process's part. It is safe for use by many goroutines.
type Fleet struct {
	cfg               *config.Fleet
	name              string
	clock             Clock
	log               zerolog.Logger
	client            *voterClient
	requestSoon       chan struct{}
	membershipChanged chan struct{} // of members
	gossip            *gossipState  // nil: nodes do not tell of executors
	tasks             sync.WaitGroup
	cancel            context.CancelFunc

	mu            sync.Mutex
	voter         *voter      // nil: this process has none, or has none yet
	membership    *membership // nil: it takes no part, or not yet
	holder        *budget.LeaseHolder
	demand        *budget.DemandEstimator
	firstAttempts *budget.UsageMeter // first postings, in a window of second ones
	quotas        map[string]*quota
}

// Start begins to ask for leases, and takes the seat if the node has one. beside says that other processes of the node may
// live, one of which may have it. Close ends both.
func Start(name string, plan *config.Fleet, beside bool, clock Clock, log zerolog.Logger) (*Fleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{cfg: plan, name: name, clock: clock, log: log.With().Str("part", "fleet").Logger(), requestSoon: make(chan struct{}, 1), membershipChanged: make(chan struct{}, 1),
		cancel: stop, quotas: map[string]*quota{}}
	f.holder = budget.NewLeaseHolder(name, randomID(), &plan.Agreement, clock())
	f.demand, f.firstAttempts = budget.NewDemandEstimator(name, &plan.Agreement), budget.NewUsageMeter(&plan.Agreement, config.BudgetRetries)
	for b, t := range plan.Agreement.Budgets {
		for _, part := range plan.Agreement.PartitionNames(b) {
			f.quotas[part] = &quota{limits: t, meter: budget.NewUsageMeter(&plan.Agreement, part), total: t.Total}
		}
	}
	f.client = newVoterClient(plan)
	if plan.WitnessQuorum > 0 {
		f.gossip = newGossipState(name, plan, clock)
	}
	if own := plan.Voter(name); own != nil {
		l, err := net.Listen("tcp", plan.Listen)
		// Danger: another process of this node has the seat, as in an upgrade; this one takes it once that one has left.
		if errors.Is(err, syscall.EADDRINUSE) && beside {
			f.tasks.Go(func() { f.retryStartVoter(ctx) })
		} else if err != nil {
			stop()
			return nil, fmt.Errorf("fleet.listen: %w", err)
		} else if err := f.startVoter(ctx, l); err != nil {
			stop()
			return nil, err
		}
	}
	if plan.Gossip != "" {
		m, err := joinGossip(ctx, name, plan, f.notifyMembershipChange, f.reportHandler(), f.log)
		if err != nil && beside {
			f.tasks.Go(func() { f.retryJoinGossip(ctx) })
		} else if err != nil {
			f.Close()
			return nil, fmt.Errorf("fleet.gossip: %w", err)
		} else {
			f.membership = m
		}
	}
	f.tasks.Go(func() { f.renewLeases(ctx) })
	return f, nil
}

func (f *Fleet) notifyMembershipChange() {
	select {
	case f.membershipChanged <- struct{}{}:
	default:
	}
}

// MembershipChanges comes when other members are there than were when they were last looked at.
func (f *Fleet) MembershipChanges() <-chan struct{} { return f.membershipChanged }

// Peers are the nodes that are there, as this one believes, itself among them where it takes part in gossip.
func (f *Fleet) Peers() []string {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.names()
}

// retryJoinGossip waits for the address at which another process of this node still hears who is there.
func (f *Fleet) retryJoinGossip(ctx context.Context) {
	retryUntilDone(ctx, func() bool {
		m, err := joinGossip(ctx, f.name, f.cfg, f.notifyMembershipChange, f.reportHandler(), f.log)
		if err != nil {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.membership = m
		return true
	})
}

// startVoter takes the node's seat.
func (f *Fleet) startVoter(ctx context.Context, l net.Listener) error {
	s, err := startVoter(ctx, f.name, l, f.cfg, f.clock, f.client, f.log)
	if err != nil {
		l.Close()
		return err
	}
	f.mu.Lock()
	f.voter = s
	f.mu.Unlock()
	f.tasks.Go(func() {
		select {
		case <-ctx.Done():
		case <-s.closed:
		case <-s.quorumLost:
			f.mu.Lock()
			mine := f.voter == s
			if mine {
				f.voter = nil
			}
			f.mu.Unlock()
			if mine {
				s.close()
				f.retryStartVoter(ctx)
			}
		}
	})
	return nil
}

// retryUntilDone tries until it is done, or the fleet ends.
func retryUntilDone(ctx context.Context, try func() (done bool)) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if try() {
				return
			}
		}
	}
}

// retryStartVoter waits for the seat's door.
func (f *Fleet) retryStartVoter(ctx context.Context) {
	retryUntilDone(ctx, func() bool {
		l, err := net.Listen("tcp", f.cfg.Listen)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err == nil {
			err = f.startVoter(ctx, l)
		}
		if err != nil {
			f.log.Error().Err(err).Msg("the seat is not taken")
		}
		return true
	})
}

// SetFloorOwner says whether the node's floors are this process's, or another's.
func (f *Fleet) SetFloorOwner(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder.SetFloorOwner(yes, f.clock())
}

// HandOver leaves the seat and the gossip to another process of this node; leases go on.
func (f *Fleet) HandOver() {
	f.leave(false)
}

func (f *Fleet) leave(told bool) {
	f.mu.Lock()
	s, m := f.voter, f.membership
	f.voter, f.membership = nil, nil
	f.mu.Unlock()
	if m != nil {
		m.leave(told)
	}
	if s != nil {
		s.close()
	}
}

// Close ends all. The lease is not given back: the grants run out by themselves.
func (f *Fleet) Close() {
	f.cancel()
	f.tasks.Wait()
	f.leave(true)
}
