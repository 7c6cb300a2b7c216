// SPDX-License-Identifier: Apache-2.0

package dispatch

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded       Outcome = iota // the server returned a result
	Failed                         // the server reported an error; may have run
	Rejected                       // the server reported no capacity; never ran
	TimedOut                       // may have run
	ConnectFailed                  // no connection; never ran
	ConnectionLost                 // may have run
	Canceled                       // may have run
	NotSent                        // was not sent
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

// String returns the outcome's text in logs, by which outcomes are counted.
func (o Outcome) String() string { return outcomeTexts[o] }

// provesNotRun reports whether an attempt with this outcome cannot have run.
func (o Outcome) provesNotRun() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Attempt is one transmission of a request to a server.
type Attempt struct {
	Request        *Request
	Server         *Server
	Number         int     // among the request's attempts, from 0
	Timeout        int64   // ns; 0: no time-out of its own; the attempt ends when the client gives up
	InFlight       bool    // it has no outcome yet
	SlowStartShare float64 // share of the server's slow start budget that it uses; 0: the server is warm
	FreeSlots      float64 // reported by the server with the outcome; 0: none free, or not reported

	group           dedupGroup // of the server at the decision
	serverStartedAt int64      // start of the server that was listed at the decision
	sentAt          int64
	startedAt       int64 // 0: not reported
	progressAt      int64 // time of the latest progress report; 0: none
	failureRecorded bool  // already recorded as failed in its server's reliability and scores
	canceled        bool
	provedNotRun    bool
}
