// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"
)

// attemptFault is a fault of a server or of its connection that one attempt meets.
type attemptFault struct {
	dialError     error // error of the dial
	neverConnects bool  // the dial does not finish until it times out
	readBytes     int   // bytes of the request read before the connection is closed; -1: all
	// respond writes to c before the server closes it. waitForClose returns when the node has closed the
	// connection, or sent more data, and reports whether it was closed.
	respond          func(c net.Conn, id string, waitForClose func() bool)
	mayRun           bool // by the protocol, the job may have run
	reusedConnection bool // the connection was used for another job before
}

// respond writes a text with the request's id in place of j. The id must have one letter too, because the
// chunk lengths are fixed.
func respond(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		io.WriteString(c, strings.ReplaceAll(text, `"j"`, `"`+id+`"`))
	}
}

// respondAndStall writes a text and then waits until the node closes the connection.
func respondAndStall(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, waitForClose func() bool) { respond(text)(c, id, nil); waitForClose() }
}

// attemptFaults are the faults that this package distinguishes.
var attemptFaults = map[string]attemptFault{
	"dial refused":              {dialError: errors.New("refused")},
	"dial unanswered":           {neverConnects: true},
	"closed before the request": {},
	"closed during the request": {readBytes: 20},
	"closed after the request":  {readBytes: -1, mayRun: true},
	"rejected": {
		readBytes: -1,
		respond:   respond("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"),
	},
	"returned": {
		readBytes: -1,
		respond:   respond(chunkedHead + updateLine("returned") + chunkedEnd),
	},
	"failed": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + updateLine("failed") + chunkedEnd),
	},
	"500": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n"),
	},
	"503 without X-Rejected": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	},
	"lost": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + updateLine("started") + updateLine("lost") + chunkedEnd),
	},
	"truncated head": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 200 OK\r\nTransfer-Enc"),
	},
	"closed after started": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + updateLine("started")),
	},
	"truncated line": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + "40\r\n{\"id\":\"j\",\"state\":\"do"),
	},
	"not HTTP": {readBytes: -1, mayRun: true, respond: respond("<html>\r\n\r\n")},
	"update of another job": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + chunk(`{"id":"k","state":"done","result":"k"}`) + chunkedEnd),
	},
	"two Content-Lengths": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nabcde"),
	},
	"endless head": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),
	},
	"endless line": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever(chunkedHead, "100\r\n"+strings.Repeat("x", 256)+"\r\n"),
	},
	"endless updates": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever(chunkedHead, updateLine("running")),
	},
	"closed after 100": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 100 Continue\r\n\r\n"),
	},
	"endless 103": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
	},
	"stalls before the head": {readBytes: -1, mayRun: true, respond: respondAndStall("")},
	"stalls after 100": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall("HTTP/1.1 100 Continue\r\n\r\n"),
	},
	"stalls after the head": {readBytes: -1, mayRun: true, respond: respondAndStall(chunkedHead)},
	"stalls after started": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall(chunkedHead + updateLine("started")),
	},
	"stalls in a line": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall(chunkedHead + "40\r\n{\"id\":\"j\""),
	},
	"reused, closed before the request": {reusedConnection: true},
	"reused, closed during the request": {reusedConnection: true, readBytes: 20},
	"reused, closed after the request":  {reusedConnection: true, readBytes: -1, mayRun: true},
	"reused, closed after started": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respond(chunkedHead + updateLine("started")),
	},
	"reused, stalls before the head": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respondAndStall(""),
	},
	"reused, update of an earlier job": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respond(chunkedHead + chunk(`{"id":"0","state":"done","result":"0"}`) + chunkedEnd),
	},
}

// respondForever writes a first text and then repeats another one until the node closes the connection.
func respondForever(first, repeated string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		text := strings.ReplaceAll(repeated, `"j"`, `"`+id+`"`)
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, text) {
			time.Sleep(time.Millisecond)
		}
	}
}

// singleByteConn reads one byte at a time if single is set, so that no bytes beyond the requested ones are
// read.
type singleByteConn struct {
	net.Conn
	single bool
}

func (b singleByteConn) Read(p []byte) (int, error) {
	if b.single {
		p = p[:1]
	}
	return b.Conn.Read(p)
}

// arrival is one request that a server has received completely.
type arrival struct {
	id     string
	faulty bool // the request meets the fault
}
