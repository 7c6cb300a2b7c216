// SPDX-License-Identifier: Apache-2.0

package dispatch

// Attempt is one sending of a txn to an executor.
type Attempt struct {
	Request        *Request
	Server         *Server
	Number         int
	Timeout        int64   // time-out; 0: until the client gives up
	InFlight       bool    // no outcome yet
	SlowStartShare float64 // of a cold executor's budget that it takes; 0: the executor is warm
	FreeSlots      float64 // free slots that the executor reported with the outcome; 0: none, or not told

	sentAt, startedAt, progressAt int64
	failureRecorded, canceled     bool
	provedNotRun                  bool   // proved not to have run
	afterEnd                      func() // what the outcome leads to
}

// Outcome is how a posting ended.
type Outcome int

const (
	Succeeded       Outcome = iota // answered
	Failed                         // an error, may have run
	Rejected                       // turned away unseen
	TimedOut                       // may have run
	ConnectFailed                  // no connection, never ran
	ConnectionLost                 // connection lost, may have run
	Canceled                       // withdrawn, may have run
	NotSent                        // never left
	StaleConnection                // met a kept connection that was gone; may have run
)

func (o Outcome) String() string {
	return [...]string{"settled", "erred", "full", "timed out", "undialed", "broken", "revoked", "unsent", "stale"}[o]
}
