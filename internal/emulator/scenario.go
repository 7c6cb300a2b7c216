// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fernrail/dispatch"
)

// Span is a time with its unit in the file, such as "20ms".
type Span int64

// UnmarshalText reads a span; a figure without a unit is a fault.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"20ms\"", text)
	}
	*s = Span(d)
	return nil
}

// Scenario is a whole world and what happens in it. docs/emulator.md has each key.
type Scenario struct {
	Length Span     `toml:"length"` // of the run
	Warm   Span     `toml:"warm"`   // from when figures count
	Fleet  Fleet    `toml:"fleet"`
	Kinds  []Kind   `toml:"kind"`
	Net    Net      `toml:"network"`
	Lists  Lists    `toml:"discovery"`
	Rules  Rules    `toml:"rules"`
	Crowd  Crowd    `toml:"clients"`
	Scheme []Scheme `toml:"scheme"`
	Tenant []Tenant `toml:"tenant"`
	Faults []Fault  `toml:"fault"`
	Leases Leases   `toml:"leases"`
	Subset Subset   `toml:"subset"`
}

// Fleet is how many there are of what, spread evenly over the zones.
type Fleet struct {
	Nodes     int      `toml:"nodes"`
	Executors int      `toml:"executors"`
	Zones     []string `toml:"zones"`
	Tick      Span     `toml:"tick"`     // in which a node handles what has come in
	Decision  Span     `toml:"decision"` // processor time of a node for each event
}

// Kind is a kind of executor.
type Kind struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"` // of the executors
	Slots       int     `toml:"slots"`
	Cores       float64 `toml:"cores"` // running slots beyond it share them
	Speed       float64 `toml:"speed"` // of a core, one is the yardstick
	Spread      float64 `toml:"spread"`
	Queue       int     `toml:"queue"`       // jobs that may wait
	Connections int     `toml:"connections"` // that it holds
	Handshake   Span    `toml:"handshake"`   // work of a new one
	Cancel      string  `toml:"cancel"`      // what a cancel stops: none, queued, all
}

// Net is the network; delays are one way.
type Net struct {
	Same   Span    `toml:"same"`
	Cross  Span    `toml:"cross"`
	Jitter float64 `toml:"jitter"` // mean of what comes on top, as a share
	Loss   float64 `toml:"loss"`   // of messages
	Dial   Span    `toml:"dial"`   // after which a silent one counts as not there
	Idle   Span    `toml:"idle"`   // how long an unused connection stays
}

// Lists is how discovery tells of executors.
type Lists struct {
	Notice Span    `toml:"notice"` // until a change is known to it
	Spread Span    `toml:"spread"` // until it has told all nodes
	Loss   float64 `toml:"loss"`   // of tellings, which are made good a notice later
}

// Rules are the figures that nodes and judge are handed.
type Rules struct {
	Slack        Span    `toml:"slack"` // after its expiry in which a final answer still counts
	Grace        Span    `toml:"grace"`
	Cold         Span    `toml:"cold"`
	ColdShare    float64 `toml:"cold_share"`
	Fall         Span    `toml:"fall"`
	FallMultiple float64 `toml:"fall_multiple"`
	Postings     int     `toml:"postings"`
	Doubles      bool    `toml:"doubles"`
	Started      bool    `toml:"started"` // executors tell when a job starts
	Progress     Span    `toml:"progress"`
	Return       Span    `toml:"return"` // longest advice that clients follow
}

// Crowd is the clients: an open loop, so that arrivals wait for nothing.
type Crowd struct {
	Rate    float64 `toml:"rate"` // first tries a second
	Skew    float64 `toml:"skew"` // part of the traffic that is the first zone's beyond an even share
	Retries int     `toml:"retries"`
	Backoff Span    `toml:"backoff"`
	Follow  float64 `toml:"follow"` // share that follows advice
	Keys    int     `toml:"keys"`
	Hints   bool    `toml:"hints"`
}

