// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one server in the list of discovery.
type Entry struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Discovery is a stand-in for the agent on the node's machine.
type Discovery struct {
	record  *Record
	mu      sync.Mutex
	version int64
	entries []Entry
	changed map[string]int64 // version of the latest change by id
	news    chan struct{}    // closed and replaced at each change
}

// NewDiscovery returns an agent that has the given servers.
func NewDiscovery(record *Record, entries ...Entry) *Discovery {
	return &Discovery{record: record, version: 1, entries: entries, changed: map[string]int64{},
		news: make(chan struct{})}
}

// Serve answers on a listener in the background.
func (d *Discovery) Serve(l net.Listener) {
	go func() { _ = http.Serve(l, d) }()
}

// SetState changes the state of a server.
func (d *Discovery) SetState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.entries {
		if d.entries[i].ID == id {
			d.entries[i].State = state
			d.changed[id] = d.version
		}
	}
	d.record.Add("discovery: %s is %s, version %d", id, state, d.version)
	close(d.news)
	d.news = make(chan struct{})
}

// Known returns the list in the form of the configuration.
func (d *Discovery) Known() Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Object{"version": d.version, "full": true, "servers": append([]Entry{}, d.entries...)}
}

// ServeHTTP answers a call for the list or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		d.answer(w, r, -1)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, news := d.version, d.news
		d.mu.Unlock()
		if version > since {
			d.answer(w, r, since)
			return
		}
		select {
		case <-news:
		case <-end:
			d.answer(w, r, since)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer sends the entries that changed after a version, or the whole list for -1.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request, since int64) {
	d.mu.Lock()
	entries := []Entry{}
	for _, entry := range d.entries {
		if since < 0 || d.changed[entry.ID] > since {
			entries = append(entries, entry)
		}
	}
	text, _ := json.Marshal(Object{"version": d.version, "full": since < 0, "servers": entries})
	version := d.version
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
	d.record.Add("discovery: answered %s with version %d, %d entries", r.URL.RequestURI(), version, len(entries))
}
