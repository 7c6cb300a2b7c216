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
	smallCoreShare    = 0.05                   // of a core
	requestRate       = 40.0                   // requests a second at each node
	clientBudget      = 2 * time.Second        // that clients wait
	smallNodes        = 3                      // processes; their settings tell of 300
	trafficTime       = 10 * time.Second       // of traffic
	answerSlack       = 500 * time.Millisecond // after a request's time in which an answer only earns nothing
	closedClientSlack = 100 * time.Millisecond // after a client's close in which an attempt may still begin
	socketSlack       = 50 * time.Millisecond  // by which each limit is longer on sockets
)

// releaseBinary is the program as operators build it: the race detector alone would use up a small share of a core.
var releaseBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "lean")
	out, err := exec.Command("go", "build", "-o", path, "fernrail/cmd/fernrail").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// clientRequest is one of a client's, on the cluster's clock.
type clientRequest struct {
	sent   int64
	ended  int64 // when its answer was there
	left   int64 // when its client closed; 0: it waited
	status int   // 0: no whole answer
}

// clientPool send requests to a node at moments drawn at random, whatever becomes of those before. One in ten
// leaves early.
type clientPool struct {
	*testcluster.Cluster
	mu   sync.Mutex
	all  map[string]*clientRequest
	wait sync.WaitGroup
	http *http.Client
}

func (c *clientPool) run(n *testcluster.Node, seed uint64, rate float64, until int64) {
	chance := rand.New(rand.NewPCG(seed, 2))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(chance.ExpFloat64() / rate * 1e9))
		if c.Now() >= until {
			return
		}
		patience := clientBudget + time.Second
		if chance.Float64() < 0.1 {
			patience = time.Duration(chance.Float64() * float64(clientBudget))
		}
		c.wait.Go(func() { c.send(n, fmt.Sprintf("size-%s-%d", n.Name, i), patience) })
	}
}

func (c *clientPool) send(n *testcluster.Node, id string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.Listen+"/look", io.NopCloser(strings.NewReader("b")))
	q.ContentLength = 1
	q.Header = http.Header{
		"X-Call-Id":    {id},
		"X-Call-Class": {"look"},
		"X-Budget-Ms":  {fmt.Sprint(clientBudget.Milliseconds())},
	}
	r := &clientRequest{sent: c.Now()}
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
	if err != nil && ctx.Err() != nil && patience < clientBudget {
		left = c.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status, r.ended, r.left = status, c.Now(), left
}

// TestManyServers: nodes with a small share of a core among 200 and 3,200 servers, of which half are replaced
// within seconds. Each request has its answer in time, no attempt begins for a client that has gone, and none goes
// to a server that drains.
func TestManyServers(t *testing.T) {
	used := map[int]time.Duration{}
	for _, servers := range []int{200, 3200} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			used[servers] = runScenario(t, scenario{
				servers: servers,
				rate:    requestRate,
				grace:   2 * time.Second,
				served:  0.3,
			})
		})
	}
	t.Logf("processor time of a node: %v with 200 servers, %v with 3,200", used[200], used[3200])
}

// TestShortOfProcessor: the same with several times the requests that a node's share of a core can serve; with a
// discovery that is out while half of 3,200 servers drain, and new configurations in quick succession; and with
// processes that stand still, one after the other, for longer than drains allow. What can't be served is shed, and
// no rule is broken.
func TestShortOfProcessor(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		runScenario(t, scenario{servers: 200, rate: 4 * requestRate, grace: 2 * time.Second, served: 0.05})
	})
	t.Run("outage and new configurations", func(t *testing.T) {
		reloads := func(r *testcluster.Cluster) {
			for range 20 {
				time.Sleep(300 * time.Millisecond)
				for _, n := range r.Nodes {
					n.Signal(syscall.SIGHUP)
				}
			}
		}
		runScenario(t, scenario{
			servers: 3200,
			rate:    requestRate / 2,
			grace:   2 * time.Second,
			served:  0.3,
			outage:  4 * time.Second,
			faults:  reloads,
		})
	})
	t.Run("stops", func(t *testing.T) {
		const still = 1300 * time.Millisecond
		stops := func(r *testcluster.Cluster) {
			for i := range 2 * smallNodes {
				time.Sleep(500 * time.Millisecond)
				r.Nodes[i%smallNodes].Pause(still)
				time.Sleep(still)
			}
		}
		runScenario(t, scenario{
			servers: 200,
			rate:    requestRate / 4,
			grace:   time.Second,
			served:  0.4,
			faults:  stops,
		})
	})
}

