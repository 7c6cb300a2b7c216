// SPDX-License-Identifier: Apache-2.0

package invariants

// EventKind is what an event tells of.
type EventKind string

const (
	RequestAccepted  EventKind = "taken"    // a node has a txn and owes it one final answer
	AttemptSent      EventKind = "posted"   // it was sent to an executor
	AttemptEnded     EventKind = "ended"    // what came of that sending
	RequestAnswered  EventKind = "answered" // the final answer
	ClientLeft       EventKind = "left"     // the client has gone; nothing is owed any more
	EndpointNotified EventKind = "told"     // a node was told that an executor is up, drains or is gone
	ServerStarted    EventKind = "begun"    // an executor started, cold; true of the world, told to nobody
	NodeKilled       EventKind = "killed"   // a node died; what it had is owed no more
	QuotaHeld        EventKind = "held"     // a process may use so many units of a budget until a time; true from then on, in place of before
)

// Event is one line of a log. Times are nanoseconds, in order.
type Event struct {
	At               int64     `json:"at"`
	Kind             EventKind `json:"kind"`
	Node             string    `json:"node,omitempty"`
	Request          string    `json:"txn,omitempty"`
	Class            string    `json:"scheme,omitempty"`   // taken
	Client           string    `json:"client,omitempty"`   // taken: what the try is one of
	Tenant           string    `json:"tenant,omitempty"`   // taken
	First            int64     `json:"first,omitempty"`    // taken: when the client first asked
	LatencyObjective int64     `json:"aim,omitempty"`      // taken: until when an answer earns its full value
	Weight           float64   `json:"value,omitempty"`    // taken: billing value
	Deadline         int64     `json:"expiry,omitempty"`   // taken
	Server           string    `json:"executor,omitempty"` // posted, told, begun
	Attempt          int       `json:"posting"`            // posted, ended: from 0 on in each txn
	Work             float64   `json:"work,omitempty"`     // posted: slots times seconds that it takes
	Since            int64     `json:"since,omitempty"`    // begun: the moment, if it was earlier
	Budget           string    `json:"budget,omitempty"`   // held
	Units            int64     `json:"units,omitempty"`    // held
	Until            int64     `json:"until,omitempty"`    // held; 0: for good, as a floor is
	Result           string    `json:"result,omitempty"`   // ended: settled, full, undialed, unsent, or another; answered: settled, declined, reversed; told: up, draining, gone
}
