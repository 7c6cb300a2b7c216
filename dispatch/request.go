// SPDX-License-Identifier: Apache-2.0

package dispatch

import "cmp"

// defaultWork (ns) is the unit that running times are measured in where a request tells no expected work: they
// are in seconds then.
const defaultWork = second

// Request is one request of a client. It is owed exactly one final answer.
type Request struct {
	Tag          string
	Class        *Class
	Tenant       int
	Slots        float64
	Memory       float64
	AffinityKey  uint64 // of the data that it works on, below 2^53; 0: not known
	ExpectedWork int64  // expected running time on a standard core, ns; 0: not known
	Deadline     int64  // clock time, ns
	UnreadTime   int64  // how long it may have lain unread at this node, ns; Deadline counts from when it was read
	Attempts     []*Attempt
	Done         bool   // the final answer is given, or the client has left
	Reason       Reason // why it was shed or failed, once it is

	arrivedAt      int64
	objectiveAt    int64 // clock time of its latency objective
	priorityWeight float64
	size           float64 // slots times expected work, ns
	expectedValue  float64 // priority weight for each unit of size that can be expected now; sorts the queue
	activeAttempts int     // attempts in flight and not canceled
	keyState       *keyState
	failedServer   *Server // where it failed last
	probeRounds    int     // rounds of capacity probes
	retryAt        int64   // when a server is looked for again
	fruitlessDraws int64   // draws that found no server
	queued         bool
	overQuota      bool   // beyond its tenant's quota
	cancelDeadline func() // releases the timer of its deadline
}

// Reason says why a request was shed or failed. It is for logs; no decision depends on it.
type Reason int

// The reasons to shed or fail a request.
const (
	NoReason          Reason = iota
	DeadlineReached          // its deadline is here
	AttemptsExhausted        // it may not be sent again, or not once more
	QueueTimeout             // it waited for a server for so long that it can hardly end in time
	LateAtServer             // it waits at a server, and a late answer earns nothing
	ClientTimeout            // an attempt ran until the client's time was over
	FailsEverywhere          // it failed at two servers, as such requests do
	Overloaded               // this process is too far behind
	ClientGone               // its client has closed, or shut its sending side
)

var reasonTexts = [...]string{
	NoReason:          "",
	DeadlineReached:   "deadline",
	AttemptsExhausted: "no attempt left",
	QueueTimeout:      "no hope",
	LateAtServer:      "late at a server",
	ClientTimeout:     "client's time is over",
	FailsEverywhere:   "errs anywhere",
	Overloaded:        "overloaded",
	ClientGone:        "client has gone",
}

// String is the reason as it stands in logs, where it is counted.
func (r Reason) String() string { return reasonTexts[r] }

// workUnit (ns) is what running times of the request are divided by, so that those of a class can be compared.
func (r *Request) workUnit() float64 { return float64(cmp.Or(r.ExpectedWork, defaultWork)) }
