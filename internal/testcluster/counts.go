// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"sync"
	"time"
)

// jobsSince gives the jobs that came to an executor since a moment, the latest first.
func (e *StandInServer) jobsSince(at int64) (jobs []Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.jobs) - 1; i >= 0 && e.jobs[i].ArrivedAt >= at; i-- {
		jobs = append(jobs, e.jobs[i])
	}
	return jobs
}

// Spread counts what arrived since: the fewest and most nodes that any executor heard of, and the fewest and most jobs that any
// had, as shares of the mean.
func (r *Cluster) Spread(since int64) (fewest, most int, idlest, busiest float64) {
	all, counts := 0, make([]int, len(r.Servers))
	for i, e := range r.Servers {
		from, jobs := map[string]bool{}, e.jobsSince(since)
		for _, j := range jobs {
			from[SenderNode(j.ID)] = true
		}
		counts[i] = len(jobs)
		all += counts[i]
		if i == 0 || len(from) < fewest {
			fewest = len(from)
		}
		most = max(most, len(from))
	}
	mean := max(float64(all)/float64(len(counts)), 1e-9)
	idlest = float64(counts[0]) / mean
	for _, n := range counts {
		idlest, busiest = min(idlest, float64(n)/mean), max(busiest, float64(n)/mean)
	}
	return fewest, most, idlest, busiest
}

// ServersUsedBy are the executors that a node sent jobs to since.
func (r *Cluster) ServersUsedBy(node *Node, since int64) map[*StandInServer]bool {
	used := map[*StandInServer]bool{}
	for _, e := range r.Servers {
		for _, j := range e.jobsSince(since) {
			if SenderNode(j.ID) == node.Name {
				used[e] = true
			}
		}
	}
	return used
}

// JobsNotFrom counts the jobs that came to an executor since, of all nodes but one.
func (r *Cluster) JobsNotFrom(e *StandInServer, since int64, but string) (count int) {
	for _, j := range e.jobsSince(since) {
		if SenderNode(j.ID) != but {
			count++
		}
	}
	return count
}

// RunFor lets traffic run for so long.
func (r *Cluster) RunFor(span time.Duration) {
	r.Helper()
	from := r.Now()
	r.Until("some time has passed", 2*span+10*time.Second, func() bool { return r.Now()-from >= int64(span) })
}

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
