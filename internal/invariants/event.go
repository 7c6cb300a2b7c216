// SPDX-License-Identifier: Apache-2.0

// Package invariants checks a log of events against the rules of the service: no request is lost, no effect
// is duplicated, drains are respected, no server in slow start is overloaded, and no shared budget is
// exceeded. It shares no code with the packages that make decisions, and assumes nothing that is not in an
// event. It also summarizes the service that a log shows.
package invariants

// EventKind is what an event reports.
type EventKind string

// The kinds of events. Their values are written to logs.
const (
	RequestAccepted  EventKind = "taken"    // a node accepted a request, which requires one final answer
	AttemptSent      EventKind = "posted"   // an attempt was sent to a server
	AttemptEnded     EventKind = "ended"    // the outcome of an attempt
	RequestAnswered  EventKind = "answered" // the final answer
	ClientLeft       EventKind = "left"     // the client disconnected; no answer is required
	EndpointNotified EventKind = "told"     // a node was notified that a server is up, draining or gone
	ServerStarted    EventKind = "begun"    // a server started, in slow start; nodes are not notified by this
	NodeKilled       EventKind = "killed"   // a node was killed; its requests require no answer
	QuotaHeld        EventKind = "held"     // a process has a quota until a time; replaces its previous quota
)

// The results of attempts, requests and notifications, as written to logs.
const (
	resultRejected      = "full"     // attempt: rejected before it ran
	resultConnectFailed = "undialed" // attempt: the connection could not be opened
	resultNotSent       = "unsent"   // attempt: no byte of it was sent
	resultShed          = "declined" // request: not served; a retry is safe
	resultCompensated   = "reversed" // request: failed, but may have had an effect
	resultUp            = "up"       // endpoint: accepts requests
)

// Event is one line of a log. Times are in nanoseconds; events are in order of time.
type Event struct {
	At               int64     `json:"at"`
	Kind             EventKind `json:"kind"`
	Node             string    `json:"node,omitempty"`
	Request          string    `json:"txn,omitempty"`
	Class            string    `json:"scheme,omitempty"`   // RequestAccepted
	Client           string    `json:"client,omitempty"`   // RequestAccepted: shared by all retries of a request
	Tenant           string    `json:"tenant,omitempty"`   // RequestAccepted
	FirstRequestedAt int64     `json:"first,omitempty"`    // RequestAccepted: when the client first sent it
	LatencyObjective int64     `json:"aim,omitempty"`      // RequestAccepted: latest time of an answer on time
	Weight           float64   `json:"value,omitempty"`    // RequestAccepted: priority weight
	Deadline         int64     `json:"expiry,omitempty"`   // RequestAccepted
	Server           string    `json:"executor,omitempty"` // AttemptSent, EndpointNotified, ServerStarted
	Attempt          int       `json:"posting"`            // AttemptSent, AttemptEnded: number from 0
	Work             float64   `json:"work,omitempty"`     // AttemptSent: slots times seconds
	StartedAt        int64     `json:"since,omitempty"`    // ServerStarted: the time, if earlier than At
	Budget           string    `json:"budget,omitempty"`   // QuotaHeld
	Units            int64     `json:"units,omitempty"`    // QuotaHeld
	Until            int64     `json:"until,omitempty"`    // QuotaHeld; 0: no expiry, as for a floor
	Result           string    `json:"result,omitempty"`   // AttemptEnded, RequestAnswered, EndpointNotified
}
