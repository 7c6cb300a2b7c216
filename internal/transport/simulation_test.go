// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/invariants"
	"fernrail/internal/protocol"
	"fernrail/internal/routing"
)

// nodeSettings is the configuration file of a node with one class of each idempotency.
const nodeSettings = `{"name":"n","listen":"h:1","discovery":"one:1","seed":"1",
"known":{"version":0,"full":true,"servers":[]},"settings":{
"Tick":5000000,"ReplicasOfMe":1,"Dcs":["home"],"Skus":["toy"],"Discovery":"automatic","Extra":{"TellsStart":true},
"Limits":{"DialTimeout":1000000000,"IdleClose":3000000000,"MayCancel":true,"MayDuplicate":true,"MostPostings":3},
"Rules":{"AskWithin":10000000000,"DrainGrace":2000000000},"Schemes":[
{"Name":"a","SlaTime":300000000,"Expiry":3000000000,"Idempotency":"idempotent"},
{"Name":"b","SlaTime":300000000,"Expiry":3000000000,"Idempotency":"at_most_once"}]}}`

const (
	drainGrace        = 2*time.Second + 50*time.Millisecond // of the settings, with the slack of the pages
	silentPollGrace   = 6 * time.Second                     // after which what a silent poll misses counts as notified
	pollWaitGrace     = 2 * time.Second                     // the same after the end of its wait, if that is later
	sourceChangeGrace = 4 * time.Second                     // from SIGHUP until the new agent counts
)

// simulation is a node in the time of a synctest bubble, with discovery agents and servers over pipes. Agents are
// silent, reset, stuck or send garbage; servers note when the first byte of each request came; the node is
// restarted and turned to another agent. Only the simulation knows when an agent had a change, and records it as
// the pages count it.
type simulation struct {
	t  *testing.T
	mu sync.Mutex
	// rand draws the steps. Each other actor has a source of its own, so that the order in which they run changes
	// nothing.
	rand          *rand.Rand
	seed          uint64
	dials         map[string]uint64
	started       time.Time
	serverStates  map[string]string
	agents        map[string]*fakeAgent
	currentAgent  *fakeAgent // the node's present one
	currentSince  time.Time  // from when that counts
	events        []invariants.Event
	maxDialDelay  time.Duration // connections to servers take up to that
	processNumber int           // the present process
	downSince     time.Time     // when the agents last fell silent
	attempts      map[string]int
	conns         map[net.Conn]bool
}

// newSimulation returns a simulation with two agents, of which the node polls the first.
func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t:            t,
		rand:         rand.New(rand.NewPCG(seed, 1)),
		seed:         seed,
		dials:        map[string]uint64{},
		started:      time.Now(),
		serverStates: map[string]string{},
		agents:       map[string]*fakeAgent{},
		attempts:     map[string]int{},
		conns:        map[net.Conn]bool{},
	}
	for _, place := range []string{"one:1", "two:1"} {
		w.agents[place] = newFakeAgent(w)
	}
	w.agents["one:1"].baseVersion = 1000
	w.currentAgent = w.agents["one:1"]
	return w
}

// record adds an event of the present process. Under mu.
func (w *simulation) record(at time.Time, e invariants.Event) {
	e.At = int64(at.Sub(w.started))
	e.Node = "n" + strconv.Itoa(w.processNumber)
	w.events = append(w.events, e)
}

var serverIDs = []string{"e0", "e1", "e2", "e3", "e4"}

// actorRand is that of one actor's nth act.
func (w *simulation) actorRand(actor string, nth uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^dispatch.HashName(actor), nth))
}

// dial gives the other end of a pipe to an agent or a server.
func (w *simulation) dial(process int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		w.mu.Lock()
		a, late := w.agents[address], time.Duration(0)
		w.dials[address]++
		if own := w.actorRand(address, w.dials[address]); a == nil && w.maxDialDelay > 0 && own.IntN(3) == 0 {
			late = time.Duration(own.Int64N(int64(w.maxDialDelay)))
		}
		w.mu.Unlock()
		select {
		case <-time.After(late):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if process != w.processNumber {
			return nil, errors.New("this process has ended")
		}
		here, there := net.Pipe()
		w.conns[there] = true
		if a != nil {
			go a.serve(there)
		} else {
			go w.serveServer(address[:2], there)
		}
		return here, nil
	}
}

