// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Node is what one node is told at start.
type Node struct {
	Name, Listen, Discovery string
	AdminAddress            string // where operators call; empty: nowhere
	ListenFD                int    // the descriptor of the clients' listening socket, where it is handed over; 0: it is not
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int
	InitialEndpoints        *protocol.EndpointList
	Names                   *protocol.Names
	Settings                *dispatch.Settings
	DialTimeout             time.Duration // for a connection to an executor to come up
	IdleTimeout             time.Duration // after which an executor closes an unused connection
	LoadReportKeys          protocol.LoadReportKeys
	ProbeTimeout            time.Duration // how long the answer to a probe is waited for
	FleetDisabled           bool          // a fleet section is there, and the settings do not let nodes talk
	PeerMessagesUnsupported bool          // the settings allow messages between nodes, for which sockets have no protocol
	MaxDeadline             time.Duration // expiry of the scheme that has the longest
	Fleet                   *Fleet        // budgets held with other nodes; nil: none, nothing is told to other nodes
	LogLevel                zerolog.Level // the least that is logged; trace tells of each posting

	values map[string]string // the file's values by dotted name, but for those that concern a start alone
}

const (
	defaultCores       = 1
	defaultMemoryMB    = 192 // MB
	defaultSockets     = 1024
	defaultProbeMillis = 500 // ms; a deep probe waits like a txn, and one that waits long tells that there is no room
	minMemoryMB        = 8   // MB; under this the runtime alone does not fit
	minSockets         = 16  // descriptors; under this the standard files and the poller leave none for work
)

// Load reads the file that EDGE_CONFIG names. The other EDGE variables, where set, go before the file.
func Load(env func(string) string) (*Node, error) { return load(env, true) }

// load reads the file; list says whether the servers that it names are wanted.
func load(env func(string) string, list bool) (*Node, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, keyErrorf("EDGE_CONFIG", "names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Key: "EDGE_CONFIG", Err: err}
	}
	return decode(text, env, list)
}

// Reload reads the file again while the node runs. Only discovery's address can change then; left names the keys of
// what differs beside it, which waits for a restart.
// Danger: EDGE_DISCOVERY tells the address of the start. Here the file goes before it, or the old one stays for good. And
// the descriptor that was inherited has been taken over, so that its number may be another file's by now.
func (n *Node) Reload(env func(string) string) (now *Node, left []string, err error) {
	now, err = load(func(variable string) string {
		if variable == "EDGE_DISCOVERY" || variable == "EDGE_LISTEN_FD" {
			return ""
		}
		return env(variable)
	}, false)
	if err != nil {
		return nil, nil, err
	}
	keys := maps.Clone(n.values)
	maps.Copy(keys, now.values)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		was, had := n.values[key]
		if is, has := now.values[key]; was != is || had != has {
			left = append(left, key)
		}
	}
	return now, left, nil
}

func parse(text []byte, env func(string) string) (*Node, error) { return decode(text, env, true) }

func decode(text []byte, env func(string) string, list bool) (*Node, error) {
	// Danger: a list of thousands of servers that is decoded three times, at a node that has to serve soon on a small share of a core.
	var raw map[string]json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&raw); err != nil {
		return nil, &KeyError{Key: "configuration", Err: err}
	}
	known := raw["known"]
	// Danger: SIGHUP at a node with a small share of a core, which stands still for a list that nobody looks at.
	if delete(raw, "known"); !list {
		known = nil
	}
	tree, flat := map[string]any{}, map[string]string{}
	for key, part := range raw {
		decoder := json.NewDecoder(bytes.NewReader(part))
		decoder.UseNumber()
		var value any
		if err := decoder.Decode(&value); err != nil {
			return nil, &KeyError{Key: "configuration", Err: err}
		}
		if tree[key] = value; key != "settings" {
			flatten(flat, key, value)
		}
	}
	settings, isObject := tree["settings"].(map[string]any)
	if !isObject {
		return nil, keyErrorf("settings", "missing or not an object")
	}
	under := map[string]string{}
	for key, value := range settings {
		flatten(under, key, value)
	}
	find := func(key string) (string, bool) { v, found := under[key]; return v, found }
	n := &Node{values: map[string]string{}}
	for key, value := range flat {
		if key != "discovery" && key != "seed" {
			n.values[key] = value
		}
	}
	for key, value := range under {
		n.values["settings."+key] = value
	}
	var err error
	if n.Settings, err = DecodeSettings(find); err != nil {
		return nil, err
	}
	r := &valueReader{lookup: find, keyPrefix: "settings."}
	// Danger: what looks again after a tick would look again at once, and take the core.
	r.integer("Tick", 1e6, 1)
	n.LoadReportKeys = DecodeLoadReportKeys(find)
	// Messages have no page for sockets, and none is guessed: the module is told that there are none.
	n.PeerMessagesUnsupported, n.Settings.PeerMessages = n.Settings.PeerMessages, false
	n.DialTimeout = time.Duration(r.integer("Limits.DialTimeout", 1e9, 1))
	// Danger: a posting that waits for its connection when its executor begins to drain, and sends after the grace.
	// Danger: on sockets what the agent on this machine has counts a while after it can be asked, whatever failed before, and
	// where a grace for drains is told, at once, asked for or not.
	n.Settings.MaxPollInterval = int64(protocol.PollRetryInterval)
	n.Settings.UnpolledEventAge = min(n.Settings.UnpolledEventAge, n.Settings.MaxPollInterval)
	if grace := time.Duration(n.Settings.DrainGrace); grace > 0 {
		n.DialTimeout = min(n.DialTimeout, max(grace/2, 1))
		n.Settings.UnpolledEventAge, n.Settings.DrainGrace = 0, min(n.Settings.DrainGrace-int64(n.DialTimeout), 2*n.Settings.MaxPollInterval)
	}
	n.IdleTimeout = time.Duration(r.integer("Limits.IdleClose", 10e9, 0))
	n.Names = &protocol.Names{Zones: r.list("Dcs"), MachineTypes: r.list("Skus")}
	for i := range n.Settings.Classes {
		at := "Schemes." + strconv.Itoa(i) + "."
		n.Names.Classes = append(n.Names.Classes, r.text(at+"Name"))
		n.MaxDeadline = max(n.MaxDeadline, time.Duration(r.integer(at+"Expiry", 60e9, 1)))
	}
	for i := range n.Settings.Tenants {
		n.Names.Tenants = append(n.Names.Tenants, r.text("Tenants."+strconv.Itoa(i)+".Name"))
	}
	if r.err != nil {
		return nil, r.err
	}
	return n, n.decodeNodeSections(flat, known, env)
}

