// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
	"fernrail/internal/transport"
)

// TestLateConnection: a connection is established after its server was drained, removed, excluded or
// listed with another address. No byte of the request must be sent on it. As the job has not run, another
// server gets the request, even if it is not idempotent.
func TestLateConnection(t *testing.T) {
	var mu sync.Mutex
	requestCounts := map[string]int{}
	server := func(name string) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			requestCounts[name]++
			mu.Unlock()
			id := r.Header.Get("X-Call-Id")
			fmt.Fprintf(w, `{"id":%q,"from":%q,"state":"done","result":%q}`+"\n", id, name, name)
		})}
		go httpServer.Serve(listener)
		t.Cleanup(func() { httpServer.Close() })
		return listener.Addr().String()
	}
	a := protocol.Endpoint{ID: "a", Address: server("a")}
	b := protocol.Endpoint{ID: "b", Address: server("b")}
	for name, change := range map[string]func(router *Router){
		"drains": func(router *Router) {
			b.State = dispatch.Draining
			applyList(router, changedList(a, b))
		},
		"is not in a complete list": func(router *Router) {
			applyList(router, versionedList(0, a))
		},
		"is excluded": func(router *Router) {
			applyList(router, changedList(a))
			router.SetExcluded([]string{"b"})
		},
		"is listed with another address": func(router *Router) {
			b.Address = a.Address
			applyList(router, changedList(a, b))
		},
		"is removed and listed again with another address": func(router *Router) {
			applyList(router, versionedList(0, a))
			b.Address = a.Address
			applyList(router, versionedList(0, a, b))
		},
	} {
		t.Run(name, func(t *testing.T) {
			original := b
			defer func() { b = original }()
			mu.Lock()
			requestCounts = map[string]int{}
			mu.Unlock()
			connections := transport.NewConnectionBudget(256)
			client := transport.NewServerClient(connections, time.Minute, time.Minute, protocol.LoadReportKeys{},
				func() {})
			dialing, changed := make(chan struct{}, 9), make(chan struct{})
			client.SetDialGate(func(address string) bool {
				if address == original.Address {
					dialing <- struct{}{}
					<-changed
				}
				return true
			})
			router := newTestRouter(client, &scriptedSource{}, versionedList(0, b))
			for _, class := range []int{0, 1} {
				responses := make(chan *protocol.Response, 1)
				go func() {
					request := testRequest(fmt.Sprint(name, class), class, time.Minute)
					request.Target, request.Header = "/j", http.Header{"X-Call-Id": {request.ID}}
					responses <- router.Serve(context.Background(), request)
				}()
				if class == 0 {
					<-dialing
					change(router)
					close(changed)
				}
				if got := <-responses; got.Status != http.StatusOK || got.Body != "a" {
					t.Errorf("class %d: got response %+v, want status 200 from server a", class, got)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if requestCounts["a"] != 2 || requestCounts["b"] != 0 {
				t.Errorf("got requests by server %v, want 2 at a and 0 at b", requestCounts)
			}
		})
	}
}
