// SPDX-License-Identifier: Apache-2.0

// Package dispatch decides, for one node, which executor gets which txn, and when a txn is given up. How to
// call it: New at start; At with the clock, then one call for each event; Settle after a round.
package dispatch
