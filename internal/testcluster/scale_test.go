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

// Limits of the nodes and clients in these tests.
const (
	smallCoreShare    = 0.05                   // fraction of a core for each node
	requestRate       = 40.0                   // requests per second to each node
	clientBudget      = 2 * time.Second        // time that clients wait for a response
	smallNodes        = 3                      // number of node processes; their settings state 300
	loadTime          = 10 * time.Second       // duration of the load
	responseSlack     = 500 * time.Millisecond // after the budget; a response this late is not missed
	closedClientSlack = 100 * time.Millisecond // after the close by a client, for attempts to begin
	socketSlack       = 50 * time.Millisecond  // tolerance added to each limit, for delays of sockets
)

// releaseBinary builds the program without the race detector, which would use up a small fraction of a
// core, and returns its path.
var releaseBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "lean")
	output, err := exec.Command("go", "build", "-o", path, "fernrail/cmd/fernrail").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, output)
	}
	return path, err
})

// clientRequest records one request. Times are nanoseconds of the cluster's clock.
type clientRequest struct {
	sentAt   int64
	endedAt  int64 // arrival of the response, or failure of the request
	closedAt int64 // close by the client; 0: the client waited
	status   int   // 0: no complete response
}

// clientPool sends requests to nodes at random times, independent of the progress of earlier requests. One
// in ten clients closes its connection early.
type clientPool struct {
	*testcluster.Cluster
	mu       sync.Mutex
	requests map[string]*clientRequest
	running  sync.WaitGroup
	http     *http.Client
}

// run sends requests to a node until the given time, on average rate per second.
func (p *clientPool) run(n *testcluster.Node, seed uint64, rate float64, until int64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if p.Now() >= until {
			return
		}
		clientWait := clientBudget + time.Second
		if rng.Float64() < 0.1 {
			clientWait = time.Duration(rng.Float64() * float64(clientBudget))
		}
		p.running.Go(func() { p.send(n, fmt.Sprintf("size-%s-%d", n.Name, i), clientWait) })
	}
}

// send sends one request, waits for its response, and records the result. The client closes its connection
// after clientWait.
func (p *clientPool) send(n *testcluster.Node, id string, clientWait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.Listen+"/look",
		io.NopCloser(strings.NewReader("b")))
	request.ContentLength = 1
	request.Header = http.Header{
		"X-Call-Id":    {id},
		"X-Call-Class": {"look"},
		"X-Budget-Ms":  {fmt.Sprint(clientBudget.Milliseconds())},
	}
	record := &clientRequest{sentAt: p.Now()}
	p.mu.Lock()
	p.requests[id] = record
	p.mu.Unlock()
	status, closedAt := 0, int64(0)
	response, err := p.http.Do(request)
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		response.Body.Close()
	}
	if err != nil && ctx.Err() != nil && clientWait < clientBudget {
		closedAt = p.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	record.status, record.endedAt, record.closedAt = status, p.Now(), closedAt
}

// TestManyServers runs nodes with a small fraction of a core and 200 or 3,200 servers, of which half drain
// within seconds. Each request must get its response in time. No attempt may begin for a client that has
// closed its connection, or at a draining server.
func TestManyServers(t *testing.T) {
	processorTime := map[int]time.Duration{}
	for _, servers := range []int{200, 3200} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			processorTime[servers] = runScenario(t, scenario{
				servers:    servers,
				rate:       requestRate,
				drainGrace: 2 * time.Second,
				minServed:  0.3,
			})
		})
	}
	t.Logf("processor time of a node: %v with 200 servers, %v with 3,200",
		processorTime[200], processorTime[3200])
}

// TestProcessorShortage repeats the checks of TestManyServers in three cases: with several times the
// requests that a node can serve with its fraction of a core; with an outage of discovery while half of
// 3,200 servers drain, and frequent reloads of the configuration; and with processes that are stopped in
// turn for longer than the grace of drains. Nodes must shed the requests that they can't serve, and break
// no rule.
func TestProcessorShortage(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		runScenario(t, scenario{servers: 200, rate: 4 * requestRate, drainGrace: 2 * time.Second, minServed: 0.05})
	})
	t.Run("outage and reloads", func(t *testing.T) {
		reload := func(c *testcluster.Cluster) {
			for range 20 {
				time.Sleep(300 * time.Millisecond)
				for _, n := range c.Nodes {
					n.Signal(syscall.SIGHUP)
				}
			}
		}
		runScenario(t, scenario{
			servers:    3200,
			rate:       requestRate / 2,
			drainGrace: 2 * time.Second,
			minServed:  0.3,
			outage:     4 * time.Second,
			faults:     reload,
		})
	})
	t.Run("stops", func(t *testing.T) {
		const stopTime = 1300 * time.Millisecond
		pauseNodes := func(c *testcluster.Cluster) {
			for i := range 2 * smallNodes {
				time.Sleep(500 * time.Millisecond)
				c.Nodes[i%smallNodes].Pause(stopTime)
				time.Sleep(stopTime)
			}
		}
		runScenario(t, scenario{
			servers:    200,
			rate:       requestRate / 4,
			drainGrace: time.Second,
			minServed:  0.4,
			faults:     pauseNodes,
		})
	})
}

