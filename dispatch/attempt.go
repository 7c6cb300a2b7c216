// SPDX-License-Identifier: Apache-2.0

package dispatch

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded       Outcome = iota // answered
	Failed                         // the server reported an error; may have run
	Rejected                       // the server has no capacity; never ran
	TimedOut                       // may have run
	ConnectFailed                  // no connection; never ran
	ConnectionLost                 // may have run
	Canceled                       // may have run
	NotSent                        // never left this node
	StaleConnection                // an idle connection turned out to be closed; may have run
)

var outcomeTexts = [...]string{
	Succeeded:       "settled",
	Failed:          "erred",
	Rejected:        "full",
	TimedOut:        "timed out",
	ConnectFailed:   "undialed",
	ConnectionLost:  "broken",
	Canceled:        "revoked",
	NotSent:         "unsent",
	StaleConnection: "stale",
}

// String is the outcome as it stands in logs, where it is counted.
func (o Outcome) String() string { return outcomeTexts[o] }

// provesNotRun says whether an attempt with this outcome can't have run.
func (o Outcome) provesNotRun() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Attempt is one sending of a request to a server.
type Attempt struct {
	Request        *Request
	Server         *Server
	Number         int     // among the request's attempts, from 0
	Timeout        int64   // ns; 0: until the client gives up
	InFlight       bool    // it has no outcome yet
	SlowStartShare float64 // share of the server's slow start budget that it takes; 0: the server is warm
	FreeSlots      float64 // that the server reported with the outcome; 0: none, or not reported

	sentAt          int64
	startedAt       int64 // 0: not reported
	progressAt      int64 // of the latest progress report; 0: none
	failureRecorded bool  // it counts as failed in its server's reliability and scores
	canceled        bool
	provedNotRun    bool
}
