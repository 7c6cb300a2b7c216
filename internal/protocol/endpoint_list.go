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

// ErrNoEndpointList means that discovery processed a poll and responded without an endpoint list. It must not
// be polled again immediately. A poll that got no response, or an unreadable one, does not count as
// processed.
var ErrNoEndpointList = errors.New("no endpoint list in the response")

// MaxEndpointListBytes is the maximum size of an encoded endpoint list. Several thousand servers fit.
const MaxEndpointListBytes = 4 << 20

const (
	// entriesPerYield is the number of entries that are decoded before other goroutines may run. A
	// process that has only a fraction of a core takes hundreds of milliseconds to decode thousands of
	// entries, and all requests that arrive in the meantime would wait.
	entriesPerYield = 64
	// maxStartedMillis bounds the start time of a server, as Unix time in ms. It is later than any real
	// start time, and does not overflow when converted to nanoseconds.
	maxStartedMillis = 1 << 43
)

// EndpointList is the complete list of servers, or the changes to it.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID, Address             string
	State                   dispatch.EndpointState
	Zone, MachineType, Cell int     // Zone and MachineType are indexes into Names; -1: unknown name
	StartedAt               int64   // Unix time, ns; 0: long ago
	Capacity                float64 // the settings define the unit
}

var endpointStates = map[string]dispatch.EndpointState{
	"Ready":       dispatch.Up,
	"Terminating": dispatch.Draining,
	"Gone":        dispatch.Removed,
}

// discoveryEntry is one server as discovery encodes it.
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

// DecodeEndpointList decodes an endpoint list. An error in one entry fails the complete list, because a
// partial list would hide servers that are draining.
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

// listDecoder decodes a list token by token, so that other goroutines can run in between.
type listDecoder struct {
	in         *json.Decoder
	names      *Names
	version    *int64
	complete   *bool
	hasServers bool
	endpoints  []Endpoint
}

// decode decodes the text, which must be a single JSON object.
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
		return errors.New("unexpected data after the endpoint list")
	}
	return nil
}

// decodeField decodes one key with its value. Unknown keys are skipped.
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
		return fmt.Errorf("endpoint list: got token %v, want %v", got, want)
	}
	return nil
}

// endpoint validates an entry and returns its typed form.
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
		return Endpoint{}, fmt.Errorf("weight %v is not at least 0 and below %d", capacity, maxSlots)
	case e.StartedMillis < 0 || e.StartedMillis > maxStartedMillis:
		return Endpoint{}, fmt.Errorf("started_ms %d is not between 0 and %d",
			e.StartedMillis, int64(maxStartedMillis))
	}
	return Endpoint{
		ID:          e.ID,
		Address:     e.Address,
		State:       state,
		Zone:        slices.Index(names.Zones, e.Zone),
		MachineType: slices.Index(names.MachineTypes, e.MachineType),
		Cell:        e.Cell,
		StartedAt:   e.StartedMillis * int64(time.Millisecond),
		Capacity:    capacity,
	}, nil
}