// scenario configures a run of nodes with a small fraction of a core.
type scenario struct {
	servers    int
	rate       float64       // requests per second to each node
	drainGrace time.Duration // time for which a draining server may still get attempts
	minServed  float64       // minimum fraction of requests with status 200
	outage     time.Duration // of discovery, from the start; drains during it count from its end
	faults     func(*testcluster.Cluster)
}

// runScenario runs a scenario, checks the result, and returns the mean processor time of a node.
func runScenario(t *testing.T, s scenario) time.Duration {
	program, err := releaseBinary()
	if err != nil {
		t.Fatal(err)
	}
	plan := fleetPlan(smallNodes, 0, s.servers)
	plan.Program, plan.Fleet, plan.Quiet, plan.StartNotices = []string{program}, nil, true, true
	plan.Cores, plan.Sockets, plan.ServeTime = smallCoreShare, 640, 100*time.Millisecond
	plan.Settings["ReplicasOfMe"] = 300
	plan.Settings["Rules"].(map[string]any)["DrainGrace"] = s.drainGrace.Nanoseconds()
	plan.Settings["Extra"] = map[string]any{"TellsStart": true, "ClassStretch": []float64{2.5, 2.5}}
	c := testcluster.New(t, plan)
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
	}
	clients := &clientPool{
		Cluster:  c,
		requests: map[string]*clientRequest{},
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(clients.http.CloseIdleConnections)
	until := c.Now() + int64(loadTime)
	for i, n := range c.Nodes {
		clients.running.Go(func() { clients.run(n, uint64(i+1), s.rate, until) })
	}
	if s.faults != nil {
		clients.running.Go(func() { s.faults(c) })
	}
	discoveryUpAt := c.Now() + int64(s.outage)
	if s.outage > 0 {
		c.SetDiscoveryDown(true)
		clients.running.Go(func() {
			time.Sleep(s.outage)
			c.SetDiscoveryDown(false)
		})
	}
	// Each second another tenth of the servers begins to drain, five times.
	drainedAt := map[string]int64{}
	for tenth := range 5 {
		time.Sleep(time.Second)
		c.UpdateEndpoints(func(drained map[string]bool) {
			for i, server := range c.Servers {
				if i%10 == tenth {
					drained[server.Name], drainedAt[server.Name] = true, max(c.Now(), discoveryUpAt)
				}
			}
		})
	}
	clients.running.Wait()
	statuses, missedResponses, attemptsAfterClose, attemptsAtDrained, maxResponseTime :=
		map[int]int{}, 0, 0, 0, int64(0)
	for _, request := range clients.requests {
		if request.closedAt > 0 {
			continue
		}
		statuses[request.status]++
		maxResponseTime = max(maxResponseTime, request.endedAt-request.sentAt)
		if request.status == 0 || request.endedAt-request.sentAt > int64(clientBudget+responseSlack+socketSlack) {
			missedResponses++
		}
	}
	for _, server := range c.Servers {
		_, jobs := server.Received()
		for _, j := range jobs {
			if at := drainedAt[server.Name]; at > 0 && j.ArrivedAt > at+int64(s.drainGrace+socketSlack) {
				attemptsAtDrained++
			}
			if request := clients.requests[j.ID]; request.closedAt > 0 &&
				j.ArrivedAt > request.closedAt+int64(closedClientSlack+socketSlack) {
				attemptsAfterClose++
			}
		}
	}
	var processorTime time.Duration
	for _, n := range c.Nodes {
		processorTime += n.ProcessorTime() / smallNodes
	}
	t.Logf("%d servers, %v requests/s: responses by status: %v, slowest response: %v,"+
		" processor time of a node: %v",
		s.servers, s.rate, statuses, time.Duration(maxResponseTime), processorTime)
	if missedResponses > 0 || attemptsAfterClose > 0 || attemptsAtDrained > 0 {
		t.Errorf("got %d requests without a response in time, %d attempts begun after the client closed,"+
			" %d attempts at drained servers; want none of each",
			missedResponses, attemptsAfterClose, attemptsAtDrained)
	}
	if float64(statuses[200]) < s.minServed*float64(len(clients.requests)) {
		t.Errorf("got %d of %d requests served, want at least a fraction of %.2f",
			statuses[200], len(clients.requests), s.minServed)
	}
	return processorTime
}
