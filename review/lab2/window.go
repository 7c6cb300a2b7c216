// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	memorySpan = 2 * time.Second // settings: how long a group remembers a request
	// memorySlack is what the pages add to a time limit: 50 ms on sockets, and 150 ms for a node that is held
	// up between reading its clock and writing.
	memorySlack = 200 * time.Millisecond
	// resetAfter is the age of a job at which its connection is reset.
	resetAfter = 1500 * time.Millisecond
	// lateFor is how long the executors leave new connections without an answer after the reset. A peer asks
	// again after a second, so its connection comes up about 1.0 s late.
	lateFor = 500 * time.Millisecond
	// bookings is the number of requests of the class with a memory.
	bookings = 6
	// ordinaryPause is the time between two requests of the other class.
	ordinaryPause = 60 * time.Millisecond
)

// memoryGroup is a group of executors that drops the repeats of a request for memorySpan after its first
// arrival.
type memoryGroup struct {
	rec       *record
	listeners []*lateListener
	resets    bool // connections are reset under bookings
	late      bool // new connections come up late for a while after a reset

	mu          sync.Mutex
	arrivals    map[string]time.Time // first arrival of a booking
	remembered  map[string]time.Time // when a booking was last run
	runs        map[string]int
	broken      []string
	connections int
	lateUntil   time.Time
}

// memoryExecutor is an executor of the group.
type memoryExecutor struct {
	group *memoryGroup
	name  string
}

// playWindow resets the connection of some requests while they run, so that the node repeats them inside
// their group. The disruption: connections are reset under requests that have begun, and the connections that
// the node makes then come up 1 s late. With TROUBLE=reset they come up in time.
func playWindow(p *platform) error {
	group := &memoryGroup{
		rec: p.rec, resets: p.trouble, late: p.trouble && os.Getenv("TROUBLE") != "reset",
		arrivals: map[string]time.Time{}, remembered: map[string]time.Time{}, runs: map[string]int{},
	}
	d, err := group.start(3)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	book := scheme("book", "deduplicated", 5*s)
	book["Group"] = "cell"
	book["MemorySpan"] = int64(memorySpan)
	settings := smallDeployment(1, scheme("render", "idempotent", 5*s), book)
	limits := settings["Limits"].(map[string]any)
	limits["DialTimeout"] = 1500 * ms
	limits["MayDuplicate"] = false
	settings["Rules"].(map[string]any)["DrainGrace"] = 3 * s
	_, listen, err := startSingleNode(p, d, settings)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { ordinaryClient(p.rec, listen, stop) })
	for number := range bookings {
		id := fmt.Sprintf("book-%d", number)
		p.rec.add("client: sends %s", id)
		got, _ := sendOnce(listen, id, "book", 5*time.Second)
		p.rec.add("client: %s gets %s", id, got)
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	return group.verdict()
}

// start starts the executors of the group, all in one cell.
func (g *memoryGroup) start(count int) (*discovery, error) {
	var listed []endpoint
	for i := range count {
		l, err := newLateListener()
		if err != nil {
			return nil, err
		}
		g.listeners = append(g.listeners, l)
		e := &memoryExecutor{group: g, name: fmt.Sprintf("s-%d", i)}
		server := &http.Server{Handler: e, ConnState: g.countConnection}
		go func() { _ = server.Serve(l) }()
		listed = append(listed, endpoint{ID: e.name, Addr: l.Addr().String(), Zone: zone, Kind: "std", Cell: 1,
			State: "Ready", Weight: 4})
	}
	return startDiscovery(listed)
}

func (g *memoryGroup) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.connections++
	}
}

// ServeHTTP runs a job. Executors close each connection after its answer.
func (e *memoryExecutor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Call-Id")
	if _, err := io.ReadAll(r.Body); id == "" || err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Connection", "close")
	tell := func(line string) {
		fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, e.name, line)
		_ = http.NewResponseController(w).Flush()
	}
	done := fmt.Sprintf(`"state":"done","result":"%s"`, id)
	if !strings.HasPrefix(id, "book") {
		tell(`"state":"started"`)
		time.Sleep(30 * time.Millisecond)
		tell(done)
		return
	}
	first, repeat := e.group.arrive(id, e.name)
	if repeat {
		tell(done) // the effect of the first run
		return
	}
	tell(`"state":"started"`)
	if !first || !e.group.resets {
		time.Sleep(100 * time.Millisecond)
		tell(done)
		return
	}
	time.Sleep(time.Second)
	tell(`"state":"running","share":0.5`)
	time.Sleep(resetAfter - time.Second)
	e.group.reset(w, id, e.name)
}

// arrive records the arrival of a booking. first reports that it is the first one, repeat that the group
// drops it as a repeat.
func (g *memoryGroup) arrive(id, executor string) (first, repeat bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	at, known := g.arrivals[id]
	if !known {
		g.arrivals[id] = now
		at = now
	}
	age := now.Sub(at)
	if known && age > memorySpan+memorySlack {
		g.broken = append(g.broken, fmt.Sprintf("%s was sent again %.3f s after its first attempt", id, age.Seconds()))
	}
	if last, ran := g.remembered[id]; ran && now.Sub(last) <= memorySpan {
		g.rec.add("executor %s: %s arrives %.3f s after the first time and is dropped as a repeat",
			executor, id, age.Seconds())
		return false, true
	}
	g.remembered[id] = now
	g.runs[id]++
	g.rec.add("executor %s: %s arrives %.3f s after the first time and runs, run %d",
		executor, id, age.Seconds(), g.runs[id])
	return !known, false
}

// reset resets the connection of a job that has begun. If new connections come up late, they do so for
// lateFor.
func (g *memoryGroup) reset(w http.ResponseWriter, id, executor string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if g.late {
		for _, l := range g.listeners {
			l.beginLate()
		}
		time.AfterFunc(lateFor, func() {
			for _, l := range g.listeners {
				l.endLate()
			}
			g.rec.add("executors: new connections come up again")
		})
		g.rec.add("executors: new connections come up late")
	}
	g.rec.add("executor %s: resets the connection of %s", executor, id)
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// verdict returns whether a booking was sent again after its group had forgotten it.
func (g *memoryGroup) verdict() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	twice := 0
	for _, runs := range g.runs {
		if runs > 1 {
			twice++
		}
	}
	g.rec.add("executors: %d of %d bookings ran twice", twice, len(g.runs))
	if len(g.broken) > 0 {
		return fmt.Errorf("%w: %s; %d ran twice", errBroken, strings.Join(g.broken, ", "), twice)
	}
	return nil
}

// ordinaryClient sends requests that may be repeated until stop is closed.
func ordinaryClient(rec *record, listen string, stop chan struct{}) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			rec.add("client: has sent %d ordinary requests", number)
			return
		case <-time.After(ordinaryPause):
		}
		sent.Go(func() {
			id := fmt.Sprintf("render-%d", number)
			if got, _ := sendOnce(listen, id, "render", 5*time.Second); got.status != http.StatusOK {
				rec.add("client: %s gets %s", id, got)
			}
		})
	}
}
