// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"slices"
	"time"
)

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

// MaxConcurrentJobs jobs of one tenant that were out at any moment, at all stand-ins together.
func (r *Cluster) MaxConcurrentJobs(tenant string) (most int) {
	type step struct {
		at int64
		by int
	}
	var steps []step
	for _, e := range r.Servers {
		_, jobs := e.Received()
		for _, j := range jobs {
			if j.Tenant == tenant {
				steps = append(steps, step{j.ArrivedAt, 1}, step{cmp.Or(j.EndedAt, r.Now()), -1})
			}
		}
	}
	// Of one moment those that end come first.
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	out := 0
	for _, s := range steps {
		out += s.by
		most = max(most, out)
	}
	return most
}

// MaxInWindow is the most of these moments that lie within any window of that length.
func MaxInWindow(at []int64, window time.Duration) (most int) {
	for from, to := 0, 0; to < len(at); to++ {
		for at[to]-at[from] >= int64(window) {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
