// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Send sends one job to the node and returns the status of the response, or 0 if there was none. The path
// of the target is the class of the job; the query parameter "from" is the tenant.
func (n *Node) Send(id, target string, budget time.Duration) int {
	// The socket for clients stays open while the node has no process. Without a time-out a connection that
	// no process accepts would block the client forever.
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	request, err := n.newRequest(ctx, id, target, budget)
	if err != nil {
		n.cluster.Error(err)
		return 0
	}
	response, err := n.cluster.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // otherwise the connection is not reused
	return response.StatusCode
}

// newRequest returns the request for one job.
func (n *Node) newRequest(
	ctx context.Context,
	id, target string,
	budget time.Duration,
) (*http.Request, error) {
	// http.Client can't rewind a body of this type, so it never resends the request by itself.
	body := io.NopCloser(strings.NewReader("b"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Listen+target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = 1
	class, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	request.Header = http.Header{
		"X-Call-Id":    {id},
		"X-Call-Class": {class},
		"X-Budget-Ms":  {fmt.Sprint(budget.Milliseconds())},
	}
	if tenant := request.URL.Query().Get("from"); tenant != "" {
		request.Header.Set("X-Caller", tenant)
	}
	if cost := n.cluster.plan.JobCost; cost > 0 {
		request.Header.Set("X-Call-Cost", fmt.Sprint(cost.Microseconds()))
	}
	return request, nil
}

// StartLoad starts clients that send jobs to the node, each client one job at a time and at most one per
// pause. stop stops them and returns the number of responses by status.
func (n *Node) StartLoad(
	name, target string,
	clients int,
	pause, budget time.Duration,
) (stop func() (statuses map[int]int)) {
	l := &load{stopped: make(chan struct{}), statuses: map[int]int{}}
	for client := range clients {
		l.clients.Go(func() {
			l.run(pause, func(i int) int {
				return n.Send(fmt.Sprintf("%s-%s-%d-%d", name, n.Name, client, i), target, budget)
			})
		})
	}
	return l.stop
}

// SenderNode returns the name of the node that a job of StartLoad was sent to. The id of the job contains it.
func SenderNode(id string) string {
	if parts := strings.Split(id, "-"); len(parts) > 1 {
		return parts[1]
	}
	return ""
}

// load is a group of clients that send jobs to one node.
type load struct {
	clients sync.WaitGroup
	stopped chan struct{}

	mu       sync.Mutex
	statuses map[int]int
}

// run is one client. It calls send with consecutive job numbers, at most once per pause.
func (l *load) run(pause time.Duration, send func(i int) (status int)) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stopped:
			return
		case <-tick.C:
		}
		l.count(send(i))
	}
}

func (l *load) count(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

func (l *load) stop() map[int]int {
	close(l.stopped)
	l.clients.Wait()
	return l.statuses
}

// StopLoads stops several loads concurrently and returns, for each, the number of responses by status.
func StopLoads(stops []func() map[int]int) []map[int]int {
	statuses := make([]map[int]int, len(stops))
	var all sync.WaitGroup
	for i, stop := range stops {
		all.Go(func() { statuses[i] = stop() })
	}
	all.Wait()
	return statuses
}
