// SPDX-License-Identifier: Apache-2.0

package dispatch

import "cmp"

// defaultWork (ns) is the unit in which running times are measured if a request has no expected work; they
// are then in seconds.
const defaultWork = second

// Request is one request of a client. It must receive exactly one final answer.
type Request struct {
	Tag               string
	Class             *Class
	Tenant            int
	Slots             float64
	Memory            float64
	AffinityKey       uint64 // identifies the data that it works on, below 2^53; 0: not known
	ExpectedWork      int64  // expected running time on a standard core, ns; 0: not known
	Deadline          int64  // clock time, ns
	MaxUnreadDuration int64  // longest time, ns, that it may have been unread; Deadline counts from when it was read
	Attempts          []*Attempt
	Done              bool   // it has its final answer, or the client has disconnected
	Reason            Reason // why it was shed or failed; NoReason before that

	arrivedAt      int64
	objectiveAt    int64 // clock time of its latency objective
	priorityWeight float64
	size           float64 // slots times expected work, ns
	expectedValue  float64 // expected priority weight per unit of size; the sort key of the queue
	activeAttempts int     // attempts in flight that are not canceled
	keyState       *keyState
	failedServer   *Server // server of its latest failure
	probeRounds    int     // rounds of capacity probes
	retryAt        int64   // clock time of the next draw
	failedDraws    int64   // number of draws that found no server
	queued         bool
	overQuota      bool // over its tenant's quota
	// clientUnverified: the client may have closed without notice, so that no further attempt is sent.
	clientUnverified bool
	cancelDeadline   func() // cancels the timer of its deadline
}

// Reason is why a request was shed or failed. It is for logs; no decision depends on it.
type Reason int

// The reasons to shed or fail a request.
const (
	NoReason           Reason = iota
	DeadlineReached           // its deadline was reached
	AttemptsExhausted         // the maximum number of attempts is reached, or it must not be sent again
	QueueTimeout              // it waited for a server for so long that it is unlikely to end in time
	LateAtServer              // it waits at a server, and a late answer earns nothing
	ClientTimeout             // an attempt ran until the client gave up
	FailsEverywhere           // it failed at two servers, and retries of such requests rarely succeed
	Overloaded                // this process is short of processor time
	ClientDisconnected        // its client closed the connection, or shut down its sending side
	ClientNotVerified         // its client may have closed: it sent more behind the request than is read
)

var reasonTexts = [...]string{
	NoReason:           "",
	DeadlineReached:    "deadline",
	AttemptsExhausted:  "no attempt left",
	QueueTimeout:       "no hope",
	LateAtServer:       "late at a server",
	ClientTimeout:      "client's time is over",
	FailsEverywhere:    "errs anywhere",
	Overloaded:         "overloaded",
	ClientDisconnected: "client has gone",
	ClientNotVerified:  "client not verified",
}

// String returns the reason's text in logs, by which reasons are counted.
func (r Reason) String() string { return reasonTexts[r] }

// workUnit (ns) is the divisor that makes running times of one class comparable.
func (r *Request) workUnit() float64 { return float64(cmp.Or(r.ExpectedWork, defaultWork)) }
