// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// Idempotency says what a repeat of a txn does.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentInGroup
	NonIdempotent
)

// DedupScope is the group of executors that drops repeats of a referenced txn.
type DedupScope int

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class holds what the terms say of one scheme. Times are nanoseconds, here as everywhere.
type Class struct {
	Index            int
	LatencyObjective int64
	MaxDeadline      int64   // how long a client waits for all its tries; 0: not told
	ObjectivePerWork float64 // the SLA time grows by this multiple of the txn's own work
	Weight           float64 // billing value
	LateShare        float64 // share of it that a late answer earns
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      int64 // how long a group remembers a referenced txn
	MachineType      int   // the one kind of machine that runs it, or -1
}

// Tenant is one customer with its share of the service.
type Tenant struct {
	Tag   string // the door's own name of it
	Quota float64
}

// Settings are the settings handed over at start, decoded once.
type Settings struct {
	Zone                int // of this node
	Nodes, NodeIndex    int // how many there are, and this one's index among them
	Tick                int64
	Classes             []*Class
	Tenants             []*Tenant
	WeightByWork        bool // billing value counts for each unit of work
	OverQuotaWeight     float64
	LiveCapacity        bool // the list's units are size over one and the txns held a core
	PollForChanges      bool // list changes come only when asked for
	LoadReports         bool // executors tell their load with answers
	PeerMessages        bool // nodes may send one another messages
	CapacityProbes      bool // executors tell free slots when probed
	StartNotices        bool
	ProgressInterval    int64 // between progress notes; 0: none
	MaxAttempts         int
	AllowCancel         bool
	AllowHedging        bool
	MaxRetryAfter       int64 // longest advice that a client follows; 0: give none
	CrossZoneCost       float64
	FetchCost           float64 // of fetching what a txn is about from the store that all share
	IdleTimeout         int64   // how long an unused connection stays
	WorstClassWeight    float64 // weight of the scheme served worst, over that of the whole
	MissedObjectiveCost float64 // what a missed SLA time costs besides, over the billing value
	SlowStartShare      float64
	SlowStart           int64
	OverloadWindow      int64
	OverloadFactor      float64
	UnpolledEventAge    int64       // how long news may lie while no call for the list is out; then it counts as told
	DeadlineMargin      int64       // by which a txn's expiry may be told too early or too late
	StartTimeError      int64       // by which an executor's start may be
	MaxPollInterval     int64       // from the start of a failed call for the list to that of the next at the latest
	DrainGrace          int64       // how long after that a posting may still be sent to what drains or is gone
	Quotas              QuotaSource // of what all nodes hold together; nil: they share nothing
}

// MaxPollWait is how long a call for the list can wait at most, after one that brought something or failed.
func (t *Settings) MaxPollWait() int64 {
	return min(t.UnpolledEventAge+t.DrainGrace/2, t.MaxPollInterval)
}

// requiresMachineType says whether some scheme runs on that kind of machine alone.
func (t *Settings) requiresMachineType(kind int) bool {
	return slices.ContainsFunc(t.Classes, func(class *Class) bool { return class.MachineType == kind })
}
