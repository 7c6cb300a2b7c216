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

// TestSlowListIsTaken: a whole list of thousands that comes in pieces is taken though it takes longer than a
// silence may last; one that stops on its way is given up a silence later.
// Otherwise it would be dropped and polled for again, and the node would never learn of a drain.
func TestSlowListIsTaken(t *testing.T) {
	entries := make([]string, 3200)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"id":"s-%d","addr":"127.0.0.1:7","zone":"a","kind":"m","state":"Ready"}`, i)
	}
	list := `{"version":1,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
	const pieces = 5
	for _, come := range []int{pieces, 2} {
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for i := range come {
				w.Write([]byte(list[len(list)*i/pieces : len(list)*(i+1)/pieces]))
				http.NewResponseController(w).Flush()
				time.Sleep(protocol.WatchSilence * 2 / pieces)
			}
			if come < pieces {
				<-r.Context().Done()
			}
		}))
		names := &protocol.Names{Zones: []string{"a"}, MachineTypes: []string{"m"}}
		budget := NewDiscoveryClient(strings.TrimPrefix(agent.URL, "http://"), names)
		start := time.Now()
		l, err := budget.Poll(t.Context(), 0, true)
		switch took := time.Since(start); {
		case come == pieces && (err != nil || len(l.Endpoints) != len(entries)):
			t.Errorf("a list that comes slowly, after %v: %v", took, err)
		case come < pieces && (!errors.Is(err, errDiscoveryTimeout) || took > protocol.WatchWait):
			t.Errorf("a list that stops on its way, after %v: %v", took, err)
		}
		agent.CloseClientConnections()
		agent.Close()
	}
}

func TestDiscovery(t *testing.T) {
	answers := []string{`{"version":4,"full":true,"servers":[]}`, `{"version":5,"full":false,"servers":[]}`, "odd"}
	var asked []string
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked = append(asked, r.URL.String()); len(asked) > len(answers) {
			w.WriteHeader(500)
			return
		}
		io.WriteString(w, answers[len(asked)-1])
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	budget := NewDiscoveryClient(l.Addr().String(), &protocol.Names{})
	if list, err := budget.Poll(t.Context(), 0, true); err != nil || list.Version != 4 || !list.Complete {
		t.Error(list, err)
	}
	if list, err := budget.Poll(t.Context(), 4, false); err != nil || list.Version != 5 {
		t.Error(list, err)
	}
	for range 2 {
		if list, err := budget.Poll(t.Context(), 5, false); err == nil {
			t.Error(list)
		}
	}
	want := []string{"/api/targets", "/api/targets?since=4&timeout_ms=1", "/api/targets?since=5&timeout_ms=3000"}
	if !slices.Equal(asked[:3], want) {
		t.Error(asked)
	}
}
