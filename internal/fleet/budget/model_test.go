// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"fmt"
	"slices"
)

// variant is a fault that is deliberately added to the code under test. The model must detect each of them.
type variant string

const (
	correct              variant = ""
	withoutMargin        variant = "leases expire without the clock margin"
	leasesNotRestored    variant = "a new leader lets existing leases expire at once"
	returnCountedTwice   variant = "a duplicate request returns its units twice"
	uncheckedEpoch       variant = "the epoch of entries is not checked"
	withoutCooldown      variant = "units are granted again without a cooldown"
	startsAtResponse     variant = "a lease begins when its response arrives"
	staleResponseApplied variant = "responses to earlier requests are applied"
)

// modelCluster is a model of a fleet in which any message may be lost, duplicated or late, any voter may be
// elected, pause and continue, and any holder may restart. The checks examine only the units that holders may
// use, not the ledger's own sums.
type modelCluster struct {
	variant    variant
	now        int64
	ledger     *Ledger
	term       *LeaderTerm
	stale      []*LogEntry // entries of leaders that were paused before they committed them
	holders    []*LeaseHolder
	clockRates []int64 // of each holder's clock, in tenths
	requests   []LeaseRequest
	responses  []addressedResponse
	history    []usageSample // of the latest window
	processes  int           // number of processes started so far
	steps      []string
}

// addressedResponse is a response in transit.
type addressedResponse struct {
	to string // name of the holder
	LeaseResponse
}

// usageSample records the units that each holder could use at one moment.
type usageSample struct {
	at    int64
	units []int64
}

const (
	modelTick   = 100
	modelWindow = 2 * modelTick
	modelTotal  = 3
)

var modelAgreement = Agreement{
	MaxNodes:    3,
	Lease:       8 * modelTick,
	ClockMargin: 0.5,
	Budgets:     map[string]Limits{"b": {Total: modelTotal, Step: 1, Window: modelWindow}},
}

func newModelCluster(v variant) *modelCluster {
	c := &modelCluster{variant: v, ledger: NewLedger(), now: 10 * modelTick}
	agreement := modelAgreement
	c.ledger.Apply(&LogEntry{NewTerm: true, Epoch: 1, Agreement: &agreement})
	c.clearCooldowns() // the cluster was founded long ago
	c.term = c.newTerm(1)
	for i, rate := range []int64{10, 7, 10} { // one clock is slow, within the margin
		c.clockRates = append(c.clockRates, rate)
		c.holders = append(c.holders, c.newProcess(i))
	}
	c.checkUsage()
	return c
}

func (c *modelCluster) clearCooldowns() {
	account := c.ledger.Budgets["b"]
	account.CoolingDown = map[int64]int64{}
	account.CoolingDownTotal = 0
}

// newTerm begins a leader term.
func (c *modelCluster) newTerm(epoch uint64) *LeaderTerm {
	term := NewLeaderTerm(c.ledger, epoch, c.now)
	switch c.variant {
	case withoutMargin:
		agreement := *term.agreement
		agreement.ClockMargin = 0
		term.agreement = &agreement
	case leasesNotRestored:
		for name, x := range term.expirations {
			term.expirations[name] = expiration{seq: x.seq, expiresAt: c.now}
		}
	}
	return term
}

// clock returns the time by a holder's own clock.
func (c *modelCluster) clock(holder int) int64 { return c.now * c.clockRates[holder] / 10 }

func (c *modelCluster) newProcess(holder int) *LeaseHolder {
	c.processes++
	name := fmt.Sprint("p", c.processes)
	return NewLeaseHolder(fmt.Sprint("n", holder), name, &c.ledger.Agreement, c.clock(holder))
}

// commit applies an entry of a leader term. term is nil if the term has ended.
func (c *modelCluster) commit(entry *LogEntry, term *LeaderTerm) {
	switch {
	case c.variant == uncheckedEpoch && !entry.NewTerm:
		entry.Epoch = c.ledger.Epoch
	case c.variant == returnCountedTwice:
		defer c.rewindRequests(entry)()
	case c.variant == withoutCooldown:
		defer c.clearCooldowns()
	}
	responses, err := c.ledger.Apply(entry)
	if err != nil {
		return
	}
	if term == c.term {
		term.RecordApplied(c.ledger, entry, responses, c.now)
	}
	for i, response := range responses {
		if response != nil {
			response.LeaderTime = c.now
			c.responses = append(c.responses,
				addressedResponse{to: entry.Requests[i].Holder, LeaseResponse: *response})
		}
	}
}

// rewindRequests makes the ledger accept duplicate requests of an entry, until the returned function is
// called.
func (c *modelCluster) rewindRequests(entry *LogEntry) (restore func()) {
	seqs := map[*Lease]uint64{}
	for _, request := range entry.Requests {
		lease := c.ledger.Holders[request.Holder]
		if lease != nil && lease.Seq >= request.Seq {
			seqs[lease] = lease.Seq
			lease.Seq = request.Seq - 1
		}
	}
	return func() {
		for lease, seq := range seqs {
			lease.Seq = seq
		}
	}
}

