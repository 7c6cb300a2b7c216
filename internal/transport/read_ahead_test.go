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

// TestPipelinedRequestsAreServedInOrder checks that requests that arrive while another one is being served
// are served in order, regardless of how their bytes are divided.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	release := make(chan struct{})
	var bodies []string
	budget := NewConnectionBudget(64)
	_, address := startServer(t, budget, func(_ context.Context, r *protocol.Request) *protocol.Response {
		<-release
		bodies = append(bodies, string(r.Body))
		return &protocol.Response{Status: 200, Body: string(r.Body)}
	})
	second := strings.Replace(requestHead, "Length: 1", "Length: 60000", 1) + strings.Repeat("y", 60000)
	c := dialAndWrite(t, address, requestHead+"x"+second[:10])
	io.WriteString(c, second[10:50])
	release <- struct{}{}
	io.WriteString(c, second[50:]+requestHead+"z")
	release <- struct{}{}
	release <- struct{}{}
	reader := bufio.NewReader(c)
	for _, want := range []string{"x", strings.Repeat("y", 60000), "z"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(response.Body); string(got) != want {
			t.Errorf("body: got %.20q, want %.20q", got, want)
		}
	}
}
