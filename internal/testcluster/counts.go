// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"slices"
	"time"
)

// Spread says how evenly nodes and jobs are spread over the servers.
type Spread struct {
	FewestNodes int     // that any server had jobs from
	MostNodes   int     // that any server had jobs from
	LeastWork   float64 // the fewest jobs that any server had, as a share of the mean
	MostWork    float64 // the most jobs that any server had, as a share of the mean
}

// Spread returns the spread of the jobs that have arrived since a moment.
func (c *Cluster) Spread(since int64) Spread {
	var spread Spread
	total := 0
	counts := make([]int, len(c.Servers))
	for i, s := range c.Servers {
		jobs := s.jobsSince(since)
		nodes := len(senders(jobs))
		counts[i] = len(jobs)
		total += len(jobs)
		if i == 0 || nodes < spread.FewestNodes {
			spread.FewestNodes = nodes
		}
		spread.MostNodes = max(spread.MostNodes, nodes)
	}
	mean := max(float64(total)/float64(len(counts)), 1e-9) // without jobs the shares are 0
	spread.LeastWork = float64(slices.Min(counts)) / mean
	spread.MostWork = float64(slices.Max(counts)) / mean
	return spread
}

// senders returns the names of the nodes that sent jobs.
func senders(jobs []Job) map[string]bool {
	names := map[string]bool{}
	for _, j := range jobs {
		names[SenderNode(j.ID)] = true
	}
	return names
}

// ServersUsedBy returns the servers that a node has sent jobs to since a moment.
func (c *Cluster) ServersUsedBy(node *Node, since int64) map[*StandInServer]bool {
	used := map[*StandInServer]bool{}
	for _, s := range c.Servers {
		if senders(s.jobsSince(since))[node.Name] {
			used[s] = true
		}
	}
	return used
}

// JobsNotFrom counts the jobs that have arrived at a server since a moment from all nodes but one.
func (c *Cluster) JobsNotFrom(s *StandInServer, since int64, excluded string) (count int) {
	for _, j := range s.jobsSince(since) {
		if SenderNode(j.ID) != excluded {
			count++
		}
	}
	return count
}

// MaxInWindow returns the most of these moments that lie within any window of a length. They must be in order.
func MaxInWindow(moments []int64, window time.Duration) (most int) {
	from := 0
	for to := range moments {
		for moments[to]-moments[from] >= int64(window) {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// MaxConcurrentJobs returns the most jobs of one tenant that all servers together had at any moment.
func (c *Cluster) MaxConcurrentJobs(tenant string) (most int) {
	type change struct {
		at    int64
		count int
	}
	var changes []change
	for _, s := range c.Servers {
		_, jobs := s.Received()
		for _, j := range jobs {
			if j.Tenant == tenant {
				changes = append(changes, change{j.ArrivedAt, 1}, change{cmp.Or(j.EndedAt, c.Now()), -1})
			}
		}
	}
	// Of one moment those that end come first.
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.count, b.count))
	})
	current := 0
	for _, change := range changes {
		current += change.count
		most = max(most, current)
	}
	return most
}
