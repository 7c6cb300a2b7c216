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

// endpointList is the list; after is the version that whoever asks has, from which on changes count. Under mu.
func (r *Cluster) endpointList(after int64) map[string]any {
	servers := []map[string]any{}
	started := int64(0)
	if !r.plan.ServersStarted.IsZero() {
		started = r.plan.ServersStarted.UnixMilli()
	}
	for _, e := range r.Servers {
		if after > 0 && r.changedIn[e.Name] <= after {
			continue
		}
		state := "Ready"
		if r.drained[e.Name] {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{"id": e.Name, "addr": e.address, "zone": "a", "kind": "m", "state": state, "weight": 1, "started_ms": started})
	}
	return map[string]any{"version": r.version, "full": true, "servers": servers}
}

func (r *Cluster) serveDiscovery(out http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polls = append(r.polls, r.Now()); r.discoveryDown {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	since := q.URL.Query().Get("since")
	after, _ := strconv.ParseInt(since, 10, 64)
	list := r.endpointList(after)
	if since != "" {
		list["full"] = false
	}
	if since == fmt.Sprint(r.version) {
		wait, _ := time.ParseDuration(q.URL.Query().Get("timeout_ms") + "ms")
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-changed:
		case <-q.Context().Done():
		}
		if r.mu.Lock(); r.version == list["version"] {
			list["servers"] = []any{}
		} else {
			list = r.endpointList(after)
			list["full"] = false
		}
	}
	json.NewEncoder(out).Encode(list)
}

// UpdateEndpoints has discovery tell all who wait of a next version; change is made before it, under the list's lock.
func (r *Cluster) UpdateEndpoints(change func(drained map[string]bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := maps.Clone(r.drained)
	change(r.drained)
	r.version++
	for _, e := range r.Servers {
		if r.drained[e.Name] != was[e.Name] {
			r.changedIn[e.Name] = r.version
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDiscoveryDown has discovery answer that it can't, or serve again.
func (r *Cluster) SetDiscoveryDown(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryDown = yes
}

// Polls for the list so far.
func (r *Cluster) Polls() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}