// scenario is what happens to nodes with a small share of a core.
type scenario struct {
	servers int
	rate    float64       // of requests a second at each node
	grace   time.Duration // of drains
	served  float64       // of all requests, at least
	outage  time.Duration // of discovery, from the start on; what it has at its end counts as told then
	faults  func(*testcluster.Cluster)
}

// runScenario plays a day and judges it; it gives the processor time that a node used.
func runScenario(t *testing.T, day scenario) time.Duration {
	program, err := releaseBinary()
	if err != nil {
		t.Fatal(err)
	}
	plan := fleetPlan(smallNodes, 0, day.servers)
	plan.Program, plan.Fleet, plan.Quiet, plan.StartNotices = []string{program}, nil, true, true
	plan.Cores, plan.Sockets, plan.ServeTime = smallCoreShare, 640, 100*time.Millisecond
	plan.Settings["ReplicasOfMe"] = 300
	plan.Settings["Rules"].(map[string]any)["DrainGrace"] = day.grace.Nanoseconds()
	plan.Settings["Extra"] = map[string]any{"TellsStart": true, "ClassStretch": []float64{2.5, 2.5}}
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
	}
	c := &clientPool{
		Cluster: r,
		all:     map[string]*clientRequest{},
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(c.http.CloseIdleConnections)
	until := r.Now() + int64(trafficTime)
	for i, n := range r.Nodes {
		c.wait.Go(func() { c.run(n, uint64(i+1), day.rate, until) })
	}
	if day.faults != nil {
		c.wait.Go(func() { day.faults(r) })
	}
	back := r.Now() + int64(day.outage)
	if day.outage > 0 {
		r.SetDiscoveryDown(true)
		c.wait.Go(func() {
			time.Sleep(day.outage)
			r.SetDiscoveryDown(false)
		})
	}
	// A tenth of the servers drains each second, five times.
	told := map[string]int64{}
	for part := range 5 {
		time.Sleep(time.Second)
		r.UpdateEndpoints(func(drained map[string]bool) {
			for i, e := range r.Servers {
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
		if q.status == 0 || q.ended-q.sent > int64(clientBudget+answerSlack+socketSlack) {
			lost++
		}
	}
	for _, e := range r.Servers {
		_, jobs := e.Received()
		for _, j := range jobs {
			if at := told[e.Name]; at > 0 && j.ArrivedAt > at+int64(day.grace+socketSlack) {
				drained++
			}
			if q := c.all[j.ID]; q.left > 0 && j.ArrivedAt > q.left+int64(closedClientSlack+socketSlack) {
				unasked++
			}
		}
	}
	var used time.Duration
	for _, n := range r.Nodes {
		used += n.ProcessorTime() / smallNodes
	}
	t.Logf("%d servers, %v requests a second: answers by status %v, the slowest after %v; a node used %v",
		day.servers, day.rate, statuses, time.Duration(slowest), used)
	if lost > 0 || unasked > 0 || drained > 0 {
		t.Errorf("%d requests lost, %d attempts begun for clients that had gone, %d at servers that drain",
			lost, unasked, drained)
	}
	if float64(statuses[200]) < day.served*float64(len(c.all)) {
		t.Errorf("%d of %d requests served", statuses[200], len(c.all))
	}
	return used
}
