// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection alone and are not forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
}

// forwardedHeader gives the headers that go on to the server. Unknown ones do, too: a server could
// not recognize a repeat if a header such as Idempotency-Key stayed behind.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// hasUnambiguousLength says whether a request gives the end of its body in one way alone: by a
// length, or in chunks over HTTP/1.1. Where two ways disagree, a second request may hide in the
// difference (request smuggling), and HTTP/1.0 has no chunks.
func hasUnambiguousLength(r *http.Request, onlyChunked bool) bool {
	if !r.ProtoAtLeast(1, 1) {
		return false
	}
	if r.TransferEncoding != nil {
		return onlyChunked
	}
	return r.ContentLength >= 0 && r.Header["Content-Length"] != nil
}

// isPlainText says whether what is forwarded is text that any server can read, with each of the
// protocol's headers given once. A server closes a connection on what it can't read, and what was
// sent on it before would be lost.
func isPlainText(r *http.Request) bool {
	for name, values := range r.Header {
		if strings.HasPrefix(name, "X-") && len(values) > 1 {
			return false
		}
		for _, value := range values {
			if !isPrintable(value, ' ') {
				return false
			}
		}
	}
	isPath := strings.HasPrefix(r.RequestURI, "/")
	return isPath && isPrintable(r.RequestURI, '!') && isPrintable(r.Header.Get(headerRequestID), '!')
}

// isPrintable says whether a text has only tabs and ASCII characters from the given first one to
// the last printable one.
func isPrintable(text string, first rune) bool {
	return !strings.ContainsFunc(text, func(c rune) bool { return c < first && c != '\t' || c > '~' })
}
