// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"maps"
	"slices"
)

// LeaderTerm is the clock of the seat that grants. It is not part of the books: no two clocks are compared.
type LeaderTerm struct {
	Epoch       uint64
	agreement   *Agreement
	expirations map[string]expiration      // by holder
	cooldowns   map[string]map[int64]int64 // by budget and number of the rest: when it is over
	startedAt   int64
	lastContact map[string]int64 // by node: when a request last showed that an answer of this reign had reached it
}

type expiration struct {
	seq       uint64
	expiresAt int64
}

// NewLeaderTerm begins a reign over the books as they are.
// Danger: the one before may have granted a moment ago, and its clock is not ours. All that is out counts as granted now,
// and all that rests as given back now.
func NewLeaderTerm(b *Ledger, epoch uint64, now int64) *LeaderTerm {
	r := &LeaderTerm{Epoch: epoch, agreement: &b.Agreement, expirations: map[string]expiration{}, cooldowns: map[string]map[int64]int64{}, startedAt: now, lastContact: map[string]int64{}}
	for name, h := range b.Holders {
		r.expirations[name] = expiration{h.Seq, now + r.agreement.withMargin(r.agreement.Lease)}
	}
	r.RecordApplied(b, nil, nil, now)
	return r
}

// RecordApplied takes down a step that was agreed on, once that is known: what it granted runs from now at the latest.
// answers are those that Apply gave.
func (r *LeaderTerm) RecordApplied(b *Ledger, e *LogEntry, answers []*LeaseResponse, now int64) {
	for i, a := range answers {
		if a != nil {
			r.expirations[e.Requests[i].Holder] = expiration{a.Seq, now + r.agreement.withMargin(r.agreement.Lease)}
		}
	}
	maps.DeleteFunc(r.expirations, func(name string, _ expiration) bool { return b.Holders[name] == nil })
	for name, a := range b.Budgets {
		rests := r.cooldowns[name]
		if rests == nil {
			rests = map[int64]int64{}
			r.cooldowns[name] = rests
		}
		maps.DeleteFunc(rests, func(number, _ int64) bool { _, is := a.CoolingDown[number]; return !is })
		for number := range a.CoolingDown {
			if _, known := rests[number]; !known {
				rests[number] = now + r.agreement.withMargin(r.agreement.limits(name).Window)
				if number == foundingCooldown {
					rests[number] += r.agreement.withMargin(r.agreement.Lease)
				}
			}
		}
	}
}

// DueExpirations is what has run out by now, as a step for the books; nil: nothing has.
func (r *LeaderTerm) DueExpirations(now int64) *LogEntry {
	e := &LogEntry{Epoch: r.Epoch, ReleasedAfterCooldown: map[string]int64{}}
	for _, name := range slices.Sorted(maps.Keys(r.expirations)) {
		if x := r.expirations[name]; now >= x.expiresAt {
			e.Expired = append(e.Expired, Expiry{name, x.seq})
		}
	}
	for name, rests := range r.cooldowns {
		// Rests are numbered in order, but one begun later may not be over when one before it still lasts.
		upTo := int64(-1)
		for _, number := range slices.Sorted(maps.Keys(rests)) {
			if now < rests[number] {
				break
			}
			upTo = number
		}
		if upTo >= 0 {
			e.ReleasedAfterCooldown[name] = upTo
		}
	}
	if len(e.Expired) == 0 && len(e.ReleasedAfterCooldown) == 0 {
		return nil
	}
	return e
}

// ObserveRequest notes what a request shows of the way to its node and back.
func (r *LeaderTerm) ObserveRequest(a *LeaseRequest, now int64) {
	if a.Epoch == r.Epoch && a.HasLease {
		r.lastContact[a.Node] = now
	}
}

// Unreachable says that most of these nodes show no answer of this reign, though it has had two leases to reach them.
// Danger: a link that lets one way through alone. The others' votes arrive and their requests do not, or its answers do
// not: it stays elected, and nobody has a lease.
func (r *LeaderTerm) Unreachable(nodes []string, now int64) bool {
	reached := 0
	for _, n := range nodes {
		if at, is := r.lastContact[n]; is && now-at < r.agreement.Lease {
			reached++
		}
	}
	return now-r.startedAt >= 2*r.agreement.Lease && 2*reached <= len(nodes)
}
