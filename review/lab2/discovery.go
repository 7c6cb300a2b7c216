// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is an executor in the list of discovery.
type endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// discovery is a stand-in for the discovery agent of a node's machine.
type discovery struct {
	address string

	mu      sync.Mutex
	version int64
	servers []endpoint
	changed chan struct{} // closed at a change of the list, or when watches break; nil: nobody waits
	broken  bool          // why changed was closed: watches break
}

func startDiscovery(servers []endpoint) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: l.Addr().String(), version: 1, servers: servers}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// drain lets an executor drain.
func (d *discovery) drain(index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Answers that are being written hold the earlier list.
	d.servers = append([]endpoint{}, d.servers...)
	d.servers[index].State = "Terminating"
	d.version++
	d.notify(false)
}

// breakWatches closes the connections of all open watches.
func (d *discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notify(true)
}

// notify wakes the open watches. The caller holds mu.
func (d *discovery) notify(broken bool) {
	d.broken = broken
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// change returns a channel that is closed when watches are to be answered or to break.
func (d *discovery) change() (changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// isBroken reports whether watches were woken because they break.
func (d *discovery) isBroken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broken
}

// list returns the complete list in discovery's form.
func (d *discovery) list() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"version": d.version, "full": true, "servers": d.servers}
}

// ServeHTTP answers a call for the whole list at once, and a watch at the next change, or after its time with no
// changes.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	changed := d.change()
	answer := d.list()
	version := answer["version"].(int64)
	if since := r.URL.Query().Get("since"); since == strconv.FormatInt(version, 10) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-changed:
			if d.isBroken() {
				panic(http.ErrAbortHandler)
			}
			_ = json.NewEncoder(w).Encode(d.list())
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = map[string]any{"version": version, "full": false, "servers": []endpoint{}}
	}
	_ = json.NewEncoder(w).Encode(answer)
}
