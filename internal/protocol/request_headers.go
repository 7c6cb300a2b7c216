// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
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

// forwardedHeader returns the headers that are forwarded to the server. Unknown headers are forwarded,
// too: without a header such as Idempotency-Key a server could not recognize a repeated request.
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

// hasUnambiguousLength reports whether a request delimits its body in exactly one way: by a length, or by
// chunks over HTTP/1.1. If two ways disagree, a second request may be hidden in the difference (request
// smuggling). HTTP/1.0 has no chunks.
func hasUnambiguousLength(r *http.Request, onlyChunked bool) bool {
	if !r.ProtoAtLeast(1, 1) {
		return false
	}
	if r.TransferEncoding != nil {
		return onlyChunked
	}
	return r.ContentLength >= 0 && r.Header["Content-Length"] != nil
}

// isPlainText reports whether the target and the headers are text that any server can parse, and whether
// each header of the protocol occurs only once. A server closes a connection on which it receives an
// unreadable request, and earlier requests on that connection would be lost.
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

// isPrintable reports whether a text consists only of tabs and printable ASCII characters from first on.
func isPrintable(text string, first rune) bool {
	return !strings.ContainsFunc(text, func(c rune) bool { return c < first && c != '\t' || c > '~' })
}
