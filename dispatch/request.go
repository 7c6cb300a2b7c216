// SPDX-License-Identifier: Apache-2.0

package dispatch

import "cmp"

// Request is one job taken from a client, owed exactly one final answer.
type Request struct {
	Tag          string
	Class        *Class
	Tenant       int
	Slots        float64
	Memory       float64
	AffinityKey  uint64 // what it is about, below 2^53; 0: not told
	ExpectedWork int64  // expected work on a standard core; 0: not told
	Deadline     int64  // clock time
	UnreadTime   int64  // ns, how long it may have lain unread at this node; Expiry counts from when it was read
	Attempts     []*Attempt
	Done         bool   // the final answer is given, or the client has left
	Reason       Reason // why it was refused or failed, once it is

	arrivedAt, objectiveAt  int64
	priorityWeight          float64   // billing value when in time
	size                    float64   // slots times expected work
	expectedValue           float64   // billing value for each unit of size that can be expected now
	activeAttempts          int       // postings out and not withdrawn
	keyState                *keyState // what it is about; nil: not told
	failedServer            *Server   // where it ended in an error last
	probeRounds             int       // of asking for room
	retryAt, fruitlessDraws int64     // when room is looked for again, and how often that was in vain
	queued, overQuota       bool      // over: beyond its tenant's share
	cancelDeadline          func()    // releases the alarm of its expiry
}

// Reason says why a request was refused or failed. It is for logs; nothing is decided by it.
type Reason int

const (
	NoReason          Reason = iota
	DeadlineReached          // its deadline is here
	AttemptsExhausted        // it may not be sent again, or not once more
	QueueTimeout             // it waited for a server for so long that it can hardly end in time
	LateAtServer             // it waits at a server, and a late answer earns nothing
	ClientTimeout            // an attempt ran until the client's time was over
	FailsEverywhere          // it ended in errors at two servers, as such requests do
	Overloaded               // this process is too far behind
	ClientGone               // its client has closed, or shut its sending side
)

func (r Reason) String() string {
	return [...]string{"", "deadline", "no attempt left", "no hope", "late at a server", "client's time is over", "errs anywhere", "overloaded", "client has gone"}[r]
}

func (t *Request) workUnit() float64 { return float64(cmp.Or(t.ExpectedWork, 1e9)) }
