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

// Duration is a duration in nanoseconds. Files have it with a unit, such as "20ms".
type Duration int64

// UnmarshalText decodes a duration. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q, want a number with a unit such as \"20ms\"", text)
	}
	*d = Duration(duration)
	return nil
}

// Scenario describes a fleet, its clients, and the faults of a run. docs/emulator.md documents each key.
type Scenario struct {
	Length       Duration      `toml:"length"` // of the run, warm-up included
	WarmUp       Duration      `toml:"warm"`   // requests before this time are excluded from the summary
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

// Fleet is the number of nodes and servers, which are spread evenly over the zones.
type Fleet struct {
	Nodes        int      `toml:"nodes"`
	Servers      int      `toml:"executors"`
	Zones        []string `toml:"zones"`
	Tick         Duration `toml:"tick"`     // interval in which a node processes its queue
	DecisionTime Duration `toml:"decision"` // processor time of a node per event
}

// MachineType describes servers of one type.
type MachineType struct {
	Name           string   `toml:"name"`
	Share          float64  `toml:"share"` // of the servers
	Slots          int      `toml:"slots"`
	Cores          float64  `toml:"cores"`       // shared by running jobs if they use more slots than this
	Speed          float64  `toml:"speed"`       // of a core, relative to a core of speed 1
	SpeedSpread    float64  `toml:"spread"`      // speeds differ by up to this share, either way
	QueueLimit     int      `toml:"queue"`       // maximum number of waiting jobs
	MaxConnections int      `toml:"connections"` // maximum number of open connections
	HandshakeWork  Duration `toml:"handshake"`   // work of accepting a connection
	Cancel         string   `toml:"cancel"`      // which jobs can be canceled: none, queued, all
}

// Network describes the network; delays are one way.
type Network struct {
	SameZoneDelay  Duration `toml:"same"`
	CrossZoneDelay Duration `toml:"cross"`
	Jitter         float64  `toml:"jitter"` // mean extra delay, as a share of the delay
	Loss           float64  `toml:"loss"`   // share of messages
	DialTimeout    Duration `toml:"dial"`   // connection timeout
	IdleTimeout    Duration `toml:"idle"`   // how long an idle connection stays open
}

// Discovery describes how discovery notifies nodes of servers.
type Discovery struct {
	NoticeDelay Duration `toml:"notice"` // until discovery has a change
	NotifyDelay Duration `toml:"spread"` // within which all nodes are notified
	Loss        float64  `toml:"loss"`   // share of notifications that are lost and sent again a notice later
}

// Rules are the settings of the service that nodes and the checker have.
type Rules struct {
	Slack            Duration `toml:"slack"` // after the deadline, in which a final answer still counts
	DrainGrace       Duration `toml:"grace"`
	SlowStart        Duration `toml:"cold"`
	SlowStartShare   float64  `toml:"cold_share"`
	OverloadWindow   Duration `toml:"fall"`
	OverloadFactor   float64  `toml:"fall_multiple"`
	MaxAttempts      int      `toml:"postings"`
	AllowHedging     bool     `toml:"doubles"`
	StartNotices     bool     `toml:"started"` // servers report the start of a job
	ProgressInterval Duration `toml:"progress"`
	MaxRetryAfter    Duration `toml:"return"` // longest Retry-After that clients follow
}

// Clients describes the clients. They are an open loop: arrivals do not wait for answers.
type Clients struct {
	Rate            float64  `toml:"rate"` // first requests per second
	ZoneSkew        float64  `toml:"skew"` // share of the requests moved to the first zone
	Retries         int      `toml:"retries"`
	Backoff         Duration `toml:"backoff"`
	RetryAfterShare float64  `toml:"follow"` // share of clients that follow Retry-After
	AffinityKeys    int      `toml:"keys"`
	WorkHints       bool     `toml:"hints"`
}

// Class describes a class of requests.
type Class struct {
	Name                string   `toml:"name"`
	Share               float64  `toml:"share"`
	MeanRuntime         Duration `toml:"run"`   // mean, on a core of speed 1
	Distribution        string   `toml:"shape"` // exponential, fixed
	Slots               int      `toml:"slots"`
	LatencyObjective    Duration `toml:"sla"`
	ObjectivePerRuntime float64  `toml:"stretch"`
	Deadline            Duration `toml:"expiry"`
	Weight              float64  `toml:"value"`
	LateShare           float64  `toml:"late"`
	Idempotency         string   `toml:"effect"` // repeatable, referenced, once-only
	DedupWindow         Duration `toml:"memory"` // of a referenced class, for all servers together
}

// Tenant is a tenant and its share of the requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Fault is a fault that lasts for a time. Faults may overlap. Strength is the divisor of the speed (slow),
// the share of jobs that fail (errors), or the factor on the request rate (burst).
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	For      Duration `toml:"for"`
	Part     float64  `toml:"part"` // random share of the servers, nodes or messages
	Zone     string   `toml:"zone"` // all servers of this zone, in place of a part
	Strength float64  `toml:"strength"`
	Class    string   `toml:"scheme"` // errors: only requests of this class
	Tenant   string   `toml:"tenant"` // burst: only requests of this tenant
	Interval Duration `toml:"again"`  // flap: from one crash to the next
}

// Read decodes and checks a scenario. An error names the line or the key.
func Read(text []byte) (*Scenario, error) {
	s := &Scenario{WarmUp: Duration(5e9), Subset: Subset{MinNodesPerServer: 3, NoticeDelay: Duration(1e9)},
		Leases: Leases{Mode: "turns", LeaseDuration: Duration(3e9), ClockMargin: 0.05},
		Fleet:  Fleet{Zones: []string{"a"}, Tick: Duration(1e6)},
		Network: Network{SameZoneDelay: Duration(2e5), CrossZoneDelay: Duration(1e6), Jitter: 0.1,
			DialTimeout: Duration(25e7), IdleTimeout: Duration(10e9)},
		Discovery: Discovery{NoticeDelay: Duration(1e9), NotifyDelay: Duration(1e8)},
		Rules: Rules{Slack: Duration(2e7), DrainGrace: Duration(1e9), SlowStart: Duration(8e9), SlowStartShare: 0.3,
			OverloadWindow: Duration(2e9), OverloadFactor: 3,
			MaxAttempts: 4, StartNotices: true, MaxRetryAfter: Duration(1e9)},
		Clients: Clients{Backoff: Duration(5e7), RetryAfterShare: 0.5}}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(s)
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

// checkUnits rejects durations without a unit, since the TOML library decodes a bare 40 as 40 ns.
func checkUnits(v any, t reflect.Type, at string) error {
	switch {
	case t == reflect.TypeFor[Duration]():
		if _, ok := v.(string); !ok {
			return fmt.Errorf("%s: %v has no unit, want a duration such as \"20ms\"", at, v)
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
			if inner, found := table[key]; found {
				if err := checkUnits(inner, t.Field(i).Type, strings.TrimPrefix(at+": "+key, ": ")); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// dottedKey returns the parts of a key joined by dots.
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

// idempotencyOf returns the idempotency for a word of the scenario; -1: unknown.
func idempotencyOf(word string) dispatch.Idempotency {
	return dispatch.Idempotency(slices.Index([]string{"repeatable", "referenced", "once-only"}, word))
}
