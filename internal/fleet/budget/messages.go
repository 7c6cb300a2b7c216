// SPDX-License-Identifier: Apache-2.0

package budget

// LeaseRequest is what a lease holder asks the leader for. It says what the holder holds and wants, not what changes,
// so that it may be lost, or arrive late or twice. Maps are by budget or partition.
type LeaseRequest struct {
	Node   string `json:"node"`
	Holder string `json:"holder"` // the process
	Seq    uint64 `json:"seq"`    // rises with each request of the holder
	// MaxUnits is the most that the holder uses from now on, until it has the response to this very request.
	MaxUnits map[string]int64 `json:"hold"`
	Demand   map[string]int64 `json:"want"` // what it could use
	// FirstAttempts is how many first attempts it sent in a window.
	FirstAttempts int64 `json:"first"`
	// HasLease says that its lease is in force, so that it had a response within that time.
	HasLease bool   `json:"leased"`
	Epoch    uint64 `json:"epoch"` // of the latest response that it took
	// ClockRate is the rate of its clock by the leader's, if that is beyond the margin.
	ClockRate float64 `json:"rate,omitempty"`
}

// LeaseResponse is a lease. The holder may use it until it expires, counted from when the request was sent.
type LeaseResponse struct {
	ClusterID string           `json:"group"` // epochs of one cluster can be compared
	Epoch     uint64           `json:"epoch"`
	Seq       uint64           `json:"seq"`    // of the request
	Lease     int64            `json:"lease"`  // how long it lasts, in nanoseconds
	Units     map[string]int64 `json:"units"`  // that are granted
	Target    map[string]int64 `json:"target"` // what the holder should come down to
	Totals    map[string]int64 `json:"whole"`
	// ActiveHolders is how many processes hold a lease. Holders use it as a hint alone.
	ActiveHolders int `json:"peers"`
	// LeaderTime is a time by the leader's clock between the request's arrival and the response's sending.
	LeaderTime int64 `json:"at"`
}

// Expiry says that a holder's lease has expired, unless it has sent a request since the one with Seq.
type Expiry struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// LogEntry is one entry of the replicated log. The ledger applies all of it, or nothing if its epoch is not the
// current one.
type LogEntry struct {
	Epoch     uint64         `json:"epoch"`
	NewTerm   bool           `json:"reign,omitempty"` // a leader term begins; its epoch is above all before it
	Agreement *Agreement     `json:"pact,omitempty"`  // with a new term; only the first one's is used
	ClusterID string         `json:"group,omitempty"` // as Agreement
	Requests  []LeaseRequest `json:"asks,omitempty"`
	Expired   []Expiry       `json:"expired,omitempty"`
	// ReleasedAfterCooldown ends the cooldowns up to a number, by budget.
	ReleasedAfterCooldown map[string]int64 `json:"rested,omitempty"`
	// Totals are operators' new totals, by budget.
	Totals map[string]int64 `json:"whole,omitempty"`
}
