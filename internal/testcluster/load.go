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

// StopLoads ends all of some traffic at once, and gives the statuses of the answers to each part of it.
func StopLoads(ends []func() map[int]int) []map[int]int {
	statuses := make([]map[int]int, len(ends))
	var all sync.WaitGroup
	for i, end := range ends {
		all.Go(func() { statuses[i] = end() })
	}
	all.Wait()
	return statuses
}

// SenderNode is the node that a job of Load went through, by its id.
func SenderNode(id string) string {
	if parts := strings.Split(id, "-"); len(parts) > 1 {
		return parts[1]
	}
	return ""
}

// Send sends one job to the node, and gives the status of its answer; 0: there was none.
func (n *Node) Send(id, target string, budget time.Duration) int {
	// Danger: the node's socket is the rig's, so that the kernel takes connections for a process that is not there.
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.Listen+target, io.NopCloser(strings.NewReader("b")))
	if err != nil {
		n.cluster.Error(err)
		return 0
	}
	q.ContentLength = 1
	scheme, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	q.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {scheme}, "X-Budget-Ms": {fmt.Sprint(budget.Milliseconds())}}
	if from := q.URL.Query().Get("from"); from != "" {
		q.Header.Set("X-Caller", from)
	}
	if work := n.cluster.plan.JobCost; work > 0 {
		q.Header.Set("X-Call-Cost", fmt.Sprint(work.Microseconds()))
	}
	answer, err := n.cluster.client.Do(q)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// StartLoad has so many clients send jobs to the node, one after another with a pause, until the end of it.
func (n *Node) StartLoad(name, target string, clients int, pause, budget time.Duration) (end func() (statuses map[int]int)) {
	stop, all, statuses := make(chan struct{}), sync.WaitGroup{}, map[int]int{}
	var mu sync.Mutex
	for c := range clients {
		all.Go(func() {
			tick := time.NewTicker(pause)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				status := n.Send(fmt.Sprintf("%s-%s-%d-%d", name, n.Name, c, i), target, budget)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	return func() map[int]int {
		close(stop)
		all.Wait()
		return statuses
	}
}
