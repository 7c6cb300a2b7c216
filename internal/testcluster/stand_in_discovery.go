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

// endpointList returns the list of servers in the format of discovery and of a node's configuration. after
// is the version that the client has: only servers changed later are listed; 0 lists all. The caller must
// hold mu.
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

// serveDiscovery responds to a poll with the full list, or with the changes since a version. If there are
// none, it waits for a change.
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
	_ = json.NewEncoder(w).Encode(list) // fails if the node has disconnected
}

// waitForChange returns the changes after a version as soon as there are any. If the poll times out first,
// it returns the list without servers. The caller must hold mu, which is released during the wait.
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

// UpdateEndpoints publishes the next version of the list and notifies all waiting polls. change modifies
// the set of draining servers, by name.
func (c *Cluster) UpdateEndpoints(change func(drained map[string]bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := maps.Clone(c.drained)
	change(c.drained)
	c.version++
	for _, s := range c.Servers {
		if c.drained[s.Name] != previous[s.Name] {
			c.changedIn[s.Name] = c.version
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDiscoveryDown makes discovery respond with 503, or serve again.
func (c *Cluster) SetDiscoveryDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discoveryDown = down
}

// Polls returns the times, on the cluster's clock, at which discovery was polled so far.
func (c *Cluster) Polls() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.polls)
}
