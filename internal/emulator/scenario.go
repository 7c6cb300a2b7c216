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

// Duration is a time with its unit in the file, such as "20ms".
type Duration int64

// UnmarshalText reads a span; a figure without a unit is a fault.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"20ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// Scenario is a whole world and what happens in it. docs/emulator.md has each key.
type Scenario struct {
	Length       Duration      `toml:"length"` // of the run
	WarmUp       Duration      `toml:"warm"`   // from when figures count
	Fleet        Fleet         `toml:"fleet"`
	MachineTypes []MachineType `toml:"kind"`
	Network      Network       `toml:"network"`
	Discovery    Discovery     `toml:"discovery"`
	Rules        Rules         `toml:"rules"`
	Clients      Clients       `toml:"clients"`
	Classes      []Class       `toml:"scheme"`
	Tenants      []Tenant      `toml:"tenant"`
	Faults       []Fault       `toml:"fault"`
	Leases       Leases        `toml:"leases"`
	Subset       Subset        `toml:"subset"`
}

// Fleet is how many there are of what, spread evenly over the zones.
type Fleet struct {
	Nodes        int      `toml:"nodes"`
	Servers      int      `toml:"executors"`
	Zones        []string `toml:"zones"`
	Tick         Duration `toml:"tick"`     // in which a node handles what has come in
	DecisionTime Duration `toml:"decision"` // processor time of a node for each event
}

// MachineType is a kind of executor.
type MachineType struct {
	Name           string   `toml:"name"`
	Share          float64  `toml:"share"` // of the executors
	Slots          int      `toml:"slots"`
	Cores          float64  `toml:"cores"` // running slots beyond it share them
	Speed          float64  `toml:"speed"` // of a core, one is the yardstick
	SpeedSpread    float64  `toml:"spread"`
	QueueLimit     int      `toml:"queue"`       // jobs that may wait
	MaxConnections int      `toml:"connections"` // that it holds
	HandshakeWork  Duration `toml:"handshake"`   // work of a new one
	Cancel         string   `toml:"cancel"`      // what a cancel stops: none, queued, all
}

// Network is the network; delays are one way.
type Network struct {
	SameZoneDelay  Duration `toml:"same"`
	CrossZoneDelay Duration `toml:"cross"`
	Jitter         float64  `toml:"jitter"` // mean of what comes on top, as a share
	Loss           float64  `toml:"loss"`   // of messages
	DialTimeout    Duration `toml:"dial"`   // after which a silent one counts as not there
	IdleTimeout    Duration `toml:"idle"`   // how long an unused connection stays
}

// Discovery is how discovery tells of executors.
type Discovery struct {
	NoticeDelay Duration `toml:"notice"` // until a change is known to it
	NotifyDelay Duration `toml:"spread"` // until it has told all nodes
	Loss        float64  `toml:"loss"`   // of tellings, which are made good a notice later
}

// Rules are the figures that nodes and judge are handed.
type Rules struct {
	Slack            Duration `toml:"slack"` // after its expiry in which a final answer still counts
	DrainGrace       Duration `toml:"grace"`
	SlowStart        Duration `toml:"cold"`
	SlowStartShare   float64  `toml:"cold_share"`
	OverloadWindow   Duration `toml:"fall"`
	OverloadFactor   float64  `toml:"fall_multiple"`
	MaxAttempts      int      `toml:"postings"`
	AllowHedging     bool     `toml:"doubles"`
	StartNotices     bool     `toml:"started"` // executors tell when a job starts
	ProgressInterval Duration `toml:"progress"`
	MaxRetryAfter    Duration `toml:"return"` // longest advice that clients follow
}

// Clients is the clients: an open loop, so that arrivals wait for nothing.
type Clients struct {
	Rate            float64  `toml:"rate"` // first tries a second
	ZoneSkew        float64  `toml:"skew"` // part of the traffic that is the first zone's beyond an even share
	Retries         int      `toml:"retries"`
	Backoff         Duration `toml:"backoff"`
	RetryAfterShare float64  `toml:"follow"` // share that follows advice
	AffinityKeys    int      `toml:"keys"`
	WorkHints       bool     `toml:"hints"`
}

