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

// TestForwardedBudgetIsWhatIsLeft: a server is told no more time than its client has left when the request goes out,
// though a connection took its time to come up or the process is behind. A span computed at the
// decision would have the server work when its client has left.
func TestForwardedBudgetIsWhatIsLeft(t *testing.T) {
	budgets := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		span, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
		budgets <- time.Duration(span) * time.Millisecond
		fmt.Fprintf(w, `{"id":"j","from":"x","state":"done","result":"r"}`+"\n")
	}))
	defer server.Close()
	for _, lag := range []time.Duration{0, 80 * time.Millisecond} {
		_, x := newTestClient()
		x.SetSchedulingDelay(func() int64 { return int64(lag) })
		connect := x.dialer.dialContext
		x.dialer.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			return connect(ctx, network, address)
		}
		deadline := time.Now().Add(time.Second)
		job := &protocol.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), Deadline: deadline,
			Request: &protocol.Request{
				ID:     "j",
				Target: "/p",
				Header: http.Header{"X-Call-Id": {"j"}},
				Body:   []byte("b"),
			}}
		x.Forward(t.Context(), job, func(protocol.JobUpdate) {}, func(e protocol.AttemptResult) {
			if e.Outcome != dispatch.Succeeded {
				t.Errorf("%v: %v", e.Outcome, e.Cause)
			}
		})
		if span := <-budgets; span > 700*time.Millisecond-lag || span < 300*time.Millisecond {
			t.Errorf("lag %v: the server was told %v of at most %v", lag, span, 700*time.Millisecond-lag)
		}
	}
}
