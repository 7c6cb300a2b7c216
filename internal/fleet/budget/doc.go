// SPDX-License-Identifier: Apache-2.0

// Package budget divides budgets among nodes. It contains both sides of the protocol: the ledger and the
// leader term, which grant leases, and the lease holder, demand estimator and usage meter, with which a
// process requests leases and stays within them.
//
// The package does no I/O and reads no clock: callers pass the time in nanoseconds. docs/fleet.md explains
// why the sum of all leases never exceeds the total.
package budget