// checkUsage samples the units that each holder may use. It returns a description of the violation if their
// sum exceeds the total at this moment or within a window, else an empty string.
func (c *modelCluster) checkUsage() string {
	units, sum := make([]int64, len(c.holders)), int64(0)
	for i, h := range c.holders {
		units[i] = h.Units("b", c.clock(i))
		sum += units[i]
	}
	if sum > modelTotal {
		return fmt.Sprintf("tick %d: usable units by holder %v, sum %d exceeds the total",
			c.now/modelTick, units, sum)
	}
	c.history = append(slices.Clone(c.history), usageSample{at: c.now, units: units})
	c.history = slices.DeleteFunc(c.history, func(s usageSample) bool { return c.now-s.at >= modelWindow })
	// A restarted process keeps the index of its predecessor in the samples. The usage of an index within the
	// window is the maximum over its samples, so the larger usage of both processes counts.
	most := int64(0)
	for i := range c.holders {
		mostOfHolder := int64(0)
		for _, sample := range c.history {
			mostOfHolder = max(mostOfHolder, sample.units[i])
		}
		most += mostOfHolder
	}
	if most > modelTotal {
		return fmt.Sprintf("tick %d: usable units within a window exceed the total: %v",
			c.now/modelTick, c.history)
	}
	return ""
}

// moves returns all possible next moves. Messages that are never delivered are lost.
func (c *modelCluster) moves() []string {
	moves := []string{"tick"}
	for i, h := range c.holders {
		if c.clock(i) >= h.NextRequestTime() || !h.awaitingResponse {
			moves = append(moves, fmt.Sprint("request ", i, " 0"), fmt.Sprint("request ", i, " ", modelTotal))
		}
		if c.processes < 5 {
			moves = append(moves, fmt.Sprint("restart ", i))
		}
	}
	for i := range c.requests {
		moves = append(moves, fmt.Sprint("commit ", i), fmt.Sprint("commit-and-keep ", i))
	}
	for i := range c.responses {
		moves = append(moves, fmt.Sprint("respond ", i), fmt.Sprint("respond-and-keep ", i))
	}
	if due := c.term.DueExpirations(c.now); due != nil {
		moves = append(moves, "expire")
	}
	if c.ledger.Epoch < 4 {
		moves = append(moves, "elect")
	}
	for i := range c.stale {
		moves = append(moves, fmt.Sprint("commit-stale ", i))
	}
	return moves
}

// move makes one move and returns a description of the invariant that it violates, empty if none.
func (c *modelCluster) move(step string) string {
	c.steps = append(c.steps, step)
	var kind string
	var i, demand int
	fmt.Sscan(step, &kind, &i, &demand)
	changesUsage := false
	switch kind {
	case "tick":
		c.now += modelTick
		changesUsage = true
	case "request":
		c.sendRequest(i, int64(demand))
	case "restart":
		c.holders[i] = c.newProcess(i)
		changesUsage = true
	case "commit", "commit-and-keep": // a kept request may be committed again, as a duplicate
		c.commitRequest(i, kind == "commit-and-keep")
	case "respond", "respond-and-keep":
		c.respond(i, kind == "respond-and-keep")
		changesUsage = true
	case "expire":
		c.commit(c.term.DueExpirations(c.now), c.term)
	case "elect":
		c.elect()
	case "commit-stale":
		entry := c.stale[i]
		c.stale = slices.Delete(slices.Clone(c.stale), i, i+1)
		c.commit(entry, nil)
	}
	// If the leader does not track a lease's expiration, its units are never released.
	for name, lease := range c.ledger.Holders {
		if x, known := c.term.expirations[name]; !known || x.seq != lease.Seq {
			return fmt.Sprintf("the leader does not track the expiration of the lease of %s", name)
		}
	}
	if changesUsage {
		return c.checkUsage()
	}
	return ""
}

func (c *modelCluster) sendRequest(holder int, demand int64) {
	request := c.holders[holder].NextRequest(map[string]int64{"b": demand}, c.clock(holder))
	c.requests = append(c.requests, request)
	c.requests = c.requests[max(len(c.requests)-3, 0):]
}

func (c *modelCluster) commitRequest(i int, keep bool) {
	request := c.requests[i]
	if !keep {
		c.requests = slices.Delete(slices.Clone(c.requests), i, i+1)
	}
	c.commit(&LogEntry{Epoch: c.term.Epoch, Requests: []LeaseRequest{request}}, c.term)
	c.responses = c.responses[max(len(c.responses)-3, 0):]
}

func (c *modelCluster) respond(i int, keep bool) {
	response := c.responses[i]
	if !keep {
		c.responses = slices.Delete(slices.Clone(c.responses), i, i+1)
	}
	for j, h := range c.holders {
		if h.Name != response.to {
			continue
		}
		switch c.variant {
		case startsAtResponse:
			h.requestedAt = c.clock(j)
		case staleResponseApplied:
			h.awaitingResponse, h.seq = true, response.Seq
		}
		h.ApplyResponse(&response.LeaseResponse, c.clock(j))
	}
}

// elect begins another leader term. The previous leader is paused with entries that it has not committed.
func (c *modelCluster) elect() {
	if due := c.term.DueExpirations(c.now); due != nil {
		c.stale = append(c.stale, due)
	}
	for _, request := range c.requests {
		c.stale = append(c.stale, &LogEntry{Epoch: c.term.Epoch, Requests: []LeaseRequest{request}})
	}
	c.stale = c.stale[max(len(c.stale)-2, 0):]
	epoch := c.ledger.Epoch + 1
	c.ledger.Apply(&LogEntry{NewTerm: true, Epoch: epoch})
	c.term = c.newTerm(epoch)
}