// Class is a kind of txn.
type Class struct {
	Name                string   `toml:"name"`
	Share               float64  `toml:"share"`
	MeanRuntime         Duration `toml:"run"`   // mean, on a core of speed one
	Distribution        string   `toml:"shape"` // exponential, fixed
	Slots               int      `toml:"slots"`
	LatencyObjective    Duration `toml:"sla"`
	ObjectivePerRuntime float64  `toml:"stretch"`
	Deadline            Duration `toml:"expiry"`
	Weight              float64  `toml:"value"`
	LateShare           float64  `toml:"late"`
	Idempotency         string   `toml:"effect"` // repeatable, referenced, once-only
	DedupWindow         Duration `toml:"memory"` // of a referenced one, which all executors share
}

// Tenant is a customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Fault is something that goes wrong for a while. Several may overlap.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	For      Duration `toml:"for"`
	Part     float64  `toml:"part"`     // of the executors, nodes or messages; drawn by chance, or a zone's where one is named
	Zone     string   `toml:"zone"`     // those of one zone in place of a part
	Strength float64  `toml:"strength"` // times slower, share that fails, times the traffic
	Class    string   `toml:"scheme"`   // errors: of this scheme's txns alone
	Tenant   string   `toml:"tenant"`   // burst: of this one
	Interval Duration `toml:"again"`    // flap: from one fall to the next
}

// Read reads a scenario and checks it; an error names the place.
func Read(text []byte) (*Scenario, error) {
	s := &Scenario{WarmUp: Duration(5e9), Subset: Subset{MinNodesPerServer: 3, NoticeDelay: Duration(1e9)}, Leases: Leases{Mode: "turns", LeaseDuration: Duration(3e9), ClockMargin: 0.05},
		Fleet:     Fleet{Zones: []string{"a"}, Tick: Duration(1e6)},
		Network:   Network{SameZoneDelay: Duration(2e5), CrossZoneDelay: Duration(1e6), Jitter: 0.1, DialTimeout: Duration(25e7), IdleTimeout: Duration(10e9)},
		Discovery: Discovery{NoticeDelay: Duration(1e9), NotifyDelay: Duration(1e8)},
		Rules:     Rules{Slack: Duration(2e7), DrainGrace: Duration(1e9), SlowStart: Duration(8e9), SlowStartShare: 0.3, OverloadWindow: Duration(2e9), OverloadFactor: 3, MaxAttempts: 4, StartNotices: true, MaxRetryAfter: Duration(1e9)},
		Clients:   Clients{Backoff: Duration(5e7), RetryAfterShare: 0.5}}
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	err := in.Decode(s)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		row, _ := strict.Errors[0].Position()
		return nil, fmt.Errorf("line %d: unknown key %q", row, dottedKey(strict.Errors[0].Key()))
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		return nil, fmt.Errorf("line %d: %q: %w", row, dottedKey(wrong.Key()), err)
	case err != nil:
		return nil, err
	}
	var tree map[string]any
	if err = toml.Unmarshal(text, &tree); err == nil {
		err = checkUnits(tree, reflect.TypeFor[Scenario](), "")
	}
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}

// checkUnits refuses times that are told without a unit. Danger: the library takes a bare 40 for 40 ns.
func checkUnits(v any, t reflect.Type, at string) error {
	switch {
	case t == reflect.TypeFor[Duration]():
		if _, is := v.(string); !is {
			return fmt.Errorf("%s: %v has no unit, such as \"20ms\"", at, v)
		}
	case t.Kind() == reflect.Slice:
		list, _ := v.([]any)
		for i, inner := range list {
			if err := checkUnits(inner, t.Elem(), fmt.Sprintf("%s %d", at, i+1)); err != nil {
				return err
			}
		}
	case t.Kind() == reflect.Struct:
		table, _ := v.(map[string]any)
		for i := range t.NumField() {
			key := t.Field(i).Tag.Get("toml")
			if inner, told := table[key]; told {
				if err := checkUnits(inner, t.Field(i).Type, strings.TrimPrefix(at+": "+key, ": ")); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func dottedKey(key toml.Key) string {
	out := ""
	for i, part := range key {
		if i > 0 {
			out += "."
		}
		out += part
	}
	return out
}

func idempotencyOf(word string) dispatch.Idempotency {
	return dispatch.Idempotency(slices.Index([]string{"repeatable", "referenced", "once-only"}, word))
}