// firstByteConn notes when a request's first byte came.
type firstByteConn struct {
	net.Conn
	waiting bool
	at      time.Time
}

func (f *firstByteConn) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	if n > 0 && f.waiting {
		f.at, f.waiting = time.Now(), false
	}
	return n, err
}

// serveServer is a server: it serves the requests on one connection, or rejects them if it is not ready.
func (w *simulation) serveServer(id string, c net.Conn) {
	defer c.Close()
	f := &firstByteConn{Conn: c}
	in := bufio.NewReader(f)
	for {
		f.waiting = true
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		request := r.Header.Get("X-Call-Id")
		w.mu.Lock()
		if !w.conns[c] { // its process has ended
			w.mu.Unlock()
			return
		}
		n := w.attempts[request]
		w.attempts[request]++
		w.record(f.at, invariants.Event{Kind: invariants.AttemptSent, Request: request, Server: id, Attempt: n})
		runs, result := time.Duration(5e6+w.actorRand(request, uint64(n)).Int64N(6e7)), "settled"
		if w.serverStates[id] != "Ready" {
			runs, result = 0, "full"
		}
		w.mu.Unlock()
		time.Sleep(runs)
		w.mu.Lock()
		w.record(time.Now(), invariants.Event{Kind: invariants.AttemptEnded, Request: request, Attempt: n, Result: result})
		w.mu.Unlock()
		if result == "full" {
			_, err = io.WriteString(c, rejection)
		} else {
			started := fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`+"\n", request, id)
			done := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r"}`+"\n", request, id)
			body := started + done
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if err != nil {
			return
		}
	}
}

// nodeProcess is one process of the node.
type nodeProcess struct {
	node *routing.Router
	ctx  context.Context
	kill context.CancelFunc
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	name *protocol.Names
}

// startProcess starts a process of the node that knows this list.
func (w *simulation) startProcess(c *config.Node, known string) *nodeProcess {
	w.mu.Lock()
	w.processNumber++
	p := &nodeProcess{dial: w.dial(w.processNumber), name: c.Names}
	for _, a := range w.agents {
		a.assumedAt, a.sentVersion = time.Time{}, 0
		clear(a.assumedEvents)
	}
	w.currentAgent.becomeCurrent(time.Now())
	w.mu.Unlock()
	p.ctx, p.kill = context.WithCancel(w.t.Context())
	x := NewServerClient(NewConnectionBudget(256), c.DialTimeout, c.IdleTimeout, c.LoadReportKeys, func() {})
	x.dialer.dialContext = p.dial
	list, err := protocol.DecodeEndpointList([]byte(known), c.Names)
	if err != nil {
		w.t.Fatal(err)
	}
	p.node = routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             w.rand.Uint64(),
		InitialEndpoints: list,
		Forwarder:        x,
		ProbeTimeout:     c.ProbeTimeout,
		EndpointSource:   p.discovery("one:1"),
		Log:              zerolog.Nop(),
	})
	go p.node.WatchEndpoints(p.ctx)
	return p
}

func (p *nodeProcess) discovery(address string) *DiscoveryClient {
	d := NewDiscoveryClient(address, p.name)
	d.transport.(*http.Transport).DialContext = p.dial
	return d
}

// killProcess kills the process: its connections are reset, and it sends no more.
func (w *simulation) killProcess(p *nodeProcess) {
	p.kill()
	w.mu.Lock()
	w.record(time.Now(), invariants.Event{Kind: invariants.NodeKilled})
	w.processNumber++
	for c := range w.conns {
		c.Close()
	}
	clear(w.conns)
	w.mu.Unlock()
	synctest.Wait()
}

// loadConfig is the configuration of a node whose file has this text.
func loadConfig(t *testing.T, text string) *config.Node {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": path}[key] })
	if err != nil {
		t.Fatal(err)
	}
	return c
}
