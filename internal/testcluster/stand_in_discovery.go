// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// endpointList is the list of servers in the form of discovery and of a node's file. after is the version that the
// caller has: only later changes are listed; 0: all. The caller holds mu.
func (c *Cluster) endpointList(after int64) map[string]any {
	started := int64(0)
	if !c.plan.ServersStarted.IsZero() {
		started = c.plan.ServersStarted.UnixMilli()
	}
	servers := []map[string]any{}
	for _, s := range c.Servers {
		if after > 0 && c.changedIn[s.Name] <= after {
			continue
		}
		state := "Ready"
		if c.drained[s.Name] {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{
			"id":         s.Name,
			"addr":       s.address,
			"zone":       "a",
			"kind":       "m",
			"state":      state,
			"weight":     1,
			"started_ms": started,
		})
	}
	return map[string]any{"version": c.version, "full": true, "servers": servers}
}

// serveDiscovery answers a poll with the whole list, or with what has changed since a version, for which it waits.
func (c *Cluster) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls = append(c.polls, c.Now())
	if c.discoveryDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	since := r.URL.Query().Get("since")
	after, _ := strconv.ParseInt(since, 10, 64) // absent: 0
	list := c.endpointList(after)
	if since == fmt.Sprint(c.version) {
		list = c.waitForChange(r, list, after)
	}
	if since != "" {
		list["full"] = false
	}
	_ = json.NewEncoder(w).Encode(list) // fails where the node has gone
}

// waitForChange returns the changes after a version as soon as there are some, and otherwise the list without
// servers when the poll's wait is over. The caller holds mu, which is released meanwhile.
func (c *Cluster) waitForChange(r *http.Request, list map[string]any, after int64) map[string]any {
	wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms") // absent: 0
	changed := c.changed
	c.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-changed:
	case <-r.Context().Done():
	}
	c.mu.Lock()
	if c.version == list["version"] {
		list["servers"] = []any{}
		return list
	}
	return c.endpointList(after)
}

// UpdateEndpoints makes a next version of the list, of which discovery notifies all that wait. change sets the
// servers that drain, by name.
func (c *Cluster) UpdateEndpoints(change func(drained map[string]bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := maps.Clone(c.drained)
	change(c.drained)
	c.version++
	for _, s := range c.Servers {
		if c.drained[s.Name] != before[s.Name] {
			c.changedIn[s.Name] = c.version
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDiscoveryDown has discovery answer that it can't, or serve again.
func (c *Cluster) SetDiscoveryDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discoveryDown = down
}

// Polls returns when discovery was polled, so far.
func (c *Cluster) Polls() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.polls)
}
