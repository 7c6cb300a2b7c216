// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
)

// Settings of all nodes, of nodes that receive the endpoint list, and of nodes that poll for it.
const (
	commonSettings = `"Tick":5000000,"ReplicasOfMe":4,"Me":%d,"MyZone":%d,"Dcs":["a","b"],"Skus":["m","n"],
"BillingValueBasis":"request",
"Extra":{"TellsStart":true,"Progress":100000000,"ClassStretch":[2,2,2],"ReportX0":"free slots"%s},
"Prices":{"CrossZone":0.1},
"Rules":{"AskWithin":8000000000,"Cold":1000000000,"ColdShare":0.5,"Fall":500000000,"FallMultiple":4},
"Schemes":[{"Name":"look","SlaTime":300000000,"Expiry":3000000000,"BillingValue":1,"LateBillingValue":0.5,
"Idempotency":"idempotent"},
{"Name":"save","SlaTime":300000000,"Expiry":3000000000,"BillingValue":2,"LateBillingValue":0.5,
"Idempotency":"deduplicated","Group":"zone","MemorySpan":2500000000},
{"Name":"book","SlaTime":300000000,"Expiry":3000000000,"BillingValue":4,"LateBillingValue":0.5,
"Idempotency":"at_most_once"}]`
	pushSettings = `"Discovery":"automatic","Weights":"rough","Report":{"Source":"piggyback","Fields":["x0"]},
"Limits":{"MayCancel":true,"MayDuplicate":true,"MostPostings":4,"RetryAfter":true,
"MaxRetryAfter":2000000000,"DialTimeout":250000000,"IdleClose":10000000000},`
	pollSettings = `"Discovery":"subscribe","Weights":"%s","Report":{"Source":"pull","Fields":["x0","x1"]},
"Limits":{"MayCancel":true,"MayDuplicate":false,"MayProbe":true,"MayTell":true,"MostPostings":4,"RetryAfter":true,
"MaxRetryAfter":2000000000,"DialTimeout":250000000,"IdleClose":10000000000},`
)

// serverPool fakes the servers and discovery: it runs requests and checks the rules on attempts.
type serverPool struct {
	*testing.T
	mu             sync.Mutex
	servers        []*fakeServer
	changed        chan struct{} // closed when the endpoint list changes
	version        int
	attempts       map[string][]receivedAttempt // by request id, including ended attempts
	effects        map[string]int               // how often each non-idempotent request took effect, by id
	received       int                          // complete attempts
	nodes          []*node                      // started nodes
	withoutHedging map[string]bool              // ids of requests to nodes that may not hedge
}

// receivedAttempt is an attempt from the view of its server.
type receivedAttempt struct {
	closed <-chan struct{} // closed after the end of the attempt or of its connection
	end    func()
}

// fakeServer is one server of the pool.
type fakeServer struct {
	*serverPool
	name          string
	zone          int
	server        *httptest.Server
	slots         chan struct{}
	hung          bool
	excludedAt    time.Time       // zero: not excluded
	drainingSince time.Time       // when discovery listed it as draining; zero: not draining
	seenRequests  map[string]bool // ids of requests that took effect in its zone, for deduplication
}

const (
	serverSlots    = 3
	serviceTime    = 4 * time.Millisecond // of a request
	toleratedDelay = time.Second          // 0.25 s in the settings, plus delays on a busy machine
)

// newServerPool starts a pool of servers that alternate between two zones.
func newServerPool(t *testing.T, count int) *serverPool {
	f := &serverPool{
		T:              t,
		changed:        make(chan struct{}),
		version:        1,
		attempts:       map[string][]receivedAttempt{},
		effects:        map[string]int{},
		withoutHedging: map[string]bool{},
	}
	seenRequests := [2]map[string]bool{{}, {}}
	for i := range count {
		server := &fakeServer{
			serverPool:   f,
			name:         fmt.Sprint("w", i),
			zone:         i % 2,
			slots:        make(chan struct{}, serverSlots),
			seenRequests: seenRequests[i%2],
		}
		server.server = httptest.NewServer(server)
		f.servers = append(f.servers, server)
		t.Cleanup(func() {
			server.server.CloseClientConnections()
			server.server.Close()
		})
	}
	return f
}

