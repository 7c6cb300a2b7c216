// SPDX-License-Identifier: Apache-2.0

package config

import (
	"errors"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Node is the configuration of one node process.
type Node struct {
	Name                    string
	Listen                  string // client listener, host:port
	Discovery               string // discovery agent, host:port
	AdminAddress            string // admin listener, host:port; empty: none
	ListenFD                int    // file descriptor of the inherited client listener; 0: none
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	MaxDescriptors          int   // file descriptors that the node may use
	InitialEndpoints        *protocol.EndpointList
	Names                   *protocol.Names
	Settings                *dispatch.Settings
	DialTimeout             time.Duration // of a connection attempt to a server
	IdleTimeout             time.Duration // after which a server closes an idle connection
	LoadReportKeys          protocol.LoadReportKeys
	ProbeTimeout            time.Duration // of a capacity probe
	FleetDisabled           bool          // the settings forbid messages, so the fleet section is ignored
	PeerMessagesUnsupported bool          // the settings allow messages, which have no protocol on sockets
	MaxDeadline             time.Duration // longest deadline of any class
	Fleet                   *Fleet        // budgets shared with other nodes; nil: none
	LogLevel                zerolog.Level // least severe level logged; trace logs each attempt

	values map[string]string // file values that take effect at a restart only, by dotted name
}

// Load reads the file that EDGE_CONFIG names. The other EDGE variables, if set, take precedence over the
// file. Any error is a KeyError.
func Load(getenv func(variable string) string) (*Node, error) {
	file, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return decodeNode(file, getenv)
}

// Reload reads the file again while the node runs. Only a change of the discovery address takes effect then.
// restartKeys lists the other keys whose values differ; they take effect at the next start.
func (n *Node) Reload(getenv func(variable string) string) (reloaded *Node, restartKeys []string, err error) {
	getenv = reloadEnvironment(getenv)
	file, err := readFile(getenv)
	if err != nil {
		return nil, nil, err
	}
	// A reload does not use the server list. It can contain thousands of servers, and decoding it would stall
	// a node that has a small fraction of a core.
	file.knownServers = nil
	reloaded, err = decodeNode(file, getenv)
	if err != nil {
		return nil, nil, err
	}
	return reloaded, changedKeys(n.values, reloaded.values), nil
}

// reloadEnvironment hides the variables that apply only at the start. EDGE_DISCOVERY would override every new
// address in the file. The descriptor in EDGE_LISTEN_FD was taken over at the start, and its number may since
// belong to another file.
func reloadEnvironment(getenv func(variable string) string) func(variable string) string {
	return func(variable string) string {
		if variable == "EDGE_DISCOVERY" || variable == "EDGE_LISTEN_FD" {
			return ""
		}
		return getenv(variable)
	}
}

// changedKeys returns the sorted keys that only one map has or whose values differ.
func changedKeys(before, after map[string]string) (changed []string) {
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		was, existed := before[key]
		is, exists := after[key]
		if was != is || existed != exists {
			changed = append(changed, key)
		}
	}
	return changed
}

// readFile reads the file that EDGE_CONFIG names.
func readFile(getenv func(variable string) string) (*file, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, &KeyError{Key: "EDGE_CONFIG", Err: errors.New("no configuration file given")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Key: "EDGE_CONFIG", Err: err}
	}
	return parseFile(text)
}
