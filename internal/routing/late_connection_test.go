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

// TestLateConnection: a connection comes up after its executor was told of as leaving. Not a byte of the txn goes there, it is
// proved not run, and another executor has it.
func TestLateConnection(t *testing.T) {
	var mu sync.Mutex
	arrived := map[string]int{}
	executor := func(name string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			arrived[name]++
			mu.Unlock()
			fmt.Fprintf(w, `{"id":%q,"from":%q,"state":"done","result":%q}`+"\n", r.Header.Get("X-Call-Id"), name, name)
		})}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		return l.Addr().String()
	}
	a := protocol.Endpoint{ID: "a", Address: executor("a")}
	b := protocol.Endpoint{ID: "b", Address: executor("b")}
	for name, change := range map[string]func(router *Router){
		"drains": func(router *Router) {
			b.State = dispatch.Draining
			router.event(func() { router.applyEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{a, b}}) })
		},
		"is left out of a whole list": func(router *Router) {
			router.event(func() {
				router.applyEndpoints(&protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{a}})
			})
		},
		"is banned": func(router *Router) {
			router.event(func() { router.applyEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{a}}) })
			router.SetExcluded([]string{"b"})
		},
		"is listed elsewhere": func(router *Router) {
			b.Address = a.Address
			router.event(func() { router.applyEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{a, b}}) })
		},
		"goes and comes back as another": func(router *Router) {
			router.event(func() {
				router.applyEndpoints(&protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{a}})
			})
			b.Address = a.Address
			router.event(func() {
				router.applyEndpoints(&protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{a, b}})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			stood := b
			defer func() { b = stood }()
			mu.Lock()
			arrived = map[string]int{}
			mu.Unlock()
			x := transport.NewServerClient(transport.NewConnectionBudget(256), time.Minute, time.Minute, protocol.LoadReportKeys{}, func() {})
			dialing, told := make(chan struct{}, 9), make(chan struct{})
			x.SetDialGate(func(address string) bool {
				if address == stood.Address {
					dialing <- struct{}{}
					<-told
				}
				return true
			})
			router := newTestRouter(x, &scriptedSource{}, &protocol.EndpointList{Complete: true, Endpoints: []protocol.Endpoint{b}})
			for _, scheme := range []int{0, 1} {
				answer := make(chan *protocol.Response, 1)
				go func() {
					q := testRequest(fmt.Sprint(name, scheme), scheme, time.Minute)
					q.Target, q.Header = "/j", http.Header{"X-Call-Id": {q.ID}}
					answer <- router.Serve(context.Background(), q)
				}()
				if scheme == 0 {
					<-dialing
					change(router)
					close(told)
				}
				if got := <-answer; got.Status != http.StatusOK || got.Body != "a" {
					t.Errorf("scheme %d: %+v", scheme, got)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if arrived["a"] != 2 || arrived["b"] != 0 {
				t.Errorf("what arrived: %v", arrived)
			}
		})
	}
}
