// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fernrail/internal/config"
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
)

// Settings that all nodes have, and those of nodes that are sent the endpoint list and of nodes that poll.
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

// serverPool stands in for servers and discovery: it runs requests and checks the rules.
type serverPool struct {
	*testing.T
	mu             sync.Mutex
	servers        []*fakeServer
	changed        chan struct{} // closed when the list changes
	version        int
	attempts       map[string][]receivedAttempt // by request, ended ones as well
	effects        map[string]int               // how often each request that is not idempotent took effect
	received       int                          // attempts that came complete
	nodes          []*node                      // that were started
	withoutHedging map[string]bool              // requests of nodes that may not hedge
}

// receivedAttempt is an attempt as its server sees it.
type receivedAttempt struct {
	closed <-chan struct{} // closed once the attempt or its connection has ended
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
	excludedAt    time.Time       // zero: it is not excluded
	drainingSince time.Time       // when discovery listed it so; zero: it is not draining
	seenRequests  map[string]bool // requests that its zone has run, for idempotency in a group
}

const (
	serverSlots    = 3
	serviceTime    = 4 * time.Millisecond // of a request
	toleratedDelay = time.Second          // the settings say 0.25 s; a busy machine hears late
)

// newServerPool starts a pool of servers, in two zones by turns.
func newServerPool(t *testing.T, workers int) *serverPool {
	f := &serverPool{
		T:              t,
		changed:        make(chan struct{}),
		version:        1,
		attempts:       map[string][]receivedAttempt{},
		effects:        map[string]int{},
		withoutHedging: map[string]bool{},
	}
	seenRequests := [2]map[string]bool{{}, {}}
	for i := range workers {
		w := &fakeServer{
			serverPool:   f,
			name:         fmt.Sprint("w", i),
			zone:         i % 2,
			slots:        make(chan struct{}, serverSlots),
			seenRequests: seenRequests[i%2],
		}
		w.server = httptest.NewServer(w)
		f.servers = append(f.servers, w)
		t.Cleanup(func() {
			w.server.CloseClientConnections()
			w.server.Close()
		})
	}
	return f
}

// ServeHTTP runs a request, and checks that it may be sent to this server.
func (w *fakeServer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/load" {
		free := serverSlots - len(w.slots)
		fmt.Fprintf(out, `{"x0":%d,"x1":%d}`, free, free)
		return
	}
	body, err := io.ReadAll(r.Body)
	id, over := r.Header.Get("X-Call-Id"), make(chan struct{})
	mine := receivedAttempt{over, sync.OnceFunc(func() { close(over) })}
	defer mine.end()
	context.AfterFunc(r.Context(), mine.end)
	w.mu.Lock()
	earlier, drained, banned := w.attempts[id], w.drainingSince, w.excludedAt
	w.attempts[id] = append(earlier, mine)
	if err == nil && len(body) > 0 { // a request that was cut is no attempt
		w.received++
	}
	single := w.withoutHedging[id]
	w.mu.Unlock()
	if !drained.IsZero() && time.Since(drained) > toleratedDelay {
		w.Errorf("rule 3: %s was posted to %v after it was told to drain", id, time.Since(drained))
	}
	if !banned.IsZero() && time.Since(banned) > toleratedDelay {
		w.Errorf("rule 3: %s was posted to a banned executor %v after that", id, time.Since(banned))
	}
	// A node closes a connection before it retries, which may show here a little later. Beside a hedge the first attempt
	// would stay in flight.
	for _, p := range earlier {
		if !single {
			break
		}
		select {
		case <-p.closed:
		case <-time.After(150 * time.Millisecond):
			w.Errorf("rule 2: %s is out twice", id)
		}
	}
	say := func(text string) {
		fmt.Fprintf(out, `{"id":%q,"from":%q,%s}`+"\n", id, w.name, text)
		out.(http.Flusher).Flush()
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-r.Context().Done():
		return
	}
	say(`"state":"started"`)
	w.mu.Lock()
	if class := r.Header.Get("X-Call-Class"); class == "book" || class == "save" && !w.seenRequests[id] {
		w.effects[id]++
		w.seenRequests[id] = true
	}
	hung := w.hung
	w.mu.Unlock()
	work := time.NewTimer(serviceTime)
	defer work.Stop()
	if hung {
		work.Stop()
	}
	select {
	case <-work.C:
		say(`"state":"done","result":"r","load":{"x0":1}`)
	case <-r.Context().Done():
	}
}

// knownList returns the endpoint list as it is now.
func (f *serverPool) knownList() string {
	r := httptest.NewRecorder()
	f.serveDiscovery(r, httptest.NewRequest("GET", "/api/targets", nil))
	return r.Body.String()
}

// serveDiscovery answers polls and watches of the endpoint list.
func (f *serverPool) serveDiscovery(out http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	changed, newer := f.changed, r.URL.Query().Get("since") != fmt.Sprint(f.version)
	f.mu.Unlock()
	if !newer {
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-changed:
		case <-time.After(wait):
			fmt.Fprintf(out, `{"version":%s,"full":false,"servers":[]}`, r.URL.Query().Get("since"))
			return
		case <-r.Context().Done():
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []map[string]any
	for _, w := range f.servers {
		state := "Ready"
		if !w.drainingSince.IsZero() {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{
			"id":         w.name,
			"addr":       w.server.Listener.Addr().String(),
			"zone":       string(rune('a' + w.zone)),
			"kind":       "m",
			"state":      state,
			"weight":     serverSlots / (1 + float64(len(w.slots))/serverSlots),
			"started_ms": 0,
		})
	}
	json.NewEncoder(out).Encode(map[string]any{"version": f.version, "full": true, "servers": servers})
}

// drain lists a server as draining.
func (f *serverPool) drain(w *fakeServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.drainingSince = time.Now()
	f.announce()
}

// announce ends the watches with a new list. The caller holds mu.
func (f *serverPool) announce() {
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// markExcluded notes when operators excluded a server.
func (f *serverPool) markExcluded(w *fakeServer, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.excludedAt = at
}

// startNode runs a node with these settings, put together as the program does, and returns its address.
func (f *serverPool) startNode(me int, shape, extra, discovery string) string {
	f.Helper()
	text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%d",
"limits":{"sockets":200},"known":%s,"settings":{%s%s}}`,
		me, discovery, me+1, f.knownList(), shape, fmt.Sprintf(commonSettings, me, me%2, extra))
	path := filepath.Join(f.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	c, err := config.Load(func(v string) string { return map[string]string{"EDGE_CONFIG": path}[v] })
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

// requestText returns a request as a client writes it; the budget is the time that it waits.
func requestText(class, id string, budget time.Duration, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, class, budget.Milliseconds(), len(body), body)
}
