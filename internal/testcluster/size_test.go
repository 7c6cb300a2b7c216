// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// What the nodes of these tests are held to.
const (
	sizeShare  = 0.05                   // of a core
	sizeRate   = 40.0                   // requests a second at each node
	sizeBudget = 2 * time.Second        // that clients wait
	sizeNodes  = 3                      // processes; their settings tell of 300
	sizeDay    = 10 * time.Second       // of traffic
	sizeSlack  = 500 * time.Millisecond // after a request's time in which an answer only earns nothing
	sizeLeft   = 100 * time.Millisecond // after a client's close in which an attempt may still begin
	sizeWire   = 50 * time.Millisecond  // by which each limit is longer on sockets
)

// lean is the program as operators build it: the race detector alone would use up a small share of a core.
var lean = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(program), "lean")
	out, err := exec.Command("go", "build", "-o", path, "fernrail/cmd/fernrail").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// request is one of a client's, on the rig's clock.
type request struct {
	sent   int64
	ended  int64 // when its answer was there
	left   int64 // when its client closed; 0: it waited
	status int   // 0: no whole answer
}

// clients send requests to a node at moments drawn at random, whatever becomes of those before. One in ten leaves early.
type clients struct {
	*testcluster.Rig
	mu   sync.Mutex
	all  map[string]*request
	wait sync.WaitGroup
	http *http.Client
}

func (c *clients) run(n *testcluster.Node, seed uint64, rate float64, until int64) {
	chance := rand.New(rand.NewPCG(seed, 2))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(chance.ExpFloat64() / rate * 1e9))
		if c.Now() >= until {
			return
		}
		patience := sizeBudget + time.Second
		if chance.Float64() < 0.1 {
			patience = time.Duration(chance.Float64() * float64(sizeBudget))
		}
		c.wait.Go(func() { c.send(n, fmt.Sprintf("size-%s-%d", n.Name, i), patience) })
	}
}

func (c *clients) send(n *testcluster.Node, id string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.Listen+"/look", io.NopCloser(strings.NewReader("b")))
	q.ContentLength = 1
	q.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {"look"}, "X-Budget-Ms": {fmt.Sprint(sizeBudget.Milliseconds())}}
	r := &request{sent: c.Now()}
	c.mu.Lock()
	c.all[id] = r
	c.mu.Unlock()
	status, left := 0, int64(0)
	answer, err := c.http.Do(q)
	if err == nil {
		if _, err = io.Copy(io.Discard, answer.Body); err == nil {
			status = answer.StatusCode
		}
		answer.Body.Close()
	}
	if err != nil && ctx.Err() != nil && patience < sizeBudget {
		left = c.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status, r.ended, r.left = status, c.Now(), left
}

// TestManyServers: nodes with a small share of a core among 200 and 3,200 servers, of which half are replaced within seconds. Each
// request has its answer in time, no attempt begins for a client that has gone, and none goes to a server that drains.
func TestManyServers(t *testing.T) {
	used := map[int]time.Duration{}
	for _, servers := range []int{200, 3200} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			used[servers] = shortOfProcessor(t, day{servers: servers, rate: sizeRate, grace: 2 * time.Second, served: 0.3})
		})
	}
	t.Logf("processor time of a node: %v with 200 servers, %v with 3,200", used[200], used[3200])
}

// TestShortOfProcessor: the same with several times the requests that a node's share of a core can serve; with a discovery that is out
// while half of 3,200 servers drain, and new configurations in quick succession; and with processes that stand still, one after the
// other, for longer than drains allow. What can't be served is shed, and no rule is broken.
func TestShortOfProcessor(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		shortOfProcessor(t, day{servers: 200, rate: 4 * sizeRate, grace: 2 * time.Second, served: 0.05})
	})
	t.Run("outage and new configurations", func(t *testing.T) {
		shortOfProcessor(t, day{servers: 3200, rate: sizeRate / 2, grace: 2 * time.Second, served: 0.3, outage: 4 * time.Second, trouble: func(r *testcluster.Rig) {
			for range 20 {
				time.Sleep(300 * time.Millisecond)
				for _, n := range r.Nodes {
					n.Signal(syscall.SIGHUP)
				}
			}
		}})
	})
	t.Run("stops", func(t *testing.T) {
		const still = 1300 * time.Millisecond
		shortOfProcessor(t, day{servers: 200, rate: sizeRate / 4, grace: time.Second, served: 0.4, trouble: func(r *testcluster.Rig) {
			for i := range 2 * sizeNodes {
				time.Sleep(500 * time.Millisecond)
				r.Nodes[i%sizeNodes].Stop(still)
				time.Sleep(still)
			}
		}})
	})
}

