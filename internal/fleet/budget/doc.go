// SPDX-License-Identifier: Apache-2.0

// Package budget divides budgets that many nodes share. It holds both halves: the ledger and the leader term, which
// grant leases, and the lease holder, demand estimator and usage meter, with which a process requests leases and keeps
// to them.
//
// The package does no I/O and reads no clock: callers pass the time in nanoseconds. docs/fleet.md explains what makes
// the sum of all leases stay within the total.
package budget
