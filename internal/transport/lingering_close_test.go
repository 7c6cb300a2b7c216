// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"io"
	"strings"
	"testing"
)

// TestResponseIsReadableAfterClose checks that a connection that ends with a response while unread bytes are
// in its socket is closed without a reset. A reset would destroy a response that the client has not read.
func TestResponseIsReadableAfterClose(t *testing.T) {
	stray := strings.Repeat("x", readAheadLimit+100<<10)
	for what, text := range map[string]string{
		"last response":     requestHead + "b" + stray,
		"rejected request":  strings.Replace(requestHead, "pay", "odd", 1) + stray,
		"malformed request": "GET\r\n\r\n" + stray[:1000],
	} {
		s, address := startServer(t, NewConnectionBudget(64), succeed)
		s.closeAfterResponse.Store(true)
		c := dialAndWrite(t, address, "")
		go io.WriteString(c, text)
		waitUntil(t, what+": lingering connection",
			func() bool { return lockedCount(s.budget, &s.budget.lingering) > 0 })
		got, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 ") {
			t.Errorf("%s: got %.40q, error %v, want a response and EOF", what, got, err)
		}
	}
}
