// SPDX-License-Identifier: Apache-2.0

// Package testcluster runs clusters of real node processes in tests.
//
// It starts several processes of the program with stand-ins for servers, discovery and clients on loopback, puts a
// relay between each pair of nodes, plays faults on the processes and the links, and records on one clock what
// arrives at the stand-ins. It knows nothing of what goes on inside a process.
package testcluster
