// SPDX-License-Identifier: Apache-2.0

package invariants

// Class is what the rules say of a kind of txn.
type Class struct {
	Idempotency string `json:"effect"` // repeatable, referenced, once-only
	DedupScope  string `json:"group"`  // of a referenced one: all, zone, cell
	DedupWindow int64  `json:"memory"` // how long a group drops its repeats
}

// ServerPlace is where an executor stands, and how many slots it has when warm.
type ServerPlace struct {
	Zone  string  `json:"zone"`
	Cell  string  `json:"cell"`
	Slots float64 `json:"slots"`
}

// Rules are the figures that a log is held against.
type Rules struct {
	Slack          int64                  `json:"slack"` // after the expiry in which an answer still counts
	DrainGrace     int64                  `json:"grace"` // in which sends to a draining executor have to stop
	OverloadWindow int64                  `json:"fall"`
	OverloadFactor float64                `json:"fall_multiple"`
	SlowStart      int64                  `json:"cold"`
	SlowStartShare float64                `json:"cold_share"`
	AllowHedging   bool                   `json:"doubles"` // two postings of one txn may be out at once
	Classes        map[string]Class       `json:"schemes"`
	Servers        map[string]ServerPlace `json:"executors"`
	Totals         map[string]int64       `json:"wholes,omitempty"` // of budgets that nodes hold together
}

// Rule 5 is of nodes that hold budgets together: shares in force never sum to more than the whole.
const ruleTotals = 5

// Violation is a broken rule and the event that proves it, by its number from 0 on.
type Violation struct {
	Rule, Event int
	Text        string
}
