// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"sync"
	"time"
)

// since gives the jobs that came to an executor since a moment, the latest first.
func (e *Executor) since(at int64) (jobs []Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.Jobs) - 1; i >= 0 && e.Jobs[i].At >= at; i-- {
		jobs = append(jobs, e.Jobs[i])
	}
	return jobs
}

// Heard counts what arrived since: the fewest and most nodes that any executor heard of, and the fewest and most jobs that any
// had, as shares of the mean.
func (r *Rig) Heard(since int64) (fewest, most int, idlest, busiest float64) {
	all, counts := 0, make([]int, len(r.Executors))
	for i, e := range r.Executors {
		from, jobs := map[string]bool{}, e.since(since)
		for _, j := range jobs {
			from[Sender(j.ID)] = true
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

// From are the executors that a node sent jobs to since.
func (r *Rig) From(node *Node, since int64) map[*Executor]bool {
	used := map[*Executor]bool{}
	for _, e := range r.Executors {
		for _, j := range e.since(since) {
			if Sender(j.ID) == node.Name {
				used[e] = true
			}
		}
	}
	return used
}

// Sent counts the jobs that came to an executor since, of all nodes but one.
func (r *Rig) Sent(e *Executor, since int64, but string) (count int) {
	for _, j := range e.since(since) {
		if Sender(j.ID) != but {
			count++
		}
	}
	return count
}

// Pass lets traffic run for so long.
func (r *Rig) Pass(span time.Duration) {
	r.Helper()
	from := r.Now()
	r.Until("some time has passed", 2*span+10*time.Second, func() bool { return r.Now()-from >= int64(span) })
}

// End ends all of some traffic at once, and gives the statuses of the answers to each part of it.
func End(ends []func() map[int]int) []map[int]int {
	statuses := make([]map[int]int, len(ends))
	var all sync.WaitGroup
	for i, end := range ends {
		all.Go(func() { statuses[i] = end() })
	}
	all.Wait()
	return statuses
}