// day is what happens to nodes with a small share of a core.
type day struct {
	servers int
	rate    float64       // of requests a second at each node
	grace   time.Duration // of drains
	served  float64       // of all requests, at least
	outage  time.Duration // of discovery, from the start on; what it has at its end counts as told then
	trouble func(*testcluster.Rig)
}

// shortOfProcessor plays a day and judges it; it gives the processor time that a node used.
func shortOfProcessor(t *testing.T, day day) time.Duration {
	program, err := lean()
	if err != nil {
		t.Fatal(err)
	}
	plan := fleetPlan(sizeNodes, 0, day.servers)
	plan.Program, plan.Fleet, plan.Quiet, plan.Starts = []string{program}, nil, true, true
	plan.Cores, plan.Sockets, plan.Reply = sizeShare, 640, 100*time.Millisecond
	plan.Settings["ReplicasOfMe"] = 300
	plan.Settings["Rules"].(map[string]any)["DrainGrace"] = day.grace.Nanoseconds()
	plan.Settings["Extra"] = map[string]any{"TellsStart": true, "ClassStretch": []float64{2.5, 2.5}}
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
	}
	c := &clients{Rig: r, all: map[string]*request{}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	t.Cleanup(c.http.CloseIdleConnections)
	until := r.Now() + int64(sizeDay)
	for i, n := range r.Nodes {
		c.wait.Go(func() { c.run(n, uint64(i+1), day.rate, until) })
	}
	if day.trouble != nil {
		c.wait.Go(func() { day.trouble(r) })
	}
	back := r.Now() + int64(day.outage)
	if day.outage > 0 {
		r.Deafen(true)
		c.wait.Go(func() {
			time.Sleep(day.outage)
			r.Deafen(false)
		})
	}
	// A tenth of the servers drains each second, five times.
	told := map[string]int64{}
	for part := range 5 {
		time.Sleep(time.Second)
		r.News(func(drained map[string]bool) {
			for i, e := range r.Executors {
				if i%10 == part {
					drained[e.Name], told[e.Name] = true, max(r.Now(), back)
				}
			}
		})
	}
	c.wait.Wait()
	statuses, lost, unasked, drained, slowest := map[int]int{}, 0, 0, 0, int64(0)
	for _, q := range c.all {
		if q.left > 0 {
			continue
		}
		statuses[q.status]++
		slowest = max(slowest, q.ended-q.sent)
		if q.status == 0 || q.ended-q.sent > int64(sizeBudget+sizeSlack+sizeWire) {
			lost++
		}
	}
	for _, e := range r.Executors {
		_, jobs := e.Noted()
		for _, j := range jobs {
			if at := told[e.Name]; at > 0 && j.At > at+int64(day.grace+sizeWire) {
				drained++
			}
			if q := c.all[j.ID]; q.left > 0 && j.At > q.left+int64(sizeLeft+sizeWire) {
				unasked++
			}
		}
	}
	var used time.Duration
	for _, n := range r.Nodes {
		used += n.ProcessorTime() / sizeNodes
	}
	t.Logf("%d servers, %v requests a second: answers by status %v, the slowest after %v; a node used %v", day.servers, day.rate, statuses, time.Duration(slowest), used)
	if lost > 0 || unasked > 0 || drained > 0 {
		t.Errorf("%d requests lost, %d attempts begun for clients that had gone, %d at servers that drain", lost, unasked, drained)
	}
	if float64(statuses[200]) < day.served*float64(len(c.all)) {
		t.Errorf("%d of %d requests served", statuses[200], len(c.all))
	}
	return used
}
