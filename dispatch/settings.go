// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

// second is a second in nanoseconds, the unit of all times.
const second = 1e9

// Idempotency is the effect of running a request more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentInGroup requests carry an idempotency key that the servers of one group remember for a
	// limited time.
	IdempotentInGroup
	// NonIdempotent requests must not run twice.
	NonIdempotent
)

// DedupScope is the group of servers that drops duplicates of a request with an idempotency key.
type DedupScope int

// The groups of servers that share their remembered idempotency keys.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // the servers of one zone
	DedupCell                   // the servers of one cell
)

// Class holds the settings of one class of requests. Times are in nanoseconds, as everywhere in the package.
type Class struct {
	Index            int
	LatencyObjective int64
	MaxDeadline      int64   // how long a client waits for all its attempts; 0: not known
	ObjectivePerWork float64 // the latency objective grows by this multiple of the request's expected work
	Weight           float64 // priority weight
	LateShare        float64 // share of the weight that is earned by an answer after the objective
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
	Zone                int // zone of this node
	Nodes, NodeIndex    int // number of nodes, and index of this one
	Tick                int64
	Classes             []*Class
	Tenants             []*Tenant
	WeightByWork        bool    // the priority weight is per unit of work
	OverQuotaWeight     float64 // factor on the weight of a request over its tenant's quota
	LiveCapacity        bool    // an endpoint's capacity falls with its load; see Server.load
	PollForChanges      bool    // the endpoint list is updated only by polls
	LoadReports         bool    // servers report their load with answers
	PeerMessages        bool    // nodes may send one another messages
	CapacityProbes      bool    // servers report free slots when probed
	StartNotices        bool    // servers report that a request has started
	ProgressInterval    int64   // time between progress reports; 0: there are none
	MaxAttempts         int     // per request
	AllowCancel         bool
	AllowHedging        bool
	MaxRetryAfter       int64       // longest Retry-After that clients follow, ns; 0: send none
	CrossZoneCost       float64     // price of sending a request to another zone
	FetchCost           float64     // price of fetching a request's data from the shared store
	IdleTimeout         int64       // how long an idle connection stays open
	WorstClassWeight    float64     // weight of the worst class, relative to the weight of all classes
	MissedObjectiveCost float64     // cost of a missed latency objective in addition to the priority weight
	SlowStartShare      float64     // share of its capacity that a server has when it starts
	SlowStart           int64       // time until a started server has its full capacity
	OverloadWindow      int64       // time over which the work sent to a server in slow start is summed
	OverloadFactor      float64     // multiple of its capacity that may be sent in a window of slow start
	UnpolledEventAge    int64       // time after which a change counts as notified if no poll is in flight
	DeadlineMargin      int64       // maximum error of a request's deadline, in either direction
	StartTimeError      int64       // maximum error of a server's start time, in either direction
	MaxPollInterval     int64       // maximum time between the starts of a failed poll and the next one
	DrainGrace          int64       // how long requests may still be sent to a draining or removed server
	Quotas              QuotaSource // quotas of the budgets that all nodes share; nil: no shared budgets
}

// MaxPollWait is the maximum time (ns) until a node's next poll after a poll that returned changes or
// failed.
func (s *Settings) MaxPollWait() int64 { return min(s.maxPollGap(), s.MaxPollInterval) }

// maxPollGap is the maximum time (ns) without a poll in flight. After UnpolledEventAge without one, a
// change may count as notified although this node has not received it. Requests may still be sent for the
// drain grace after that, and half of it remains for the poll itself.
func (s *Settings) maxPollGap() int64 { return s.UnpolledEventAge + s.DrainGrace/2 }

// requiresMachineType reports whether some class runs only on the given machine type.
func (s *Settings) requiresMachineType(machineType int) bool {
	return slices.ContainsFunc(s.Classes, func(class *Class) bool { return class.MachineType == machineType })
}
