// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// TestForwardedTimeoutIsRemainingTime checks that the time-out sent to a server is at most the client's
// remaining time when the request is written, even if the dial was slow or the process is delayed. A time-out
// computed at selection would make the server work after its client's deadline.
func TestForwardedTimeoutIsRemainingTime(t *testing.T) {
	forwardedTimeouts := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		forwarded, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
		forwardedTimeouts <- time.Duration(forwarded) * time.Millisecond
		fmt.Fprintf(w, `{"id":"j","from":"x","state":"done","result":"r"}`+"\n")
	}))
	defer server.Close()
	for _, delay := range []time.Duration{0, 80 * time.Millisecond} {
		_, client := newTestClient()
		client.SetSchedulingDelay(func() int64 { return int64(delay) })
		dial := client.dialer.dialContext
		client.dialer.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			return dial(ctx, network, address)
		}
		deadline := time.Now().Add(time.Second)
		attempt := &protocol.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), Deadline: deadline,
			Request: &protocol.Request{
				ID:     "j",
				Target: "/p",
				Header: http.Header{"X-Call-Id": {"j"}},
				Body:   []byte("b"),
			}}
		client.Forward(t.Context(), attempt, func(protocol.JobUpdate) {}, func(e protocol.AttemptResult) {
			if e.Outcome != dispatch.Succeeded {
				t.Errorf("attempt: got outcome %v, cause %v, want %v", e.Outcome, e.Cause, dispatch.Succeeded)
			}
		})
		if forwarded := <-forwardedTimeouts; forwarded > 700*time.Millisecond-delay ||
			forwarded < 300*time.Millisecond {
			t.Errorf("delay %v: forwarded time-out is %v, want 300ms to %v",
				delay, forwarded, 700*time.Millisecond-delay)
		}
	}
}
