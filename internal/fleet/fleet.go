// SPDX-License-Identifier: Apache-2.0

// Package fleet shares budgets with other nodes. It requests leases on them, checks at the moment of sending that a
// lease covers what is sent, and on some nodes runs a voter of the raft cluster that grants the leases. How a budget
// is divided is decided in package budget.
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

// retryInterval is the time between two attempts to take over an address that another process of this node still has.
const retryInterval = 200 * time.Millisecond

// Fleet is one process's part in sharing budgets. Its methods may be called by many goroutines.
type Fleet struct {
	cfg    *config.Fleet
	name   string // of this node
	clock  Clock
	log    zerolog.Logger
	client *voterClient
	gossip *gossipState // nil: nodes don't tell each other of servers

	requestSoon       chan struct{} // wakes the lease loop
	membershipChanged chan struct{}

	tasks  sync.WaitGroup
	cancel context.CancelFunc

	mu            sync.Mutex  // guards what follows
	voter         *voter      // nil: this process runs none, or none yet
	membership    *membership // nil: this process takes no part in gossip, or not yet
	holder        *budget.LeaseHolder
	demand        *budget.DemandEstimator
	firstAttempts *budget.UsageMeter // in a window of the budget of retries
	quotas        map[string]*quota  // by name of a budget, or of one of its partitions
}

// Start begins to request leases, and runs a voter if the configuration names this node as one. beside says that other
// processes of this node may be alive, which may still have the addresses of the voter and of gossip. Close ends all
// of it.
func Start(name string, cfg *config.Fleet, beside bool, clock Clock, log zerolog.Logger) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(name, cfg, clock, log)
	f.cancel = cancel
	if cfg.Voter(name) != nil {
		if err := f.startFirstVoter(ctx, beside); err != nil {
			cancel()
			return nil, err
		}
	}
	if cfg.Gossip != "" {
		if err := f.startGossip(ctx, beside); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.tasks.Go(func() { f.renewLeases(ctx) })
	return f, nil
}

func newFleet(name string, cfg *config.Fleet, clock Clock, log zerolog.Logger) *Fleet {
	agreement := &cfg.Agreement
	f := &Fleet{
		cfg:               cfg,
		name:              name,
		clock:             clock,
		log:               log.With().Str("part", "fleet").Logger(),
		client:            newVoterClient(cfg),
		requestSoon:       make(chan struct{}, 1),
		membershipChanged: make(chan struct{}, 1),
		holder:            budget.NewLeaseHolder(name, randomID(), agreement, clock()),
		demand:            budget.NewDemandEstimator(name, agreement),
		firstAttempts:     budget.NewUsageMeter(agreement, config.BudgetRetries),
		quotas:            map[string]*quota{},
	}
	for budgetName, limits := range agreement.Budgets {
		for _, partition := range agreement.PartitionNames(budgetName) {
			f.quotas[partition] = &quota{
				limits: limits,
				meter:  budget.NewUsageMeter(agreement, partition),
				total:  limits.Total,
			}
		}
	}
	if cfg.WitnessQuorum > 0 {
		f.gossip = newGossipState(name, cfg, clock)
	}
	return f
}

// startFirstVoter starts the node's voter. Where another process of the node has its address, as during an upgrade,
// the voter starts once that one has released it.
func (f *Fleet) startFirstVoter(ctx context.Context, beside bool) error {
	listener, err := net.Listen("tcp", f.cfg.Listen)
	if errors.Is(err, syscall.EADDRINUSE) && beside {
		f.tasks.Go(func() { f.retryStartVoter(ctx) })
		return nil
	}
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	return f.startVoter(ctx, listener)
}

// startVoter starts the node's voter on a listener, and replaces it by a new one if its cluster has lost its quorum
// for good.
func (f *Fleet) startVoter(ctx context.Context, listener net.Listener) error {
	v, err := startVoter(ctx, listener, voterConfig{
		name:   f.name,
		fleet:  f.cfg,
		clock:  f.clock,
		client: f.client,
		log:    f.log,
	})
	if err != nil {
		listener.Close()
		return err
	}
	f.mu.Lock()
	f.voter = v
	f.mu.Unlock()
	f.tasks.Go(func() { f.superviseVoter(ctx, v) })
	return nil
}

func (f *Fleet) superviseVoter(ctx context.Context, v *voter) {
	select {
	case <-ctx.Done():
	case <-v.closed:
	case <-v.quorumLost:
		f.mu.Lock()
		current := f.voter == v
		if current {
			f.voter = nil
		}
		f.mu.Unlock()
		if current {
			v.close()
			f.retryStartVoter(ctx)
		}
	}
}

// retryStartVoter starts the voter once its address is free.
func (f *Fleet) retryStartVoter(ctx context.Context) {
	retryUntilDone(ctx, func() bool {
		listener, err := net.Listen("tcp", f.cfg.Listen)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err == nil {
			err = f.startVoter(ctx, listener)
		}
		if err != nil {
			f.log.Error().Err(err).Msg("starting the voter failed")
		}
		return true
	})
}

// startGossip joins the gossip of the fleet. Where another process of the node has its address this one joins later.
func (f *Fleet) startGossip(ctx context.Context, beside bool) error {
	err := f.joinGossip(ctx)
	if err != nil && beside {
		f.tasks.Go(func() { f.retryJoinGossip(ctx) })
		return nil
	}
	if err != nil {
		return fmt.Errorf("fleet.gossip: %w", err)
	}
	return nil
}

func (f *Fleet) joinGossip(ctx context.Context) error {
	m, err := joinGossip(ctx, gossipConfig{
		name:     f.name,
		fleet:    f.cfg,
		onChange: f.notifyMembershipChange,
		onReport: f.reportHandler(),
		log:      f.log,
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership = m
	return nil
}

// retryJoinGossip joins the gossip once its address is free.
func (f *Fleet) retryJoinGossip(ctx context.Context) {
	retryUntilDone(ctx, func() bool { return f.joinGossip(ctx) == nil })
}

// retryUntilDone calls attempt until it returns true, or the context ends.
func retryUntilDone(ctx context.Context, attempt func() (done bool)) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if attempt() {
				return
			}
		}
	}
}

func (f *Fleet) notifyMembershipChange() {
	select {
	case f.membershipChanged <- struct{}{}:
	default:
	}
}

// MembershipChanges returns a channel that receives a value when nodes joined or left since the last one.
func (f *Fleet) MembershipChanges() <-chan struct{} { return f.membershipChanged }

// Peers returns the names of the nodes that are alive as far as this one knows, including its own, in order. It
// returns none where this process takes no part in gossip.
func (f *Fleet) Peers() []string {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.names()
}

// SetFloorOwner says whether the node's floors belong to this process, or to another process of the node.
func (f *Fleet) SetFloorOwner(owner bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder.SetFloorOwner(owner, f.clock())
}

// HandOver releases the addresses of the voter and of gossip to another process of this node. Leases go on.
func (f *Fleet) HandOver() {
	v, m := f.takeServices()
	if m != nil {
		m.shutdown()
	}
	if v != nil {
		v.close()
	}
}

// Close ends all goroutines. The lease is not given back: it expires by itself.
func (f *Fleet) Close() {
	f.cancel()
	f.tasks.Wait()
	v, m := f.takeServices()
	if m != nil {
		m.leave()
	}
	if v != nil {
		v.close()
	}
}

// takeServices returns the voter and the membership, which are the caller's to end from then on.
func (f *Fleet) takeServices() (*voter, *membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, m := f.voter, f.membership
	f.voter, f.membership = nil, nil
	return v, m
}
