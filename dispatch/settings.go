// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// second is a second in nanoseconds, the unit of all times.
const second = 1e9

// Idempotency says what it does to run a request more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentInGroup requests carry an idempotency key, which the servers of one group remember for a while.
	IdempotentInGroup
	// NonIdempotent requests must not run twice.
	NonIdempotent
)

// DedupScope is the group of servers that drops repeats of a request with an idempotency key.
type DedupScope int

// The groups of servers that share their memory of idempotency keys.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class is what the settings say of one class of requests. Times are nanoseconds, here as everywhere in the
// package.
type Class struct {
	Index            int
	LatencyObjective int64
	MaxDeadline      int64   // how long a client waits for all its attempts; 0: not known
	ObjectivePerWork float64 // the latency objective grows by this multiple of the request's expected work
	Weight           float64 // priority weight
	LateShare        float64 // share of the weight that an answer after the objective earns
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      int64 // how long a group remembers an idempotency key
	MachineType      int   // the one machine type that runs the class, or -1 for any
}

// Tenant is one customer and its quota of the service.
type Tenant struct {
	Tag   string // the caller's name of the tenant
	Quota float64
}

// Settings describe the service, what its servers and clients can do, and this node.
type Settings struct {
	Zone                int // of this node
	Nodes, NodeIndex    int // how many nodes there are, and this one's index among them
	Tick                int64
	Classes             []*Class
	Tenants             []*Tenant
	WeightByWork        bool    // the priority weight counts for each unit of work
	OverQuotaWeight     float64 // factor on the weight of a request beyond its tenant's quota
	LiveCapacity        bool    // an endpoint's capacity falls with its load; see Server.load
	PollForChanges      bool    // changes of the endpoint list come only when polled for
	LoadReports         bool    // servers report their load with answers
	PeerMessages        bool    // nodes may send one another messages
	CapacityProbes      bool    // servers report free slots when probed
	StartNotices        bool    // servers report that a request has started
	ProgressInterval    int64   // between two progress reports; 0: there are none
	MaxAttempts         int     // of one request
	AllowCancel         bool
	AllowHedging        bool
	MaxRetryAfter       int64       // the longest Retry-After that clients follow; 0: give none
	CrossZoneCost       float64     // price of sending a request to another zone
	FetchCost           float64     // price of fetching what a request is about from the store that all servers share
	IdleTimeout         int64       // how long an idle connection stays open
	WorstClassWeight    float64     // weight of the class that does worst, over the weight of all
	MissedObjectiveCost float64     // what a missed latency objective costs besides the priority weight
	SlowStartShare      float64     // share of its capacity that a server has as it starts
	SlowStart           int64       // how long it takes a server to have all of its capacity
	OverloadWindow      int64       // over which the work sent to a server in slow start is summed up
	OverloadFactor      float64     // times its capacity that a server in slow start may be sent in a window
	UnpolledEventAge    int64       // a change counts as notified after this time if no poll is out
	DeadlineMargin      int64       // how far a request's deadline may be off, either way
	StartTimeError      int64       // how far a server's start time may be off, either way
	MaxPollInterval     int64       // at most from the start of a failed poll to the start of the next one
	DrainGrace          int64       // how long a server that drains or is gone may still be sent requests
	Quotas              QuotaSource // of the budgets that all nodes share; nil: they share none
}

// MaxPollWait is how long (ns) a node may wait with its next poll, after one that brought changes or failed.
func (s *Settings) MaxPollWait() int64 { return min(s.maxPollSilence(), s.MaxPollInterval) }

// maxPollSilence is how long (ns) no poll may be out. After that a change may count as notified that this node knows
// nothing of. Half of the drain grace is left for the poll itself.
func (s *Settings) maxPollSilence() int64 { return s.UnpolledEventAge + s.DrainGrace/2 }

// requiresMachineType says whether some class runs on that machine type alone.
func (s *Settings) requiresMachineType(machineType int) bool {
	return slices.ContainsFunc(s.Classes, func(class *Class) bool { return class.MachineType == machineType })
}
