// SPDX-License-Identifier: Apache-2.0

package budget

// LeaseRequest is a holder's request.
type LeaseRequest struct {
	Node          string           `json:"node"`
	Holder        string           `json:"holder"` // the process
	Seq           uint64           `json:"seq"`    // rises with each request
	MaxUnits      map[string]int64 `json:"hold"`   // it uses no more than that from now on, until an answer to this very request
	Demand        map[string]int64 `json:"want"`
	FirstAttempts int64            `json:"first"`          // first postings that it sent in a window
	HasLease      bool             `json:"leased"`         // it has a lease, and so has had an answer within that time
	Epoch         uint64           `json:"epoch"`          // of the latest answer that it took
	ClockRate     float64          `json:"rate,omitempty"` // of its clock by the seat's, where that is beyond the margin
}

// LeaseResponse is what becomes of a request: what the holder may use until the lease has run out, counted from when it sent it.
type LeaseResponse struct {
	ClusterID     string           `json:"group"` // epochs are counted in each
	Epoch         uint64           `json:"epoch"`
	Seq           uint64           `json:"seq"`
	Lease         int64            `json:"lease"`
	Units         map[string]int64 `json:"units"`
	Target        map[string]int64 `json:"target"` // what it should come down to
	Totals        map[string]int64 `json:"whole"`
	ActiveHolders int              `json:"peers"` // processes that hold something or asked within a lease; a hint
	LeaderTime    int64            `json:"at"`    // by the seat's clock, between the request's coming and the answer's going
}

// Expiry says that a holder's lease has run out, if it has not asked since.
type Expiry struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`
}

// LogEntry is one step of the books. All of it is taken, or nothing where the epoch is not the one that reigns.
type LogEntry struct {
	Epoch                 uint64           `json:"epoch"`
	NewTerm               bool             `json:"reign,omitempty"` // a grantor begins; its epoch is above all before it
	Agreement             *Agreement       `json:"pact,omitempty"`  // with the first reign
	ClusterID             string           `json:"group,omitempty"` // the same
	Requests              []LeaseRequest   `json:"asks,omitempty"`
	Expired               []Expiry         `json:"expired,omitempty"`
	ReleasedAfterCooldown map[string]int64 `json:"rested,omitempty"` // by budget: all rests up to that number are over
	Totals                map[string]int64 `json:"whole,omitempty"`  // by operators
}
