// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"fmt"
	"sync"
)

// maxRequestFields limits the header lines of a request. http.Server limits only the bytes of a head, and needs many
// times the memory of a short field for it.
const maxRequestFields = 100

// errTooManyFields is returned if the head of a request has more than maxRequestFields lines.
var errTooManyFields = fmt.Errorf("request head has more than %d fields", maxRequestFields)

// contentLengthPrefix is the start of a Content-Length header line, in lower case.
const contentLengthPrefix = "content-length:"

// noMatch means that the current header line does not start with contentLengthPrefix.
const noMatch = -1

// unknownLength is the length of a body that is chunked, or whose Content-Length http.Server rejects.
const unknownLength = -1

// maxScannedLength bounds the lengths of bodies that are told apart. A longer body is rejected.
const maxScannedLength = 1 << 40

// requestHeadScanner scans the heads of the requests on one connection for facts that http.Server does not
// report: where a head begins, the number of its fields, and whether a request with a chunked body also has a
// Content-Length.
//
// http.Server drops that header silently, while a proxy in front of this node may have used it, so that a
// second request could be smuggled in the body. Bodies may contain any text, including request heads, and are
// not scanned. Bytes are passed on no further than to the end of a head or of a body.
type requestHeadScanner struct {
	mu               sync.Mutex
	headComplete     bool   // the end of the head was scanned
	bodyBytes        int64  // bytes of the body that were passed on
	withheld         []byte // bytes that were read together with the end of a head or body, not scanned yet
	contentLength    int64  // of the request, or unknownLength
	inContentLength  bool   // the current line is a Content-Length, after its name
	matched          int    // bytes of the current line that match contentLengthPrefix, or noMatch
	lineNotEmpty     bool   // the current line has characters other than its line ending
	headStarted      bool   // the head has a line that is not empty
	sawContentLength bool   // the head has a Content-Length
	outOfSync        bool   // the position of the next head is unknown
	lines            int    // complete lines of the head, the request line included
}

// scan processes bytes that were read and returns how many of them are to be passed on now. The others are withheld;
// readWithheld returns them. No bytes may be withheld when scan is called.
func (h *requestHeadScanner) scan(b []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.scanLocked(b)
	h.withheld = append(h.withheld, b[n:]...)
	return n
}

// scanLocked processes bytes and returns how many of them belong to the current head or body. The caller holds mu.
func (h *requestHeadScanner) scanLocked(b []byte) int {
	if h.headComplete {
		n := len(b)
		if remaining := h.contentLength - h.bodyBytes; remaining > 0 {
			n = int(min(int64(n), remaining))
		}
		h.bodyBytes += int64(n)
		return n
	}
	for i, char := range b {
		h.scanByte(char)
		if h.headComplete {
			return i + 1
		}
	}
	return len(b)
}

// scanByte processes one byte of a head. The caller holds mu.
func (h *requestHeadScanner) scanByte(char byte) {
	switch {
	case char == '\r':
	case char == '\n' && !h.lineNotEmpty:
		// http.Server skips empty lines before a request line.
		h.headComplete = h.headStarted
	case char == '\n':
		h.matched = 0
		h.lineNotEmpty = false
		h.inContentLength = false
		h.lines++
	default:
		h.lineNotEmpty = true
		h.headStarted = true
		h.matchByte(char)
	}
}

// matchByte compares one byte of a line with contentLengthPrefix. The caller holds mu.
func (h *requestHeadScanner) matchByte(char byte) {
	if h.inContentLength {
		h.scanLength(char)
		return
	}
	if h.matched == noMatch {
		return
	}
	if lowerCase(char) != contentLengthPrefix[h.matched] {
		h.matched = noMatch
		return
	}
	h.matched++
	if h.matched == len(contentLengthPrefix) {
		h.sawContentLength = true
		h.matched = noMatch
		h.inContentLength = true
		h.contentLength = unknownLength
	}
}

// scanLength processes one byte of the value of a Content-Length. The caller holds mu.
func (h *requestHeadScanner) scanLength(char byte) {
	switch {
	case char == ' ' || char == '\t':
	case '0' <= char && char <= '9':
		h.contentLength = min(max(h.contentLength, 0)*10+int64(char-'0'), maxScannedLength)
	default:
		h.contentLength = unknownLength
		h.inContentLength = false
	}
}

// lowerCase returns an ASCII letter in lower case, and any other byte unchanged.
func lowerCase(char byte) byte {
	if 'A' <= char && char <= 'Z' {
		return char + 'a' - 'A'
	}
	return char
}

// readWithheld reads bytes that scan did not pass on, as far as they belong to the current head or body.
func (h *requestHeadScanner) readWithheld(b []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := copy(b, h.withheld)
	n = h.scanLocked(b[:n])
	h.withheld = h.withheld[n:]
	if len(h.withheld) == 0 {
		h.withheld = nil // frees the memory
	}
	return n
}

// hasContentLength reports whether the request has a Content-Length, or whether that is unknown because the
// scanner is out of sync.
func (h *requestHeadScanner) hasContentLength() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sawContentLength || h.outOfSync
}

// hasTooManyFields reports whether the head has more fields than a request may have.
func (h *requestHeadScanner) hasTooManyFields() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lines > maxRequestFields+1
}

// isStarted reports whether at least one byte of a request's head was read.
func (h *requestHeadScanner) isStarted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.headStarted
}

// isComplete reports whether a request's head has been read completely.
func (h *requestHeadScanner) isComplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.headComplete
}

// reset prepares for the head of the next request after a body of the given number of bytes. If the number of
// bytes read differs, or the body was chunked, the next head may have started unnoticed, and the scanner is
// out of sync.
func (h *requestHeadScanner) reset(body int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outOfSync = h.outOfSync || h.bodyBytes != body
	h.headComplete = false
	h.sawContentLength = false
	h.lineNotEmpty = false
	h.headStarted = false
	h.bodyBytes = 0
	h.matched = 0
	h.lines = 0
	h.contentLength = unknownLength
	h.inContentLength = false
}
