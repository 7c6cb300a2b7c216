// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"net/http"
	"strings"
)

// hasUnambiguousLength says whether a request tells in one way alone where its body ends: by a length or in chunks. chunks says that
// a request in chunks told no length beside, which the library drops unseen.
// Danger: a second request may hide in what two lengths do not agree on. Over HTTP/1.0 chunks mean nothing to some.
func hasUnambiguousLength(r *http.Request, chunks bool) bool {
	if r.TransferEncoding != nil {
		return chunks && r.ProtoAtLeast(1, 1)
	}
	return r.ProtoAtLeast(1, 1) && r.ContentLength >= 0 && r.Header["Content-Length"] != nil
}

// isPlainText says whether what goes on to an executor is text that any of them can read, and each name told once.
// Danger: an executor closes on what it can't read, and what it was told besides is lost to this node.
func isPlainText(r *http.Request) bool {
	ok := func(s string, least rune) bool {
		return !strings.ContainsFunc(s, func(c rune) bool { return c < least && c != '\t' || c > '~' })
	}
	for name, values := range r.Header {
		if strings.HasPrefix(name, "X-") && len(values) > 1 {
			return false
		}
		for _, v := range values {
			if !ok(v, ' ') {
				return false
			}
		}
	}
	return strings.HasPrefix(r.RequestURI, "/") && ok(r.RequestURI, '!') && ok(r.Header.Get("X-Call-Id"), '!')
}

// hopByHopHeaders names the headers that concern one connection alone.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// forwardedHeader gives the headers that go on to the executor.
// Danger: a mark against repeats, such as Idempotency-Key, that stays behind; the executor could not know the repeat.
func forwardedHeader(h http.Header) http.Header {
	on := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			on.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		on.Del(name)
	}
	return on
}
