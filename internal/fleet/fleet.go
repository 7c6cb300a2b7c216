// SPDX-License-Identifier: Apache-2.0

// Package fleet holds budgets together with other nodes: it asks for leases, keeps to them at the moment of sending, and on
// some nodes keeps a seat of the group that grants. What is divided and how is internal/fleet/budget's business.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

// Clock tells nanoseconds that go on while the process is stopped and the machine sleeps.
type Clock func() int64

// Boottime is the machine's own such clock. Danger: the runtime's monotonic clock stands still while a machine sleeps.
func Boottime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return t.Nano()
}

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

// quota is what this node has of one budget, and what it did with it.
type quota struct {
	limits          budget.Limits
	meter           *budget.UsageMeter
	total           int64 // as last heard
	sent            int64 // counted at the sending
	heldBack        int64 // held back there: the lease had run out, or had come down
	sentAfterExpiry int64 // gone out, though the lease had run out once the write was over, or since it could not wait
}

// maxRequestsPerLease is how many requests a node that needs more makes in a lease at most; one that needs no more makes three.
const maxRequestsPerLease = 15

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

// randomID is a name that no process before this one had.
func randomID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// renewLeases asks for leases until the end.
func (f *Fleet) renewLeases(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	kicked, at, heard, hurry := false, 0, true, time.Duration(f.cfg.Agreement.Lease/maxRequestsPerLease)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requestSoon:
			if !kicked {
				kicked = true
				timer.Reset(hurry)
			}
			continue
		case <-timer.C:
		}
		kicked = false
		ask := f.nextRequest()
		call, cancel := context.WithTimeout(ctx, time.Duration(f.cfg.Agreement.Lease/3))
		answer, to, err := f.client.requestLease(call, at, &ask)
		cancel()
		at = to
		if err == nil {
			f.applyResponse(answer)
		}
		// Danger: floors by a file of its own, beyond what was carved out for each; a seat that is not reached proves nothing.
		if refused := errors.Is(err, errAgreementMismatch); refused || err == nil {
			f.mu.Lock()
			f.holder.SetRejected(refused, f.clock())
			f.mu.Unlock()
		}
		if ok := err == nil; ok != heard {
			heard = ok
			f.log.Warn().AnErr("last", err).Bool("heard", ok).Msg("leases")
		}
		f.mu.Lock()
		next := time.Duration(f.holder.NextRequestTime() - f.clock())
		f.mu.Unlock()
		if err != nil {
			next = min(next, time.Duration(f.cfg.Agreement.Lease/10)) // another seat
		}
		timer.Reset(max(next, hurry/8))
	}
}

// nextRequest makes the next request from what was used and refused since the last one.
func (f *Fleet) nextRequest() budget.LeaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	want := f.demand.Estimate(func(name string) (float64, bool) { return f.quotas[name].meter.PeakDemand(now) },
		func(name string) int64 { return f.holder.Units(name, now) })
	a := f.holder.NextRequest(want, now)
	a.FirstAttempts = int64(f.firstAttempts.Used("", now))
	return a
}

func (f *Fleet) applyResponse(a *budget.LeaseResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.holder.ClockRate()
	f.demand.ObserveResponse(a)
	f.holder.ApplyResponse(a, f.clock())
	if rate := f.holder.ClockRate(); rate != 0 && was == 0 {
		f.log.Error().Float64("rate", rate).Float64("margin", f.cfg.Agreement.ClockMargin).Msg("this machine's clock, or the granter's, is beyond the margin: no lease is used")
	}
	for name, whole := range a.Totals {
		if s := f.quotas[name]; s != nil {
			s.total = whole
		}
	}
}

// Allow says whether this node may use so many units more now; it may where the budget is not held together.
func (f *Fleet) Allow(name, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return true
	}
	now := f.clock()
	if s.meter.Used(key, now)+units <= float64(f.holder.Units(name, now)) {
		return true
	}
	s.meter.RecordRejected(key, units, now)
	f.hurryRequest()
	return false
}

// Quota is what this node has of all there is now; one where the budget is not held together.
func (f *Fleet) Quota(name, key string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return 1
	}
	return float64(f.holder.Units(name, f.clock())) / float64(s.limits.Total)
}

// quotaName is the one of a budget that a key falls to.
func (f *Fleet) quotaName(budget, key string) string {
	if f.cfg.Agreement.Budgets[budget].Partitions <= 1 {
		return budget
	}
	return f.cfg.Agreement.PartitionName(budget, dispatch.HashName(key))
}

// Total is what all nodes have of a budget, by the pact.
func (f *Fleet) Total(name string) float64 { return float64(f.cfg.Agreement.Budgets[name].Total) }

