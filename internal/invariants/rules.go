// SPDX-License-Identifier: Apache-2.0

package invariants

// The rules by number, as violations name them.
const (
	ruleNoneLost      = 1 // one final answer by the deadline, nothing sent after it
	ruleNoEffectTwice = 2 // a request that may have run is not run again where that does harm
	ruleDrainsKept    = 3 // nothing is sent to a server that has drained for longer than the grace
	ruleSlowStart     = 4 // all nodes together do not overload a server in slow start
	ruleSharedBudgets = 5 // quotas in force do not add up to more than a budget's total
)

const (
	nanosPerMilli  = 1_000_000
	nanosPerSecond = 1_000_000_000
)

// The idempotency of a class, in the words of the log.
const (
	nonIdempotent     = "once-only"
	idempotentInGroup = "referenced" // "repeatable", the third one, has no rule
)

// The groups of servers that drop repeats of a request that is idempotent within a group.
const (
	dedupAll  = "all"
	dedupZone = "zone"
	dedupCell = "cell"
)

// Class is what the rules say of a class of requests.
type Class struct {
	Idempotency string `json:"effect"` // repeatable, referenced, once-only
	DedupScope  string `json:"group"`  // of a referenced one: all, zone, cell
	DedupWindow int64  `json:"memory"` // nanoseconds for which a group drops its repeats
}

// mayRepeatAnywhere says whether a client may repeat a request of this class anywhere after it may have run.
func (c Class) mayRepeatAnywhere() bool {
	switch c.Idempotency {
	case nonIdempotent:
		return false
	case idempotentInGroup:
		return c.DedupScope == dedupAll
	}
	return true
}

// sameGroup says whether two servers drop each other's repeats of a request of this class.
func (c Class) sameGroup(a, b ServerPlace) bool {
	switch c.DedupScope {
	case dedupZone:
		return a.Zone == b.Zone
	case dedupCell:
		return a.Cell == b.Cell
	}
	return true
}

// ServerPlace is where a server stands, and how many slots it has when warm.
type ServerPlace struct {
	Zone  string  `json:"zone"`
	Cell  string  `json:"cell"`
	Slots float64 `json:"slots"`
}

// Rules are the settings that a log is checked against. Times are in nanoseconds.
type Rules struct {
	Slack          int64                  `json:"slack"` // after the deadline, in which an answer still counts
	DrainGrace     int64                  `json:"grace"` // in which sends to a draining server have to stop
	OverloadWindow int64                  `json:"fall"`
	OverloadFactor float64                `json:"fall_multiple"` // of what a server can do in a window, above which it is overloaded
	SlowStart      int64                  `json:"cold"`
	SlowStartShare float64                `json:"cold_share"` // of its capacity that a server has at its start
	AllowHedging   bool                   `json:"doubles"`    // two attempts of one request may be in flight at once
	Classes        map[string]Class       `json:"schemes"`
	Servers        map[string]ServerPlace `json:"executors"`
	Totals         map[string]int64       `json:"wholes,omitempty"` // of budgets that nodes hold together, in units
}
