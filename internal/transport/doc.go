// SPDX-License-Identifier: Apache-2.0

// Package transport owns every TCP connection of a node: the HTTP server that clients reach, the connections to the
// pool's servers, and the discovery client.
//
// Clients and servers share one budget of file descriptors, the ConnectionBudget. Each connection is wrapped as a
// clientConn or a serverConn, which holds one place of the budget until it is closed.
package transport
