// SPDX-License-Identifier: Apache-2.0

// Package dispatch takes the decisions of one node of a job dispatcher: which server gets which request, when an
// attempt is hedged, canceled or retried, and when a request is given up.
//
// A Dispatcher reads no clock and does no input or output. Its caller sets the clock by Advance, reports each event
// by a call (Arrive, AttemptStarted, AttemptEnded, UpdateEndpoints, ...) and calls ProcessQueue after each round of
// events; the Dispatcher acts by the interface Actions. All calls come from one goroutine. The same calls with the
// same seed lead to the same decisions. Times are nanoseconds.
//
// # The way of a request
//
//   - arrival.go: Arrive; deadline, size and priority weight, tenants' quotas.
//   - queue.go: the order of the waiting requests, and when waiting is in vain.
//   - assignment.go: a waiting request is sent to a server, asks for capacity, or waits on.
//   - selection.go, candidates.go, affinity.go: the random draw of a server by weight, the servers that it looks at,
//     and the preferred servers of an affinity key.
//   - idempotency.go: which servers a request may be sent to, and whether it may be sent again.
//   - supervision.go, promptness.go: attempts that start late, run for too long or stall.
//   - hedging.go: what is done about a late attempt.
//   - outcome.go: what follows from an attempt's outcome.
//   - completion.go: the final answer.
//
// # What is known of servers
//
//   - endpoints.go, polling.go: the endpoint list, and when it is polled.
//   - scores.go, reliability.go, runtimes.go: rank scores, reliability and outliers, running times.
//   - limits.go: limits of the slots in flight at servers.
//   - probes.go: capacity probes and reservations.
//   - slowstart.go: the budget of servers that have just started.
//   - overload.go: what changes while this process itself is late.
//
// # Types
//
//   - dispatcher.go, actions.go, settings.go, quotas.go, request.go, attempt.go, server.go: the package's interface.
//   - serverset.go, statistics.go, histogram.go: sets of servers, decaying ratios, quantiles.
package dispatch
