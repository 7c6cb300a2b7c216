// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"fernrail/internal/protocol"
)

// TestBytesBehindARequestAreTheNext: what came while a request was at work is served in its turn, whatever pieces
// it came in.
func TestBytesBehindARequestAreTheNext(t *testing.T) {
	hold := make(chan struct{})
	var bodies []string
	d := NewConnectionBudget(64)
	_, address := startServer(t, d, func(_ context.Context, q *protocol.Request) *protocol.Response {
		<-hold
		bodies = append(bodies, string(q.Body))
		return &protocol.Response{Status: 200, Body: string(q.Body)}
	})
	second := strings.Replace(requestHead, "Length: 1", "Length: 60000", 1) + strings.Repeat("y", 60000)
	c := dialAndWrite(t, address, requestHead+"x"+second[:10])
	io.WriteString(c, second[10:50])
	hold <- struct{}{}
	io.WriteString(c, second[50:]+requestHead+"z")
	hold <- struct{}{}
	hold <- struct{}{}
	in := bufio.NewReader(c)
	for _, want := range []string{"x", strings.Repeat("y", 60000), "z"} {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(a.Body); string(got) != want {
			t.Errorf("%.20q, want %.20q", got, want)
		}
	}
}
