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
	// drainGrace is Rules.DrainGrace of nodeSettings plus the specified slack of 50 ms.
	drainGrace = 2*time.Second + 50*time.Millisecond
	// silentPollGrace is the time after which changes missed by a lost poll count as notified.
	silentPollGrace = 6 * time.Second
	// pollWaitGrace is the same time, measured from the end of the poll's wait. The later of the two applies.
	pollWaitGrace = 2 * time.Second
	// sourceChangeGrace is the time from SIGHUP until the new agent's changes count as notified.
	sourceChangeGrace = 4 * time.Second
)

// simulation is a node in a synctest bubble, with discovery agents and servers over pipes. Agents do not
// respond, close connections, lose polls or send malformed responses. Servers record when the first byte of
// each request arrived. The node is restarted and its endpoint source is changed. The simulation records when
// the node counts as notified of each change by the specified rules.
type simulation struct {
	t  *testing.T
	mu sync.Mutex
	// rand draws the steps. Every other actor has its own random source, so that results do not depend on the
	// order in which actors run.
	rand          *rand.Rand
	seed          uint64
	dials         map[string]uint64
	started       time.Time
	serverStates  map[string]string
	agents        map[string]*fakeAgent
	currentAgent  *fakeAgent // the node's endpoint source
	currentSince  time.Time  // from when its changes count as notified
	events        []invariants.Event
	maxDialDelay  time.Duration // maximum delay of dials to servers
	processNumber int           // number of the current process
	outageStarted time.Time     // when the agents' last outage started
	attempts      map[string]int
	conns         map[net.Conn]bool
}

// newSimulation returns a simulation with two agents. The node initially polls the agent at one:1.
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
	for _, address := range []string{"one:1", "two:1"} {
		w.agents[address] = newFakeAgent(w)
	}
	w.agents["one:1"].baseVersion = 1000
	w.currentAgent = w.agents["one:1"]
	return w
}

// record adds an event of the current process. The caller holds mu.
func (w *simulation) record(at time.Time, e invariants.Event) {
	e.At = int64(at.Sub(w.started))
	e.Node = "n" + strconv.Itoa(w.processNumber)
	w.events = append(w.events, e)
}

var serverIDs = []string{"e0", "e1", "e2", "e3", "e4"}

// actorRand returns the random source for an actor's nth action.
func (w *simulation) actorRand(actor string, nth uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^dispatch.HashName(actor), nth))
}

// dial returns the dial function of a process. It connects to an agent or a server over a pipe.
func (w *simulation) dial(process int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		w.mu.Lock()
		a, delay := w.agents[address], time.Duration(0)
		w.dials[address]++
		if random := w.actorRand(address, w.dials[address]); a == nil && w.maxDialDelay > 0 &&
			random.IntN(3) == 0 {
			delay = time.Duration(random.Int64N(int64(w.maxDialDelay)))
		}
		w.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if process != w.processNumber {
			return nil, errors.New("this process has ended")
		}
		nodeEnd, serverEnd := net.Pipe()
		w.conns[serverEnd] = true
		if a != nil {
			go a.serve(serverEnd)
		} else {
			go w.serveServer(address[:2], serverEnd)
		}
		return nodeEnd, nil
	}
}

// firstByteConn records when a request's first byte arrived.
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

// serveServer simulates a server. It serves the requests on one connection, or rejects them if it is not
// ready.
func (w *simulation) serveServer(id string, c net.Conn) {
	defer c.Close()
	firstByte := &firstByteConn{Conn: c}
	in := bufio.NewReader(firstByte)
	for {
		firstByte.waiting = true
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
		w.record(firstByte.at, invariants.Event{Kind: invariants.AttemptSent, Request: request, Server: id,
			Attempt: n})
		runs, result := time.Duration(5e6+w.actorRand(request, uint64(n)).Int64N(6e7)), "settled"
		if w.serverStates[id] != "Ready" {
			runs, result = 0, "full"
		}
		w.mu.Unlock()
		time.Sleep(runs)
		w.mu.Lock()
		w.record(time.Now(), invariants.Event{Kind: invariants.AttemptEnded, Request: request, Attempt: n,
			Result: result})
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
	node  *routing.Router
	ctx   context.Context
	kill  context.CancelFunc
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	names *protocol.Names
}

// startProcess starts a process of the node with an initial endpoint list.
func (w *simulation) startProcess(c *config.Node, initialList string) *nodeProcess {
	w.mu.Lock()
	w.processNumber++
	p := &nodeProcess{dial: w.dial(w.processNumber), names: c.Names}
	for _, a := range w.agents {
		a.assumedAt, a.sentVersion = time.Time{}, 0
		clear(a.assumedEvents)
	}
	w.currentAgent.becomeCurrent(time.Now())
	w.mu.Unlock()
	p.ctx, p.kill = context.WithCancel(w.t.Context())
	client := NewServerClient(NewConnectionBudget(256), c.DialTimeout, c.IdleTimeout,
		c.LoadReportKeys, func() {})
	client.dialer.dialContext = p.dial
	list, err := protocol.DecodeEndpointList([]byte(initialList), c.Names)
	if err != nil {
		w.t.Fatal(err)
	}
	p.node = routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             w.rand.Uint64(),
		InitialEndpoints: list,
		Forwarder:        client,
		ProbeTimeout:     c.ProbeTimeout,
		EndpointSource:   p.discovery("one:1"),
		Log:              zerolog.Nop(),
	})
	go p.node.WatchEndpoints(p.ctx)
	return p
}

func (p *nodeProcess) discovery(address string) *DiscoveryClient {
	d := NewDiscoveryClient(address, p.names)
	d.transport.(*http.Transport).DialContext = p.dial
	return d
}

// killProcess kills the process: its connections are closed, and it sends nothing afterwards.
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

// loadConfig returns the configuration of a node from the text of its file.
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
