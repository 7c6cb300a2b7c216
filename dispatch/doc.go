// SPDX-License-Identifier: Apache-2.0

// Package dispatch makes the decisions of one node of a job dispatcher: which server receives which
// request, when an attempt is hedged, canceled or retried, and when a request is given up.
//
// A Dispatcher reads no clock and does no input or output. Its caller sets the clock with Advance, reports
// each event by a method call (Arrive, AttemptStarted, AttemptEnded, UpdateEndpoints, ...) and calls
// ProcessQueue after each round of events. The Dispatcher acts through the interface Actions. All calls must
// come from one goroutine. The same calls with the same seed lead to the same decisions. Times are
// nanoseconds.
//
// # Request life cycle
//
//   - arrival.go: Arrive; deadline, size and priority weight, tenants' quotas.
//   - queue.go: the order of the waiting requests, and when a request is given up while it waits.
//   - assignment.go: sending a waiting request, probing servers for it, or leaving it in the queue.
//   - selection.go, candidates.go, affinity.go: the random draw of a server by weight, the servers that it
//     considers, and the preferred servers of an affinity key.
//   - idempotency.go: which servers a request may be sent to, and whether it may be sent again.
//   - supervision.go, promptness.go: attempts that start late, run for too long or stall.
//   - hedging.go: hedging, or canceling and retrying, a late attempt.
//   - outcome.go: the effects of an attempt's outcome.
//   - completion.go: the final answer.
//
// # Server state
//
//   - endpoints.go, polling.go: the endpoint list, and when it is polled.
//   - scores.go, reliability.go, runtimes.go: rank scores, reliability and outliers, running times.
//   - limits.go: limits of the slots in flight at servers.
//   - probes.go: capacity probes and reservations.
//   - slowstart.go: the budget of servers that have just started.
//   - overload.go: load shedding and other measures while this process itself is short of processor time.
//
// # Types
//
//   - dispatcher.go, actions.go, settings.go, quotas.go, request.go, attempt.go, server.go: the package's
//     API.
//   - serverset.go, statistics.go, histogram.go: sets of servers, decaying ratios, quantiles.
package dispatch
