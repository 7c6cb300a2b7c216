// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"
)

// attemptFault is what becomes of an attempt on its way: it has the server's end of the connection and what came
// on it so far.
type attemptFault struct {
	dialError     error // no connection
	neverConnects bool  // a connection that never comes up
	readBytes     int   // of the request, read before the connection is closed; -1: all
	// respond writes before the connection is closed; gone waits until the node has closed it.
	respond          func(c net.Conn, id string, gone func() bool)
	mayRun           bool // the job may have run by what the protocol says
	reusedConnection bool // on a connection that served a job before
}

// respond writes a text with the request's id in place of j. The id has one letter too, since chunks have lengths.
func respond(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		io.WriteString(c, strings.ReplaceAll(text, `"j"`, `"`+id+`"`))
	}
}

// respondAndStall says something and then nothing until the node gives up.
func respondAndStall(text string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, gone func() bool) { respond(text)(c, id, nil); gone() }
}

// attemptFaults are the outcomes that transport can tell.
var attemptFaults = map[string]attemptFault{
	"not dialled":            {dialError: errors.New("refused")},
	"never comes up":         {neverConnects: true},
	"reset before its bytes": {},
	"reset during its bytes": {readBytes: 20},
	"reset after its bytes":  {readBytes: -1, mayRun: true},
	"rejected": {
		readBytes: -1,
		respond:   respond("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"),
	},
	"handed back": {
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
	"503 without the mark": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	},
	"lost": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + updateLine("started") + updateLine("lost") + chunkedEnd),
	},
	"cut in its head": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 200 OK\r\nTransfer-Enc"),
	},
	"cut after its start": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + updateLine("started")),
	},
	"cut in a line": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + "40\r\n{\"id\":\"j\",\"state\":\"do"),
	},
	"no HTTP": {readBytes: -1, mayRun: true, respond: respond("<html>\r\n\r\n")},
	"another's id": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond(chunkedHead + chunk(`{"id":"k","state":"done","result":"k"}`) + chunkedEnd),
	},
	"two lengths": {
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
	"endless notes": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever(chunkedHead, updateLine("running")),
	},
	"100 and cut": {
		readBytes: -1,
		mayRun:    true,
		respond:   respond("HTTP/1.1 100 Continue\r\n\r\n"),
	},
	"103 without end": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondForever("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
	},
	"silent": {readBytes: -1, mayRun: true, respond: respondAndStall("")},
	"silent after 100": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall("HTTP/1.1 100 Continue\r\n\r\n"),
	},
	"silent after its head": {readBytes: -1, mayRun: true, respond: respondAndStall(chunkedHead)},
	"silent after its start": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall(chunkedHead + updateLine("started")),
	},
	"silent in a line": {
		readBytes: -1,
		mayRun:    true,
		respond:   respondAndStall(chunkedHead + "40\r\n{\"id\":\"j\""),
	},
	"kept, reset before its bytes": {reusedConnection: true},
	"kept, reset during its bytes": {reusedConnection: true, readBytes: 20},
	"kept, reset after its bytes":  {reusedConnection: true, readBytes: -1, mayRun: true},
	"kept, cut after its start": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respond(chunkedHead + updateLine("started")),
	},
	"kept, silent": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respondAndStall(""),
	},
	"kept, an answer to none before": {
		reusedConnection: true,
		readBytes:        -1,
		mayRun:           true,
		respond:          respond(chunkedHead + chunk(`{"id":"0","state":"done","result":"0"}`) + chunkedEnd),
	},
}

func respondForever(first, again string) func(net.Conn, string, func() bool) {
	return func(c net.Conn, id string, _ func() bool) {
		text := strings.ReplaceAll(again, `"j"`, `"`+id+`"`)
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, text) {
			time.Sleep(time.Millisecond)
		}
	}
}

// singleByteConn reads no more than it is asked for, where it matters what was read.
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

// arrival is one request whose last byte has come.
type arrival struct {
	id  string
	bad bool // it meets the fault
}
