// SPDX-License-Identifier: Apache-2.0

// Package fleet shares budgets among nodes. It requests leases, checks immediately before each send that the
// leases cover it, and on some nodes runs a voter of the raft cluster that grants the leases. Package budget
// decides how a budget is divided.
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

// retryInterval is the time between two attempts to bind an address that another process of this node still
// uses.
const retryInterval = 200 * time.Millisecond

// Fleet requests leases for one process and limits its usage to them. Its methods are safe for concurrent
// use.
type Fleet struct {
	cfg    *config.Fleet
	name   string // of this node
	clock  Clock
	log    zerolog.Logger
	client *voterClient
	gossip *gossipState // nil: nodes don't exchange reports on servers

	requestSoon       chan struct{} // wakes the lease loop
	membershipChanged chan struct{} // receives a value after nodes joined or left

	tasks  sync.WaitGroup
	cancel context.CancelFunc

	mu            sync.Mutex  // guards the fields below
	voter         *voter      // nil: this process runs none, or none yet
	membership    *membership // nil: this process takes no part in gossip, or not yet
	holder        *budget.LeaseHolder
	demand        *budget.DemandEstimator
	firstAttempts *budget.UsageMeter // over the window of the retry budget
	quotas        map[string]*quota  // by budget or partition
}

// Start begins to request leases, and runs a voter if the configuration lists this node as one. othersRunning
// reports whether other processes of this node may be running and may still use the addresses of the voter
// and of gossip. Close ends everything that Start began.
func Start(
	name string, cfg *config.Fleet, othersRunning bool, clock Clock, log zerolog.Logger) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(name, cfg, clock, log)
	f.cancel = cancel
	if cfg.Voter(name) != nil {
		if err := f.startFirstVoter(ctx, othersRunning); err != nil {
			cancel()
			return nil, err
		}
	}
	if cfg.GossipAddress != "" {
		if err := f.startGossip(ctx, othersRunning); err != nil {
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

// startFirstVoter starts the node's voter. If another process of the node uses its address, as during an
// upgrade, the voter starts after that process has released it.
func (f *Fleet) startFirstVoter(ctx context.Context, othersRunning bool) error {
	listener, err := net.Listen("tcp", f.cfg.VoterListen)
	if errors.Is(err, syscall.EADDRINUSE) && othersRunning {
		f.tasks.Go(func() { f.retryStartVoter(ctx) })
		return nil
	}
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	return f.startVoter(ctx, listener)
}

// startVoter starts the node's voter on a listener. It replaces the voter by a new one if its cluster can
// never elect a leader again.
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

// superviseVoter waits until the voter ends. If its cluster can never elect a leader again, it starts a new
// voter.
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

// retryStartVoter starts the voter as soon as its address is free.
func (f *Fleet) retryStartVoter(ctx context.Context) {
	retryUntilDone(ctx, func() bool {
		listener, err := net.Listen("tcp", f.cfg.VoterListen)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err == nil {
			err = f.startVoter(ctx, listener)
		}
		if err != nil {
			f.log.Error().Err(err).Msg("failed to start the voter; this process runs without one")
		}
		return true
	})
}

// startGossip joins the gossip of the fleet. If that fails while other processes of the node may use the
// address, it is retried in the background.
func (f *Fleet) startGossip(ctx context.Context, othersRunning bool) error {
	err := f.joinGossip(ctx)
	if err != nil && othersRunning {
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

// retryJoinGossip joins the gossip as soon as its address is free.
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

// MembershipChanges returns a channel that receives a value after nodes joined or left. Changes between two
// receives are combined into one value.
func (f *Fleet) MembershipChanges() <-chan struct{} { return f.membershipChanged }

// Peers returns the sorted names of the nodes that gossip considers alive, including this one. It returns
// none if this process takes no part in gossip.
func (f *Fleet) Peers() []string {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.names()
}

// SetFloorOwner sets whether this process or another process of the node may use the node's floors.
func (f *Fleet) SetFloorOwner(owner bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder.SetFloorOwner(owner, f.clock())
}

// ReleaseAddresses releases the addresses of the voter and of gossip to another process of this node. Leases
// are still renewed.
func (f *Fleet) ReleaseAddresses() {
	v, m := f.takeServices()
	if m != nil {
		m.shutdown()
	}
	if v != nil {
		v.close()
	}
}

// Close ends all goroutines. It does not return the lease, which expires by itself.
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

// takeServices removes the voter and the membership from the Fleet and returns them. The caller must close
// them.
func (f *Fleet) takeServices() (*voter, *membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, m := f.voter, f.membership
	f.voter, f.membership = nil, nil
	return v, m
}
