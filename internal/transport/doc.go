// SPDX-License-Identifier: Apache-2.0

// Package transport manages the HTTP connections of a node: the HTTP server for clients, the connections to
// the servers of the pool, and the discovery client.
//
// Client and server connections share one budget of file descriptors, the ConnectionBudget. Each connection
// is wrapped as a clientConn or a serverConn, which uses one permit of the budget until it is closed.
package transport