// Scheme is a kind of txn.
type Scheme struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`
	Run     Span    `toml:"run"`   // mean, on a core of speed one
	Shape   string  `toml:"shape"` // exponential, fixed
	Slots   int     `toml:"slots"`
	Sla     Span    `toml:"sla"`
	Stretch float64 `toml:"stretch"`
	Expiry  Span    `toml:"expiry"`
	Value   float64 `toml:"value"`
	Late    float64 `toml:"late"`
	Effect  string  `toml:"effect"` // repeatable, referenced, once-only
	Memory  Span    `toml:"memory"` // of a referenced one, which all executors share
}

// Tenant is a customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Fault is something that goes wrong for a while. Several may overlap.
type Fault struct {
	Kind     string  `toml:"kind"`
	At       Span    `toml:"at"`
	For      Span    `toml:"for"`
	Part     float64 `toml:"part"`     // of the executors, nodes or messages; drawn by chance, or a zone's where one is named
	Zone     string  `toml:"zone"`     // those of one zone in place of a part
	Strength float64 `toml:"strength"` // times slower, share that fails, times the traffic
	Scheme   string  `toml:"scheme"`   // errors: of this scheme's txns alone
	Tenant   string  `toml:"tenant"`   // burst: of this one
	Again    Span    `toml:"again"`    // flap: from one fall to the next
}

// Read reads a scenario and checks it; an error names the place.
func Read(text []byte) (*Scenario, error) {
	s := &Scenario{Warm: Span(5e9), Subset: Subset{Cover: 3, Notice: Span(1e9)}, Leases: Leases{Mode: "turns", Lease: Span(3e9), Margin: 0.05},
		Fleet: Fleet{Zones: []string{"a"}, Tick: Span(1e6)},
		Net:   Net{Same: Span(2e5), Cross: Span(1e6), Jitter: 0.1, Dial: Span(25e7), Idle: Span(10e9)},
		Lists: Lists{Notice: Span(1e9), Spread: Span(1e8)},
		Rules: Rules{Slack: Span(2e7), Grace: Span(1e9), Cold: Span(8e9), ColdShare: 0.3, Fall: Span(2e9), FallMultiple: 3, Postings: 4, Started: true, Return: Span(1e9)},
		Crowd: Crowd{Backoff: Span(5e7), Follow: 0.5}}
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	err := in.Decode(s)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		row, _ := strict.Errors[0].Position()
		return nil, fmt.Errorf("line %d: unknown key %q", row, keyOf(strict.Errors[0].Key()))
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		return nil, fmt.Errorf("line %d: %q: %w", row, keyOf(wrong.Key()), err)
	case err != nil:
		return nil, err
	}
	var tree map[string]any
	if err = toml.Unmarshal(text, &tree); err == nil {
		err = units(tree, reflect.TypeFor[Scenario](), "")
	}
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}

// units refuses times that are told without a unit. Danger: the library takes a bare 40 for 40 ns.
func units(v any, t reflect.Type, at string) error {
	switch {
	case t == reflect.TypeFor[Span]():
		if _, is := v.(string); !is {
			return fmt.Errorf("%s: %v has no unit, such as \"20ms\"", at, v)
		}
	case t.Kind() == reflect.Slice:
		list, _ := v.([]any)
		for i, inner := range list {
			if err := units(inner, t.Elem(), fmt.Sprintf("%s %d", at, i+1)); err != nil {
				return err
			}
		}
	case t.Kind() == reflect.Struct:
		table, _ := v.(map[string]any)
		for i := range t.NumField() {
			key := t.Field(i).Tag.Get("toml")
			if inner, told := table[key]; told {
				if err := units(inner, t.Field(i).Type, strings.TrimPrefix(at+": "+key, ": ")); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func keyOf(key toml.Key) string {
	out := ""
	for i, part := range key {
		if i > 0 {
			out += "."
		}
		out += part
	}
	return out
}

func effectOf(word string) dispatch.Idempotency {
	return dispatch.Idempotency(slices.Index([]string{"repeatable", "referenced", "once-only"}, word))
}
