// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"maps"
	"slices"
)

// LeaderTerm records when leases and cooldowns end by the leader's clock. It is not part of the replicated
// ledger, since times of different clocks can't be compared.
type LeaderTerm struct {
	Epoch       uint64
	agreement   *Agreement
	startedAt   int64
	expirations map[string]expiration      // of leases, by holder
	cooldowns   map[string]map[int64]int64 // by budget and cooldown number: when the cooldown ends
	lastContact map[string]int64           // by node: last proof that it received a response of this term
}

// expiration is the time at which a lease expires, unless its holder sends a request after the one with
// number seq.
type expiration struct {
	seq       uint64
	expiresAt int64
}

// NewLeaderTerm begins a term with the current ledger. The previous leader may have granted leases a moment
// ago by a different clock, so all leases count as granted now and all cooldowns as begun now.
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

// leaseEnd returns the time by which a lease granted now has certainly expired by its holder's clock.
func (t *LeaderTerm) leaseEnd(now int64) int64 {
	return now + t.agreement.withMargin(t.agreement.Lease)
}

// RecordApplied updates the expirations and cooldowns after an entry was applied. Leases that the entry
// granted begin now at the latest. responses are those that Apply returned for the entry.
func (t *LeaderTerm) RecordApplied(ledger *Ledger, entry *LogEntry, responses []*LeaseResponse, now int64) {
	for i, response := range responses {
		if response != nil {
			t.expirations[entry.Requests[i].Holder] = expiration{
				seq: response.Seq, expiresAt: t.leaseEnd(now)}
		}
	}
	maps.DeleteFunc(t.expirations,
		func(name string, _ expiration) bool { return ledger.Holders[name] == nil })
	for name, account := range ledger.Budgets {
		t.recordCooldowns(name, account, now)
	}
}

// recordCooldowns starts the new cooldowns of a budget and removes those that the ledger has released.
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
		if number == initialCooldown {
			cooldowns[number] += t.agreement.withMargin(t.agreement.Lease)
		}
	}
}

// DueExpirations returns an entry with the leases and cooldowns that have ended, or nil if there are none.
func (t *LeaderTerm) DueExpirations(now int64) *LogEntry {
	entry := &LogEntry{Epoch: t.Epoch, ReleasedAfterCooldown: map[string]int64{}}
	for _, name := range slices.Sorted(maps.Keys(t.expirations)) {
		if x := t.expirations[name]; now >= x.expiresAt {
			entry.Expired = append(entry.Expired, Expiry{Holder: name, Seq: x.seq})
		}
	}
	for name, cooldowns := range t.cooldowns {
		if number, ended := latestEnded(cooldowns, now); ended {
			entry.ReleasedAfterCooldown[name] = number
		}
	}
	if len(entry.Expired) == 0 && len(entry.ReleasedAfterCooldown) == 0 {
		return nil
	}
	return entry
}

// latestEnded returns the highest number up to which all cooldowns have ended. They are numbered in the order
// in which they begin, but a later one can end before an earlier one: the initial cooldown lasts longer than
// the others.
func latestEnded(cooldowns map[int64]int64, now int64) (number int64, ended bool) {
	for _, next := range slices.Sorted(maps.Keys(cooldowns)) {
		if now < cooldowns[next] {
			break
		}
		number, ended = next, true
	}
	return number, ended
}

// ObserveRequest records that a node has received a response of this term, if its request shows that.
func (t *LeaderTerm) ObserveRequest(request *LeaseRequest, now int64) {
	if request.Epoch == t.Epoch && request.HasLease {
		t.lastContact[request.Node] = now
	}
}

// Unreachable reports whether at least half of the nodes have not shown within the last lease duration that
// they received a response of this term. It returns false during the first two lease durations of the term.
// If messages get through in one direction only, a leader would otherwise stay elected by the other voters
// while no node has a lease.
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
