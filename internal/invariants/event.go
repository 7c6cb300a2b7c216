// SPDX-License-Identifier: Apache-2.0

// Package invariants checks a log of events against the rules of the service: no request lost, no effect twice, drains kept, no
// server in slow start overloaded, no shared budget exceeded. It shares no code with what makes decisions, and assumes nothing
// that no event says. It also summarizes the service that a log shows.
package invariants

// EventKind is what an event reports.
type EventKind string

// The kinds of events. Their values are the words of the log.
const (
	RequestAccepted  EventKind = "taken"    // a node has a request and owes it one final answer
	AttemptSent      EventKind = "posted"   // an attempt was sent to a server
	AttemptEnded     EventKind = "ended"    // the outcome of an attempt
	RequestAnswered  EventKind = "answered" // the final answer
	ClientLeft       EventKind = "left"     // the client has gone; nothing is owed any more
	EndpointNotified EventKind = "told"     // a node was notified that a server is up, draining or gone
	ServerStarted    EventKind = "begun"    // a server started and is in slow start; no node is notified by that
	NodeKilled       EventKind = "killed"   // a node died; what it had is owed no more
	QuotaHeld        EventKind = "held"     // a process may use so many units of a budget until a time; replaces what it held before
)

// The results of attempts, requests and notifications, in the words of the log.
const (
	resultRejected      = "full"     // attempt: rejected unseen
	resultConnectFailed = "undialed" // attempt: no connection came up
	resultNotSent       = "unsent"   // attempt: no byte of it was sent
	resultShed          = "declined" // request: refused, so that a repeat does no harm
	resultCompensated   = "reversed" // request: failed after it may have run
	resultUp            = "up"       // endpoint: takes requests
)

// Event is one line of a log. Times are in nanoseconds; events are in order of time.
type Event struct {
	At               int64     `json:"at"`
	Kind             EventKind `json:"kind"`
	Node             string    `json:"node,omitempty"`
	Request          string    `json:"txn,omitempty"`
	Class            string    `json:"scheme,omitempty"`   // RequestAccepted
	Client           string    `json:"client,omitempty"`   // RequestAccepted: shared by all retries of one client
	Tenant           string    `json:"tenant,omitempty"`   // RequestAccepted
	FirstRequestedAt int64     `json:"first,omitempty"`    // RequestAccepted: when the client first sent it
	LatencyObjective int64     `json:"aim,omitempty"`      // RequestAccepted: until when an answer is on time
	Weight           float64   `json:"value,omitempty"`    // RequestAccepted: priority weight
	Deadline         int64     `json:"expiry,omitempty"`   // RequestAccepted
	Server           string    `json:"executor,omitempty"` // AttemptSent, EndpointNotified, ServerStarted
	Attempt          int       `json:"posting"`            // AttemptSent, AttemptEnded: from 0 on in each request
	Work             float64   `json:"work,omitempty"`     // AttemptSent: slots times seconds that it takes
	StartedAt        int64     `json:"since,omitempty"`    // ServerStarted: the time, if earlier than At
	Budget           string    `json:"budget,omitempty"`   // QuotaHeld
	Units            int64     `json:"units,omitempty"`    // QuotaHeld
	Until            int64     `json:"until,omitempty"`    // QuotaHeld; 0: without end, as a floor is
	Result           string    `json:"result,omitempty"`   // AttemptEnded, RequestAnswered, EndpointNotified
}
