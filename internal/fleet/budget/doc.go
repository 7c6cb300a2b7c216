// SPDX-License-Identifier: Apache-2.0

// Package budget divides budgets that many nodes hold together. It has both halves, the books that grant and the holder
// that uses, and is free of I/O and of clocks: time is handed in, in nanoseconds. docs/fleet.md says what is safe by what.
package budget
