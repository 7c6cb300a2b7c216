// SPDX-License-Identifier: Apache-2.0

package invariants

// EventKind is what an event tells of.
type EventKind string

// The kinds of events, by the names that event logs give them.
const (
	// RequestAccepted: a node has accepted a request and owes it one final answer.
	RequestAccepted EventKind = "taken"
	// AttemptSent: a request was sent to a server.
	AttemptSent EventKind = "posted"
	// AttemptEnded: the node knows what came of an attempt.
	AttemptEnded EventKind = "ended"
	// RequestAnswered: the client has the final answer.
	RequestAnswered EventKind = "answered"
	// ClientLeft: the client has gone, so that it is owed nothing.
	ClientLeft EventKind = "left"
	// EndpointNotified: a node was notified that a server is up, draining or gone.
	EndpointNotified EventKind = "told"
	// ServerStarted: a server started and is warming up. No node is notified by that.
	ServerStarted EventKind = "begun"
	// NodeKilled: a node ended, and owes nothing any more.
	NodeKilled EventKind = "killed"
	// QuotaHeld: a process may use some units of a budget until a time, in place of what it might before.
	QuotaHeld EventKind = "held"
)

// Results of attempts and requests that the rules tell apart, and states of endpoints.
const (
	resultFull     = "full"     // the server rejected the attempt
	resultUndialed = "undialed" // no connection was made
	resultUnsent   = "unsent"   // the attempt was never written
	resultShed     = "declined"
	endpointUp     = "up"
)

// Event is one line of an event log. Times are in nanoseconds, in order. The comments name the kinds that a field
// belongs to.
type Event struct {
	At               int64     `json:"at"`
	Kind             EventKind `json:"kind"`
	Node             string    `json:"node,omitempty"`
	Request          string    `json:"txn,omitempty"`
	Class            string    `json:"scheme,omitempty"`   // RequestAccepted
	Client           string    `json:"client,omitempty"`   // RequestAccepted: whose retry it may be
	Tenant           string    `json:"tenant,omitempty"`   // RequestAccepted
	First            int64     `json:"first,omitempty"`    // RequestAccepted: when the client first sent it
	LatencyObjective int64     `json:"aim,omitempty"`      // RequestAccepted: until when an answer has its full value
	Weight           float64   `json:"value,omitempty"`    // RequestAccepted: priority weight
	Deadline         int64     `json:"expiry,omitempty"`   // RequestAccepted
	Server           string    `json:"executor,omitempty"` // AttemptSent, EndpointNotified, ServerStarted
	Attempt          int       `json:"posting"`            // AttemptSent, AttemptEnded: from 0 on in each request
	Work             float64   `json:"work,omitempty"`     // AttemptSent: slots times seconds
	Since            int64     `json:"since,omitempty"`    // ServerStarted: when, if that was earlier
	Budget           string    `json:"budget,omitempty"`   // QuotaHeld
	Units            int64     `json:"units,omitempty"`    // QuotaHeld
	Until            int64     `json:"until,omitempty"`    // QuotaHeld; 0: for good, as a floor is
	// Result is settled, full, undialed, unsent or another text (AttemptEnded); settled, declined or reversed
	// (RequestAnswered); up, draining or gone (EndpointNotified).
	Result string `json:"result,omitempty"`
}
