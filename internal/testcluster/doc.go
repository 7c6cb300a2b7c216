// SPDX-License-Identifier: Apache-2.0

// Package testcluster runs clusters of real node processes in tests.
//
// It starts several processes of the program on loopback, together with stand-ins for servers, discovery and
// clients. It puts a relay between each pair of nodes, injects faults into the processes and the links, and
// records with one clock what arrives at the stand-ins. It has no access to the internals of a process.
package testcluster
