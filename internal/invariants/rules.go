// SPDX-License-Identifier: Apache-2.0

package invariants

// The numbers of the rules in violations.
const (
	ruleNoneLost      = 1 // one final answer by the deadline, nothing sent after it
	ruleNoEffectTwice = 2 // a request that may have run is not repeated unless that is safe
	ruleDrainsKept    = 3 // no attempt is sent to a server that has drained for longer than the grace period
	ruleSlowStart     = 4 // all nodes together do not overload a server in slow start
	ruleSharedBudgets = 5 // quotas in force do not add up to more than a budget's total
)

const (
	nanosPerMilli  = 1_000_000
	nanosPerSecond = 1_000_000_000
)

// The idempotency of a class, as written to logs.
const (
	nonIdempotent     = "once-only"
	idempotentInGroup = "referenced" // the third value, "repeatable", has no rule
)

// The groups of servers within which repeats of a request are deduplicated.
const (
	dedupAll  = "all"
	dedupZone = "zone"
	dedupCell = "cell"
)

// Class has the settings of a class of requests that the rules depend on.
type Class struct {
	Idempotency string `json:"effect"` // repeatable, referenced, once-only
	DedupScope  string `json:"group"`  // of a referenced class: all, zone, cell
	DedupWindow int64  `json:"memory"` // nanoseconds in which a group deduplicates repeats
}

// mayRepeatAnywhere reports whether a client may retry a request of this class at any server after it may
// have run.
func (c Class) mayRepeatAnywhere() bool {
	switch c.Idempotency {
	case nonIdempotent:
		return false
	case idempotentInGroup:
		return c.DedupScope == dedupAll
	}
	return true
}

// sameGroup reports whether two servers deduplicate requests of this class together.
func (c Class) sameGroup(a, b ServerPlace) bool {
	switch c.DedupScope {
	case dedupZone:
		return a.Zone == b.Zone
	case dedupCell:
		return a.Cell == b.Cell
	}
	return true
}

// ServerPlace is the location of a server, and its number of slots after slow start.
type ServerPlace struct {
	Zone  string  `json:"zone"`
	Cell  string  `json:"cell"`
	Slots float64 `json:"slots"`
}

// Rules are the settings that a log is checked against. Times are in nanoseconds.
type Rules struct {
	Slack          int64                  `json:"slack"` // after the deadline; an answer still counts
	DrainGrace     int64                  `json:"grace"` // after the notice of a drain; attempts are allowed
	OverloadWindow int64                  `json:"fall"`
	OverloadFactor float64                `json:"fall_multiple"` // overload limit, times the capacity
	SlowStart      int64                  `json:"cold"`
	SlowStartShare float64                `json:"cold_share"` // share of the capacity at the start
	AllowHedging   bool                   `json:"doubles"`    // two attempts of a request may be in flight
	Classes        map[string]Class       `json:"schemes"`
	Servers        map[string]ServerPlace `json:"executors"`
	Totals         map[string]int64       `json:"wholes,omitempty"` // of shared budgets, in units
}
