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

	"fernrail/dispatch"
)

// ErrNoNews says that discovery answered and told nothing. Whoever works on calls in vain is not to be called again at once;
// nobody worked on what got no answer, or what can't be read.
var ErrNoNews = errors.New("nothing told")

// EndpointList is the list of executors, or what changed in it.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// Endpoint is one executor as the list tells of it.
type Endpoint struct {
	ID, Address             string
	State                   dispatch.EndpointState
	Zone, MachineType, Cell int
	Started                 int64   // Unix time, ns; 0: long ago
	Capacity                float64 // the list's weight; what it means is in the settings
}

// MaxEndpointListBytes bounds the bytes of a list; some thousands of executors fit.
const MaxEndpointListBytes = 4 << 20

var endpointStates = map[string]dispatch.EndpointState{"Ready": dispatch.Up, "Terminating": dispatch.Draining, "Gone": dispatch.Removed}

// entriesPerYield is how many entries are decoded until other work of the process may go on. Danger: a list of thousands takes a node with a
// small share of a core hundreds of milliseconds, and all that came meanwhile waits for its end.
const entriesPerYield = 64

// discoveryEntry is one entry as discovery writes it.
type discoveryEntry struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    int      `json:"cell"`
	State   string   `json:"state"`
	Weight  *float64 `json:"weight"`
	Started int64    `json:"started_ms"`
}

// DecodeEndpointList decodes a list, entry by entry. A fault in one entry spoils the whole: half a list would hide executors that drain.
func DecodeEndpointList(text []byte, names *Names) (*EndpointList, error) {
	in := json.NewDecoder(bytes.NewReader(text))
	l := &EndpointList{}
	var version *int64
	var full *bool
	told := false // which servers
	if err := expectDelim(in, '{'); err != nil {
		return nil, err
	}
	for in.More() {
		key, err := in.Token()
		if err != nil {
			return nil, err
		}
		switch key {
		case "version":
			err = in.Decode(&version)
		case "full":
			err = in.Decode(&full)
		case "servers":
			told = true
			l.Endpoints, err = decodeEntries(in, names)
		default:
			var skipped json.RawMessage
			err = in.Decode(&skipped)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expectDelim(in, '}'); err != nil {
		return nil, err
	}
	if _, err := in.Token(); err != io.EOF {
		return nil, errors.New("something follows the list")
	}
	if version == nil || full == nil || !told {
		return nil, errors.New("version, full or servers is missing")
	}
	l.Version, l.Complete = *version, *full
	return l, nil
}

func expectDelim(in *json.Decoder, want json.Delim) error {
	got, err := in.Token()
	if err == nil && got != want {
		err = fmt.Errorf("%v in place of %v", got, want)
	}
	return err
}

func decodeEntries(in *json.Decoder, names *Names) (entries []Endpoint, err error) {
	if err := expectDelim(in, '['); err != nil {
		return nil, err
	}
	for i := 0; in.More(); i++ {
		if i%entriesPerYield == entriesPerYield-1 {
			runtime.Gosched()
		}
		var s discoveryEntry
		if err := in.Decode(&s); err != nil {
			return nil, err
		}
		e, err := s.endpoint(names)
		if err != nil {
			return nil, fmt.Errorf("servers.%d: %w", i, err)
		}
		entries = append(entries, e)
	}
	return entries, expectDelim(in, ']')
}

// endpoint checks what discovery tells of a server.
func (s *discoveryEntry) endpoint(names *Names) (Endpoint, error) {
	state, known := endpointStates[s.State]
	e := Endpoint{ID: s.ID, Address: s.Addr, State: state, Zone: slices.Index(names.Zones, s.Zone),
		MachineType: slices.Index(names.MachineTypes, s.Kind), Cell: s.Cell, Started: s.Started * 1e6, Capacity: 1}
	if s.Weight != nil {
		e.Capacity = *s.Weight
	}
	switch _, _, err := net.SplitHostPort(s.Addr); {
	case s.ID == "":
		return e, errors.New("id is missing")
	case !known:
		return e, fmt.Errorf("unknown state %q", s.State)
	case err != nil && state != dispatch.Removed:
		return e, fmt.Errorf("addr %q is not host:port", s.Addr)
	case !(e.Capacity >= 0 && e.Capacity < maxSlots):
		return e, fmt.Errorf("weight %v is no size", e.Capacity)
	case s.Started < 0 || s.Started > 1<<43:
		return e, fmt.Errorf("started_ms %d is no time", s.Started)
	}
	return e, nil
}
