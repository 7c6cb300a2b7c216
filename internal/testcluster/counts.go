// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"cmp"
	"slices"
	"time"
)

// Spread describes how evenly nodes and jobs are distributed over the servers.
type Spread struct {
	MinNodes int     // minimum over all servers of the nodes that sent jobs to a server
	MaxNodes int     // maximum over all servers of the nodes that sent jobs to a server
	MinJobs  float64 // jobs of the least used server, divided by the mean
	MaxJobs  float64 // jobs of the most used server, divided by the mean
}

// Spread returns the distribution of the jobs that have arrived since a time of the cluster's clock.
func (c *Cluster) Spread(since int64) Spread {
	var spread Spread
	total := 0
	counts := make([]int, len(c.Servers))
	for i, s := range c.Servers {
		jobs := s.jobsSince(since)
		nodes := len(senders(jobs))
		counts[i] = len(jobs)
		total += len(jobs)
		if i == 0 || nodes < spread.MinNodes {
			spread.MinNodes = nodes
		}
		spread.MaxNodes = max(spread.MaxNodes, nodes)
	}
	mean := max(float64(total)/float64(len(counts)), 1e-9) // without jobs both quotients are 0
	spread.MinJobs = float64(slices.Min(counts)) / mean
	spread.MaxJobs = float64(slices.Max(counts)) / mean
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

// ServersUsedBy returns the servers that a node has sent jobs to since a time of the cluster's clock.
func (c *Cluster) ServersUsedBy(node *Node, since int64) map[*StandInServer]bool {
	used := map[*StandInServer]bool{}
	for _, s := range c.Servers {
		if senders(s.jobsSince(since))[node.Name] {
			used[s] = true
		}
	}
	return used
}

// JobsNotFrom counts the jobs that have arrived at a server since a given time from all nodes except one.
func (c *Cluster) JobsNotFrom(s *StandInServer, since int64, excluded string) (count int) {
	for _, j := range s.jobsSince(since) {
		if SenderNode(j.ID) != excluded {
			count++
		}
	}
	return count
}

// MaxInWindow returns the maximum number of timestamps within any window of the given length. The timestamps
// must be in ascending order.
func MaxInWindow(timestamps []int64, window time.Duration) (maximum int) {
	from := 0
	for to := range timestamps {
		for timestamps[to]-timestamps[from] >= int64(window) {
			from++
		}
		maximum = max(maximum, to-from+1)
	}
	return maximum
}

// MaxConcurrentJobs returns the maximum number of jobs of one tenant that ran at the same time on all servers
// together.
func (c *Cluster) MaxConcurrentJobs(tenant string) (maxJobs int) {
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
	// At equal times ends come before starts.
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.count, b.count))
	})
	current := 0
	for _, change := range changes {
		current += change.count
		maxJobs = max(maxJobs, current)
	}
	return maxJobs
}
