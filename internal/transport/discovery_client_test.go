// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"fernrail/internal/protocol"
)

// TestSlowListIsAccepted checks that a full list of thousands of endpoints that arrives in pieces is
// accepted, even if it takes longer in total than protocol.WatchResponseMargin. A list that stalls is
// abandoned after a silence of that length. Otherwise the node would drop the slow list, poll for it again
// and never receive the update of a drain.
func TestSlowListIsAccepted(t *testing.T) {
	entries := make([]string, 3200)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"id":"s-%d","addr":"127.0.0.1:7","zone":"a","kind":"m","state":"Ready"}`,
			i)
	}
	list := `{"version":1,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
	const pieces = 5
	for _, sentPieces := range []int{pieces, 2} {
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for i := range sentPieces {
				w.Write([]byte(list[len(list)*i/pieces : len(list)*(i+1)/pieces]))
				http.NewResponseController(w).Flush()
				time.Sleep(protocol.WatchResponseMargin * 2 / pieces)
			}
			if sentPieces < pieces {
				<-r.Context().Done()
			}
		}))
		names := &protocol.Names{Zones: []string{"a"}, MachineTypes: []string{"m"}}
		client := NewDiscoveryClient(strings.TrimPrefix(agent.URL, "http://"), names)
		start := time.Now()
		endpoints, err := client.Poll(t.Context(), 0, true)
		switch elapsed := time.Since(start); {
		case sentPieces == pieces && (err != nil || len(endpoints.Endpoints) != len(entries)):
			t.Errorf("slow list: got error %v after %v, want %d endpoints", err, elapsed, len(entries))
		case sentPieces < pieces && (!errors.Is(err, errDiscoveryTimeout) || elapsed > protocol.WatchWait):
			t.Errorf("stalled list: got error %v after %v, want %v within %v",
				err, elapsed, errDiscoveryTimeout, protocol.WatchWait)
		}
		agent.CloseClientConnections()
		agent.Close()
	}
}

// TestDiscovery checks the URLs of polls, the decoded versions, and that malformed and failed responses are
// errors.
func TestDiscovery(t *testing.T) {
	responses := []string{`{"version":4,"full":true,"servers":[]}`,
		`{"version":5,"full":false,"servers":[]}`, "odd"}
	var polledURLs []string
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if polledURLs = append(polledURLs, r.URL.String()); len(polledURLs) > len(responses) {
			w.WriteHeader(500)
			return
		}
		io.WriteString(w, responses[len(polledURLs)-1])
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(listener)
	defer s.Close()
	client := NewDiscoveryClient(listener.Addr().String(), &protocol.Names{})
	if list, err := client.Poll(t.Context(), 0, true); err != nil || list.Version != 4 || !list.Complete {
		t.Errorf("full poll: got %+v, error %v, want the full list of version 4", list, err)
	}
	if list, err := client.Poll(t.Context(), 4, false); err != nil || list.Version != 5 {
		t.Errorf("poll for changes: got %+v, error %v, want version 5", list, err)
	}
	for range 2 {
		if list, err := client.Poll(t.Context(), 5, false); err == nil {
			t.Errorf("malformed or failed response: got %+v, want an error", list)
		}
	}
	want := []string{"/api/targets", "/api/targets?since=4&timeout_ms=1",
		"/api/targets?since=5&timeout_ms=3000"}
	if !slices.Equal(polledURLs[:3], want) {
		t.Errorf("polled URLs: got %q, want %q", polledURLs, want)
	}
}