// SetTotal has the seats agree on another whole. A lowered one waits for what is out.
func (f *Fleet) SetTotal(name string, units int64) error {
	if _, is := f.cfg.Agreement.Budgets[name]; !is {
		return fmt.Errorf("no budget is called %.40q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := errNotLeader
	for _, s := range f.cfg.Voters {
		var done map[string]int64
		switch fault := f.client.post(ctx, s.Address, "/whole", map[string]int64{name: units}, &done); {
		case fault == nil:
			return nil
		case errors.Is(err, errNotLeader): // what the granter says counts, not that others don't grant
			err = fault
		}
	}
	return err
}

// hurryRequest has the next request made soon. Under mu.
func (f *Fleet) hurryRequest() {
	select {
	case f.requestSoon <- struct{}{}:
	default:
	}
}

// Reservation is what one sending takes of several budgets. The zero one is of none.
type Reservation struct {
	fleet          *Fleet
	isFirstAttempt bool
	usages         []reservedUsage
}

type reservedUsage struct {
	share *quota
	name  string
	use   *budget.Usage
}

// Reserve reserves units of one more budget; false: there are none left, and nothing may be sent.
func (c *Reservation) Reserve(f *Fleet, name, key string, units float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name = f.quotaName(name, key)
	s := f.quotas[name]
	if s == nil {
		return true
	}
	c.fleet = f
	now := f.clock()
	use := s.meter.Reserve(key, units, f.holder.Units(name, now), now)
	if use == nil {
		f.hurryRequest()
		return false
	}
	c.usages = append(c.usages, reservedUsage{s, name, use})
	return true
}

// CountFirstAttempt has the sending counted as a first posting, of which second ones may be a share.
func (c *Reservation) CountFirstAttempt(f *Fleet) { c.fleet, c.isFirstAttempt = f, true }

// MaySend says whether what was reserved may go out at this very moment. Sent has to be called once it has.
func (c *Reservation) MaySend() bool {
	if c.fleet == nil {
		return true
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, u := range c.usages {
		if !u.share.meter.Send(u.use, f.holder.Units(u.name, now), now) {
			u.share.heldBack++
			return false
		}
	}
	for _, u := range c.usages {
		u.share.sent++
	}
	if c.isFirstAttempt {
		f.firstAttempts.Record("", 1, now)
	}
	return true
}

// Sent counts what slipped: sent under a lease that had run out by the time the write was over. A process can be stopped
// between any two of its steps.
func (c *Reservation) Sent() {
	if c.fleet == nil {
		return
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, u := range c.usages {
		if u.share.meter.Used(u.use.Key(), now) > float64(f.holder.Units(u.name, now)) && now >= f.holder.LeaseExpiry() {
			u.share.sentAfterExpiry++
		}
	}
}

// Release gives back what never left; over says that what was sent is known to have ended, so that jobs in flight are given back
// as well. What else was sent counts for its window.
func (c *Reservation) Release(over bool) {
	if c.fleet == nil {
		return
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, u := range c.usages {
		if u.share.meter.Cancel(u.use); over && u.name == c.fleet.quotaName(config.BudgetTenantAttempts, u.use.Key()) {
			u.share.meter.Release(u.use)
		}
	}
	c.usages = nil
}

// RecordOverrun counts a sending that could not wait for its share, and that it did not.
func (f *Fleet) RecordOverrun(name, key string, units float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.quotas[f.quotaName(name, key)]; s != nil {
		s.meter.Record(key, units, f.clock())
		s.sentAfterExpiry++
	}
}

// Status is what operators see of a node's part.
type Status struct {
	Epoch       uint64                  `json:"epoch"`
	LeaseMillis int64                   `json:"lease_ms"`        // what is left of it; 0: the node lives on its floors
	ClockRate   float64                 `json:"clock,omitempty"` // this node's rate by the granter's, where that is beyond the margin
	Budgets     map[string]BudgetStatus `json:"budgets"`
	Members     []MemberStatus          `json:"members,omitempty"`
	Subset      *SubsetStatus           `json:"subset,omitempty"`
	Outliers    *OutlierStatus          `json:"signals,omitempty"`
	Voter       *VoterStatus            `json:"seat,omitempty"`
}

// SubsetStatus are of the executors that a node uses before the others.
type SubsetStatus struct {
	Nodes    int `json:"nodes"` // among which executors were divided last
	Listed   int `json:"listed"`
	Assigned int `json:"near"` // of these, those that the node is to use
}

// BudgetStatus is one budget at one node.
type BudgetStatus struct {
	Total           int64   `json:"whole"`
	Floor           int64   `json:"floor"`
	Quota           int64   `json:"mine"` // floor and lease, now
	Used            float64 `json:"used"` // of it, the most by any one executor
	Demand          float64 `json:"want"`
	Sent            int64   `json:"sent"`
	HeldBack        int64   `json:"lapsed"`
	SentAfterExpiry int64   `json:"slipped"`
}

// Status gives the figures as they stand.
func (f *Fleet) Status() *Status {
	out := &Status{Budgets: map[string]BudgetStatus{}}
	f.mu.Lock()
	now := f.clock()
	out.Epoch, out.LeaseMillis = f.holder.Epoch(), max(f.holder.LeaseExpiry()-now, 0)/1e6
	out.ClockRate = f.holder.ClockRate()
	for name, s := range f.quotas {
		out.Budgets[name] = BudgetStatus{s.total, s.limits.Floor, f.holder.Units(name, now), s.meter.Peak(now), f.demand.LastEstimate(name), s.sent, s.heldBack, s.sentAfterExpiry}
	}
	seat, members := f.voter, f.membership
	f.mu.Unlock()
	if members != nil {
		out.Members = members.status()
	}
	if f.gossip != nil {
		out.Outliers = f.gossip.status()
	}
	if seat != nil {
		out.Voter = seat.status()
	}
	return out
}
