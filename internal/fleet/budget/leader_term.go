// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"maps"
	"slices"
)

// LeaderTerm is when leases and cooldowns end by the leader's clock. It is not part of the replicated ledger, since no
// two clocks are compared.
type LeaderTerm struct {
	Epoch       uint64
	agreement   *Agreement
	startedAt   int64
	expirations map[string]expiration      // of leases, by holder
	cooldowns   map[string]map[int64]int64 // by budget and number: when a cooldown is over
	lastContact map[string]int64           // by node: when a request last showed that it had a response of this term
}

// expiration is when a lease expires, unless its holder sends a request after the one with seq.
type expiration struct {
	seq       uint64
	expiresAt int64
}

// NewLeaderTerm begins a term with the ledger as it is. The leader before may have granted a moment ago by a clock
// that is not this one's: all leases count as granted now, and all cooldowns as begun now.
func NewLeaderTerm(ledger *Ledger, epoch uint64, now int64) *LeaderTerm {
	t := &LeaderTerm{
		Epoch:       epoch,
		agreement:   &ledger.Agreement,
		startedAt:   now,
		expirations: map[string]expiration{},
		cooldowns:   map[string]map[int64]int64{},
		lastContact: map[string]int64{},
	}
	for name, lease := range ledger.Holders {
		t.expirations[name] = expiration{seq: lease.Seq, expiresAt: t.leaseEnd(now)}
	}
	t.RecordApplied(ledger, nil, nil, now)
	return t
}

// leaseEnd returns when a lease that is granted now has expired by its holder's clock for certain.
func (t *LeaderTerm) leaseEnd(now int64) int64 {
	return now + t.agreement.withMargin(t.agreement.Lease)
}

// RecordApplied takes down what an entry changed, once that is known to be applied: leases that it granted last from
// now at the latest. responses are those that Apply returned for the entry.
func (t *LeaderTerm) RecordApplied(ledger *Ledger, entry *LogEntry, responses []*LeaseResponse, now int64) {
	for i, response := range responses {
		if response != nil {
			t.expirations[entry.Requests[i].Holder] = expiration{seq: response.Seq, expiresAt: t.leaseEnd(now)}
		}
	}
	maps.DeleteFunc(t.expirations, func(name string, _ expiration) bool { return ledger.Holders[name] == nil })
	for name, account := range ledger.Budgets {
		t.recordCooldowns(name, account, now)
	}
}

// recordCooldowns starts the cooldowns of a budget that are new, and forgets those that are over.
func (t *LeaderTerm) recordCooldowns(name string, account *Account, now int64) {
	cooldowns := t.cooldowns[name]
	if cooldowns == nil {
		cooldowns = map[int64]int64{}
		t.cooldowns[name] = cooldowns
	}
	maps.DeleteFunc(cooldowns, func(number, _ int64) bool {
		_, isCoolingDown := account.CoolingDown[number]
		return !isCoolingDown
	})
	for number := range account.CoolingDown {
		if _, known := cooldowns[number]; known {
			continue
		}
		cooldowns[number] = now + t.agreement.withMargin(t.agreement.limits(name).Window)
		if number == foundingCooldown {
			cooldowns[number] += t.agreement.withMargin(t.agreement.Lease)
		}
	}
}

// DueExpirations returns an entry with the leases and cooldowns that are over by now, nil if there are none.
func (t *LeaderTerm) DueExpirations(now int64) *LogEntry {
	entry := &LogEntry{Epoch: t.Epoch, ReleasedAfterCooldown: map[string]int64{}}
	for _, name := range slices.Sorted(maps.Keys(t.expirations)) {
		if x := t.expirations[name]; now >= x.expiresAt {
			entry.Expired = append(entry.Expired, Expiry{Holder: name, Seq: x.seq})
		}
	}
	for name, cooldowns := range t.cooldowns {
		if number, isOver := latestOver(cooldowns, now); isOver {
			entry.ReleasedAfterCooldown[name] = number
		}
	}
	if len(entry.Expired) == 0 && len(entry.ReleasedAfterCooldown) == 0 {
		return nil
	}
	return entry
}

// latestOver returns the highest number up to which all cooldowns are over. They are numbered in order, but a later
// one can be over before an earlier one: the founding cooldown lasts longer than others.
func latestOver(cooldowns map[int64]int64, now int64) (number int64, isOver bool) {
	for _, next := range slices.Sorted(maps.Keys(cooldowns)) {
		if now < cooldowns[next] {
			break
		}
		number, isOver = next, true
	}
	return number, isOver
}

// ObserveRequest takes from a request whether its node had a response of this term.
func (t *LeaderTerm) ObserveRequest(request *LeaseRequest, now int64) {
	if request.Epoch == t.Epoch && request.HasLease {
		t.lastContact[request.Node] = now
	}
}

// Unreachable reports whether most of the nodes have shown no response of this term of late, though there were two
// leases of time for that. Where messages get through in one direction only, a leader would stay elected by the
// others' votes while no node has a lease.
func (t *LeaderTerm) Unreachable(nodes []string, now int64) bool {
	if now-t.startedAt < 2*t.agreement.Lease {
		return false
	}
	reached := 0
	for _, node := range nodes {
		if at, known := t.lastContact[node]; known && now-at < t.agreement.Lease {
			reached++
		}
	}
	return 2*reached <= len(nodes)
}
