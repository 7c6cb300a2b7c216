// SPDX-License-Identifier: Apache-2.0

package protocol

import "errors"

// ClientState is what is known about the client of an open request.
type ClientState int

// The states of a client.
const (
	// ClientConnected means that the client had not closed when its socket was last read to the end, just now.
	ClientConnected ClientState = iota
	// ClientUnsettled means that much data was received a moment ago, behind which a close may follow. It lasts
	// some milliseconds.
	ClientUnsettled
	// ClientUnknown means that the client has sent more behind its request than is read while the request is
	// open. A close would not be detected.
	ClientUnknown
	// ClientClosed means that the client has closed at least its sending side.
	ClientClosed
)

// ErrClientUnknown is the cause with which a request's context ends if its client's state is ClientUnknown.
var ErrClientUnknown = errors.New("the client has sent too much behind its request to detect its close")
