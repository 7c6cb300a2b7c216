// SPDX-License-Identifier: Apache-2.0

package transport

import "sync"

// requestHeadScanner looks at the heads of one client's requests as they come, for what the library does not tell: whether a request
// in chunks told a length beside.
// Danger: of the two the library drops the length unseen, while what stands before this node may have gone by it, so
// that a second request hides in the body. Bodies may hold any text, heads of requests among them, and are not judged.
type requestHeadScanner struct {
	mu               sync.Mutex
	headComplete     bool   // the head is over
	bodyBytes        int64  // bytes handed on since
	heldBack         []byte // of a body, that came together with its head
	matched          int    // bytes of the present line that match the header's name, or -1
	lineNotEmpty     bool   // the present line has more than its end
	sawContentLength bool   // the head tells a length
	outOfSync        bool   // where heads begin is not known any more
}

const contentLengthPrefix = "content-length:"

// scan takes bytes as they come and says how many of them go on now: a head goes on without what follows it.
func (h *requestHeadScanner) scan(b []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, x := range b {
		if h.headComplete {
			break
		}
		if 'A' <= x && x <= 'Z' {
			x += 'a' - 'A'
		}
		switch {
		case x == '\n' && !h.lineNotEmpty:
			h.headComplete = true
			h.heldBack = append(h.heldBack, b[i+1:]...)
			return i + 1
		case x == '\n':
			h.matched, h.lineNotEmpty = 0, false
		case x != '\r':
			if h.lineNotEmpty = true; h.matched >= 0 && x == contentLengthPrefix[h.matched] {
				if h.matched++; h.matched == len(contentLengthPrefix) {
					h.sawContentLength, h.matched = true, -1
				}
			} else {
				h.matched = -1
			}
		}
	}
	if h.headComplete {
		h.bodyBytes += int64(len(b))
	}
	return len(b)
}

// takeHeldBack hands on what was kept back.
func (h *requestHeadScanner) takeHeldBack(b []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := copy(b, h.heldBack)
	if h.heldBack = h.heldBack[n:]; len(h.heldBack) == 0 {
		h.heldBack = nil
	}
	h.bodyBytes += int64(n)
	return n
}

// hasContentLength says whether the request told a length, as far as is known.
func (h *requestHeadScanner) hasContentLength() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sawContentLength || h.outOfSync
}

// isComplete says whether all of a request's head has come.
func (h *requestHeadScanner) isComplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.headComplete
}

// reset expects the head of another request, after a body of that many bytes. Where more has come already, or the body
// came in chunks, a head may have begun unseen.
func (h *requestHeadScanner) reset(body int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outOfSync = h.outOfSync || h.bodyBytes != body || len(h.heldBack) > 0
	h.headComplete, h.sawContentLength, h.lineNotEmpty, h.bodyBytes, h.matched = false, false, false, 0, 0
}