// decodeNodeSections reads what stands beside the settings.
func (n *Node) decodeNodeSections(flat map[string]string, known json.RawMessage, env func(string) string) error {
	r := &valueReader{lookup: func(key string) (string, bool) { v, found := flat[key]; return v, found }}
	address := func(variable, key string) string {
		v := env(variable)
		if v == "" {
			v = r.text(key)
		} else {
			key = variable
		}
		if _, _, err := net.SplitHostPort(v); err != nil && r.err == nil {
			r.err = keyErrorf(key, "%q is not host:port", v)
		}
		return v
	}
	n.LogLevel = zerolog.DebugLevel
	if level := env("EDGE_LOG"); level != "" {
		var err error
		if n.LogLevel, err = zerolog.ParseLevel(level); err != nil {
			return keyErrorf("EDGE_LOG", "%q is not a level, such as trace, debug, info or warn", level)
		}
	}
	if n.Name = env("EDGE_NAME"); n.Name == "" {
		n.Name = r.text("name")
	}
	n.Listen, n.Discovery = address("EDGE_LISTEN", "listen"), address("EDGE_DISCOVERY", "discovery")
	if r.text("admin_addr") != "" || env("EDGE_ADMIN_ADDR") != "" {
		// Danger: the clients' own address, written twice; one of the two would not come up, or hear the other's calls.
		if n.AdminAddress = address("EDGE_ADMIN_ADDR", "admin_addr"); n.AdminAddress == n.Listen && r.err == nil {
			r.err = keyErrorf("admin_addr", "%q is where clients connect", n.AdminAddress)
		}
	}
	if fd := env("EDGE_LISTEN_FD"); fd != "" {
		var err error
		if n.ListenFD, err = strconv.Atoi(fd); err != nil || n.ListenFD < 3 {
			return keyErrorf("EDGE_LISTEN_FD", "%q is not the number of an inherited descriptor", fd)
		}
		if on, err := unix.GetsockoptInt(n.ListenFD, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
			return keyErrorf("EDGE_LISTEN_FD", "descriptor %d is not an open listening socket", n.ListenFD)
		}
	}
	n.Cores = r.float("limits.cores", defaultCores)
	n.Memory = r.integer("limits.memory_mb", defaultMemoryMB, minMemoryMB) << 20
	n.ProbeTimeout = time.Duration(r.integer("limits.probe_ms", defaultProbeMillis, 1)) * time.Millisecond
	n.Sockets = int(r.integer("limits.sockets", defaultSockets, minSockets))
	if r.err != nil {
		return r.err
	}
	var err error
	if n.Seed, err = strconv.ParseUint(r.text("seed"), 16, 64); err != nil {
		return keyErrorf("seed", "%q is not a hexadecimal number of 64 bits", r.text("seed"))
	}
	if n.InitialEndpoints = (&protocol.EndpointList{}); known != nil && string(known) != "null" {
		if n.InitialEndpoints, err = protocol.DecodeEndpointList(known, n.Names); err != nil {
			return &KeyError{Key: "known", Err: err}
		}
	}
	if n.Fleet, err = n.decodeFleet(r, flat); err != nil {
		return err
	}
	// Danger: a site that forbids nodes to talk, on which a section meant for another site makes them.
	if n.Fleet != nil && !n.PeerMessagesUnsupported {
		n.Fleet, n.FleetDisabled = nil, true
	}
	return nil
}

// flatten gives each value its dotted name; lists of plain values are joined by commas, others get a count, as on
// the bench's wire.
func flatten(flat map[string]string, key string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(flat, key+"."+name, inner)
		}
	case []any:
		plain := []string{}
		for i, inner := range v {
			switch inner.(type) {
			case map[string]any, []any:
				flatten(flat, key+"."+strconv.Itoa(i), inner)
			default:
				plain = append(plain, fmt.Sprint(inner))
			}
		}
		flat[key+".count"] = strconv.Itoa(len(v))
		if len(plain) == len(v) {
			flat[key] = strings.Join(plain, ",")
		}
	case nil:
	default:
		flat[key] = fmt.Sprint(v)
	}
}
