// SPDX-License-Identifier: Apache-2.0

package budget

// LeaseRequest is a lease holder's request to the leader. It contains the holder's complete state instead of
// changes, so that it may be lost or arrive late or twice. Maps are by budget or partition.
type LeaseRequest struct {
	Node   string `json:"node"`
	Holder string `json:"holder"` // the process
	Seq    uint64 `json:"seq"`    // increases with each request of the holder
	// MaxUnits is the largest number of leased units that the holder uses until it receives the response to
	// this request.
	MaxUnits map[string]int64 `json:"hold"`
	Demand   map[string]int64 `json:"want"` // units that the holder could use beyond its floors
	// FirstAttempts is the number of first attempts that the holder sent within the latest window.
	FirstAttempts int64 `json:"first"`
	// HasLease reports whether the holder's lease is in force, which proves that it recently received a
	// response.
	HasLease bool   `json:"leased"`
	Epoch    uint64 `json:"epoch"` // of the latest response that the holder applied
	// ClockRate is the rate of the holder's clock relative to the leader's, if that is beyond the margin.
	ClockRate float64 `json:"rate,omitempty"`
}

// LeaseResponse is a lease. The holder may use it until it expires, counted from when the request was sent.
type LeaseResponse struct {
	ClusterID string           `json:"group"` // epochs are comparable only within one cluster
	Epoch     uint64           `json:"epoch"`
	Seq       uint64           `json:"seq"`    // of the request
	Lease     int64            `json:"lease"`  // duration in nanoseconds
	Units     map[string]int64 `json:"units"`  // granted units
	Target    map[string]int64 `json:"target"` // if below Units: the units to keep
	Totals    map[string]int64 `json:"whole"`
	// ActiveHolders is the number of processes in the ledger. Holders use it only as a hint.
	ActiveHolders int `json:"peers"`
	// LeaderTime is a time by the leader's clock between receiving the request and sending the response.
	LeaderTime int64 `json:"at"`
}

// Expiry is the expiration of a holder's lease. It has no effect if the holder has sent a request after the
// one with number Seq.
type Expiry struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// LogEntry is one entry of the replicated log. The ledger applies all of it, or nothing if its epoch is not
// the current one.
type LogEntry struct {
	Epoch     uint64         `json:"epoch"`
	NewTerm   bool           `json:"reign,omitempty"` // begins a leader term; Epoch is above all earlier ones
	Agreement *Agreement     `json:"pact,omitempty"`  // with NewTerm; only that of the first term is used
	ClusterID string         `json:"group,omitempty"` // as Agreement
	Requests  []LeaseRequest `json:"asks,omitempty"`
	Expired   []Expiry       `json:"expired,omitempty"`
	// ReleasedAfterCooldown is, by budget, the number of the latest cooldown that has ended.
	ReleasedAfterCooldown map[string]int64 `json:"rested,omitempty"`
	// Totals are new totals set by operators, by budget.
	Totals map[string]int64 `json:"whole,omitempty"`
}
