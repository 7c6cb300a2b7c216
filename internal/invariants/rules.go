// SPDX-License-Identifier: Apache-2.0

package invariants

// Numbers of the rules, as reports and pages give them.
const (
	ruleOneAnswer   = 1 // each request has one final answer by its deadline
	ruleIdempotency = 2 // no request runs more often than its class allows
	ruleDraining    = 3 // nothing is sent to a server that drains or is gone
	ruleSlowStart   = 4 // no server that warms up is sent more than it can do
	ruleTotals      = 5 // quotas in force never sum to more than the total of their budget
)

// Idempotency of a class, by the names that event logs give it.
const (
	idempotentWithinGroup = "referenced" // the servers of a group drop repeats for a time
	nonIdempotent         = "once-only"
)

// Groups of servers that drop repeats of a request together.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// Class is what the rules depend on in a class of requests.
type Class struct {
	Idempotency string `json:"effect"` // repeatable, referenced or once-only
	DedupScope  string `json:"group"`  // if referenced: all, zone or cell
	DedupWindow int64  `json:"memory"` // for how long a group drops repeats, in nanoseconds
}

// isShedUnsafe reports whether a request of the class must not be shed once it may have run: its client would send it
// again, to servers that don't know it.
func (c Class) isShedUnsafe() bool {
	return c.Idempotency == nonIdempotent || c.Idempotency == idempotentWithinGroup && c.DedupScope != scopeAll
}

// ServerPlace is where a server is, and how many slots it has when warm.
type ServerPlace struct {
	Zone  string  `json:"zone"`
	Cell  string  `json:"cell"`
	Slots float64 `json:"slots"`
}

// Rules are the parameters of the rules. Times are in nanoseconds.
type Rules struct {
	Slack          int64                  `json:"slack"`         // after the deadline in which an answer still counts
	DrainGrace     int64                  `json:"grace"`         // within which sends to a draining server have to stop
	OverloadWindow int64                  `json:"fall"`          // over which work at such a server is summed
	OverloadFactor float64                `json:"fall_multiple"` // of its capacity that it bears in a window
	SlowStart      int64                  `json:"cold"`          // how long a server warms up
	SlowStartShare float64                `json:"cold_share"`    // of its capacity that it has at the start
	AllowHedging   bool                   `json:"doubles"`       // two attempts of a request may be in flight at once
	Classes        map[string]Class       `json:"schemes"`
	Servers        map[string]ServerPlace `json:"executors"`
	Totals         map[string]int64       `json:"wholes,omitempty"` // of budgets that nodes share, in units
}

// Violation is a broken rule and the event that proves it, numbered from 0.
type Violation struct {
	Rule, Event int
	Text        string
}
