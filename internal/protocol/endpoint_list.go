// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"time"

	"fernrail/dispatch"
)

// ErrNoNews says that discovery worked on a poll and had nothing to tell. It must not be polled
// again at once. Nobody worked on a poll that got no response, or one that can't be read.
var ErrNoNews = errors.New("nothing told")

// MaxEndpointListBytes bounds an endpoint list; some thousands of servers fit.
const MaxEndpointListBytes = 4 << 20

const (
	// entriesPerYield is how many entries are decoded until other goroutines may run. A process
	// with a small share of a core takes hundreds of milliseconds for a list of thousands, and all
	// that arrived meanwhile would wait for its end.
	entriesPerYield = 64
	// maxStartedMillis is beyond any start of a server, as Unix time, and far from overflow in
	// nanoseconds.
	maxStartedMillis = 1 << 43
)

// EndpointList is the complete list of servers, or what changed in it.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// Endpoint is a server as discovery lists it.
type Endpoint struct {
	ID, Address             string
	State                   dispatch.EndpointState
	Zone, MachineType, Cell int     // Zone and MachineType are indexes of Names; -1: not among them
	Started                 int64   // Unix time, ns; 0: long ago
	Capacity                float64 // what a unit is stands in the settings
}

var endpointStates = map[string]dispatch.EndpointState{
	"Ready":       dispatch.Up,
	"Terminating": dispatch.Draining,
	"Gone":        dispatch.Removed,
}

// discoveryEntry is one server as discovery writes it.
type discoveryEntry struct {
	ID            string   `json:"id"`
	Address       string   `json:"addr"`
	Zone          string   `json:"zone"`
	MachineType   string   `json:"kind"`
	Cell          int      `json:"cell"`
	State         string   `json:"state"`
	Capacity      *float64 `json:"weight"` // nil: 1
	StartedMillis int64    `json:"started_ms"`
}

// DecodeEndpointList decodes a list. An error in one entry fails all of it: a part of a list would
// hide servers that drain.
func DecodeEndpointList(text []byte, names *Names) (*EndpointList, error) {
	d := listDecoder{in: json.NewDecoder(bytes.NewReader(text)), names: names}
	if err := d.decode(); err != nil {
		return nil, err
	}
	if d.version == nil || d.complete == nil || !d.hasServers {
		return nil, errors.New("version, full or servers is missing")
	}
	return &EndpointList{Version: *d.version, Complete: *d.complete, Endpoints: d.endpoints}, nil
}

// listDecoder decodes a list key by key, so that it can let other goroutines run in between.
type listDecoder struct {
	in         *json.Decoder
	names      *Names
	version    *int64
	complete   *bool
	hasServers bool
	endpoints  []Endpoint
}

// decode decodes the one object that the text has to be.
func (d *listDecoder) decode() error {
	if err := d.expect('{'); err != nil {
		return err
	}
	for d.in.More() {
		if err := d.decodeField(); err != nil {
			return err
		}
	}
	if err := d.expect('}'); err != nil {
		return err
	}
	if _, err := d.in.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the list")
	}
	return nil
}

// decodeField decodes one key with its value; unknown ones are skipped.
func (d *listDecoder) decodeField() error {
	key, err := d.in.Token()
	if err != nil {
		return err
	}
	switch key {
	case "version":
		return d.in.Decode(&d.version)
	case "full":
		return d.in.Decode(&d.complete)
	case "servers":
		d.hasServers = true
		return d.decodeServers()
	}
	var skipped json.RawMessage
	return d.in.Decode(&skipped)
}

func (d *listDecoder) decodeServers() error {
	if err := d.expect('['); err != nil {
		return err
	}
	d.endpoints = nil
	for i := 0; d.in.More(); i++ {
		if i%entriesPerYield == entriesPerYield-1 {
			runtime.Gosched()
		}
		var entry discoveryEntry
		if err := d.in.Decode(&entry); err != nil {
			return err
		}
		endpoint, err := entry.endpoint(d.names)
		if err != nil {
			return fmt.Errorf("servers.%d: %w", i, err)
		}
		d.endpoints = append(d.endpoints, endpoint)
	}
	return d.expect(']')
}

func (d *listDecoder) expect(want json.Delim) error {
	got, err := d.in.Token()
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("%v in place of %v", got, want)
	}
	return nil
}

// endpoint checks an entry and gives its typed form.
func (e *discoveryEntry) endpoint(names *Names) (Endpoint, error) {
	capacity := 1.0
	if e.Capacity != nil {
		capacity = *e.Capacity
	}
	state, known := endpointStates[e.State]
	_, _, addressErr := net.SplitHostPort(e.Address)
	switch {
	case e.ID == "":
		return Endpoint{}, errors.New("id is missing")
	case !known:
		return Endpoint{}, fmt.Errorf("unknown state %q", e.State)
	case addressErr != nil && state != dispatch.Removed:
		return Endpoint{}, fmt.Errorf("addr %q is not host:port", e.Address)
	case !(capacity >= 0 && capacity < maxSlots):
		return Endpoint{}, fmt.Errorf("weight %v is no size", capacity)
	case e.StartedMillis < 0 || e.StartedMillis > maxStartedMillis:
		return Endpoint{}, fmt.Errorf("started_ms %d is no time", e.StartedMillis)
	}
	return Endpoint{
		ID:          e.ID,
		Address:     e.Address,
		State:       state,
		Zone:        slices.Index(names.Zones, e.Zone),
		MachineType: slices.Index(names.MachineTypes, e.MachineType),
		Cell:        e.Cell,
		Started:     e.StartedMillis * int64(time.Millisecond),
		Capacity:    capacity,
	}, nil
}