// ServeHTTP runs a request and checks that the node may send it to this server.
func (server *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/load" {
		free := serverSlots - len(server.slots)
		fmt.Fprintf(w, `{"x0":%d,"x1":%d}`, free, free)
		return
	}
	body, err := io.ReadAll(r.Body)
	id, ended := r.Header.Get("X-Call-Id"), make(chan struct{})
	attempt := receivedAttempt{ended, sync.OnceFunc(func() { close(ended) })}
	defer attempt.end()
	context.AfterFunc(r.Context(), attempt.end)
	server.mu.Lock()
	earlier, drainingSince, excludedAt := server.attempts[id], server.drainingSince, server.excludedAt
	server.attempts[id] = append(earlier, attempt)
	if err == nil && len(body) > 0 { // an incomplete request does not count as an attempt
		server.received++
	}
	noHedging := server.withoutHedging[id]
	server.mu.Unlock()
	if !drainingSince.IsZero() && time.Since(drainingSince) > toleratedDelay {
		server.Errorf("rule 3: request %s was sent to a server %v after the start of its drain",
			id, time.Since(drainingSince))
	}
	if !excludedAt.IsZero() && time.Since(excludedAt) > toleratedDelay {
		server.Errorf("rule 3: request %s was sent to a server %v after its exclusion",
			id, time.Since(excludedAt))
	}
	// A node that does not hedge closes the connection before it retries; the server may notice the close
	// slightly later. With a hedge, the first attempt would stay in flight.
	for _, other := range earlier {
		if !noHedging {
			break
		}
		select {
		case <-other.closed:
		case <-time.After(150 * time.Millisecond):
			server.Errorf("rule 2: request %s has two attempts in flight without hedging", id)
		}
	}
	sendUpdate := func(text string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, server.name, text)
		w.(http.Flusher).Flush()
	}
	select {
	case server.slots <- struct{}{}:
		defer func() { <-server.slots }()
	case <-r.Context().Done():
		return
	}
	sendUpdate(`"state":"started"`)
	server.mu.Lock()
	if class := r.Header.Get("X-Call-Class"); class == "book" || class == "save" && !server.seenRequests[id] {
		server.effects[id]++
		server.seenRequests[id] = true
	}
	hung := server.hung
	server.mu.Unlock()
	work := time.NewTimer(serviceTime)
	defer work.Stop()
	if hung {
		work.Stop()
	}
	select {
	case <-work.C:
		sendUpdate(`"state":"done","result":"r","load":{"x0":1}`)
	case <-r.Context().Done():
	}
}

// knownList returns the current endpoint list.
func (f *serverPool) knownList() string {
	r := httptest.NewRecorder()
	f.serveDiscovery(r, httptest.NewRequest("GET", "/api/targets", nil))
	return r.Body.String()
}

// serveDiscovery answers polls and watches for the endpoint list.
func (f *serverPool) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	changed, outdated := f.changed, r.URL.Query().Get("since") != fmt.Sprint(f.version)
	f.mu.Unlock()
	if !outdated {
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-changed:
		case <-time.After(wait):
			fmt.Fprintf(w, `{"version":%s,"full":false,"servers":[]}`, r.URL.Query().Get("since"))
			return
		case <-r.Context().Done():
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []map[string]any
	for _, server := range f.servers {
		state := "Ready"
		if !server.drainingSince.IsZero() {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{
			"id":         server.name,
			"addr":       server.server.Listener.Addr().String(),
			"zone":       string(rune('a' + server.zone)),
			"kind":       "m",
			"state":      state,
			"weight":     serverSlots / (1 + float64(len(server.slots))/serverSlots),
			"started_ms": 0,
		})
	}
	json.NewEncoder(w).Encode(map[string]any{"version": f.version, "full": true, "servers": servers})
}

// drain marks a server as draining in the endpoint list.
func (f *serverPool) drain(server *fakeServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server.drainingSince = time.Now()
	f.announce()
}

// announce answers the watches with a new version of the list. The caller holds mu.
func (f *serverPool) announce() {
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// markExcluded records when operators excluded a server; the zero time ends the exclusion.
func (f *serverPool) markExcluded(server *fakeServer, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server.excludedAt = at
}

// startNode runs a node with the given settings, created in the same way as by the program, and returns its
// address.
func (f *serverPool) startNode(index int, settings, extra, discovery string) string {
	f.Helper()
	text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%d",
"limits":{"sockets":200},"known":%s,"settings":{%s%s}}`,
		index, discovery, index+1, f.knownList(), settings, fmt.Sprintf(commonSettings, index, index%2, extra))
	path := filepath.Join(f.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	c, err := config.Load(func(variable string) string { return map[string]string{"EDGE_CONFIG": path}[variable] })
	if err != nil {
		f.Fatal(err)
	}
	n := newNode(c, nil, zerolog.Nop())
	f.nodes = append(f.nodes, n)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	n.server.Start(l)
	ctx, cancel := context.WithCancel(context.Background())
	go n.router.WatchEndpoints(ctx)
	f.Cleanup(func() {
		n.router.Shutdown(100 * time.Millisecond)
		n.server.Stop(200*time.Millisecond, false)
		cancel()
	})
	return l.Addr().String()
}

// requestText returns the bytes of a client's request. budget is the time that the client waits for the
// answer.
func requestText(class, id string, budget time.Duration, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, class, budget.Milliseconds(), len(body), body)
}
