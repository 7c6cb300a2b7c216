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
	Listen                  string // where clients connect
	Discovery               string // where the discovery agent is asked
	AdminAddress            string // where operators call; empty: nowhere
	ListenFD                int    // descriptor of an inherited listening socket for clients; 0: none was inherited
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int   // descriptors that the node may hold
	InitialEndpoints        *protocol.EndpointList
	Names                   *protocol.Names
	Settings                *dispatch.Settings
	DialTimeout             time.Duration // for a connection to a server
	IdleTimeout             time.Duration // after which a server closes an unused connection
	LoadReportKeys          protocol.LoadReportKeys
	ProbeTimeout            time.Duration // for the answer to a capacity probe
	FleetDisabled           bool          // there is a fleet section, and the settings do not let nodes talk
	PeerMessagesUnsupported bool          // the settings allow messages between nodes, for which sockets have no protocol
	MaxDeadline             time.Duration // the longest one of any class
	Fleet                   *Fleet        // budgets held together with other nodes; nil: none
	LogLevel                zerolog.Level // the least severe one that is logged; at trace each attempt is logged

	values map[string]string // the file's values that need a restart, by dotted name
}

// Load reads the file that EDGE_CONFIG names. The other EDGE variables, where set, take precedence over the file. An
// error is a KeyError.
func Load(getenv func(variable string) string) (*Node, error) {
	file, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return decodeNode(file, getenv)
}

// Reload reads the file again while the node runs. Only the address of discovery can change then; restartKeys names
// the other keys whose values differ, which take effect at the next start.
func (n *Node) Reload(getenv func(variable string) string) (reloaded *Node, restartKeys []string, err error) {
	getenv = reloadEnvironment(getenv)
	file, err := readFile(getenv)
	if err != nil {
		return nil, nil, err
	}
	// The list can be of thousands of servers, nobody looks at it, and decoding it would hold up a node that has a small
	// share of a core.
	file.knownServers = nil
	reloaded, err = decodeNode(file, getenv)
	if err != nil {
		return nil, nil, err
	}
	return reloaded, changedKeys(n.values, reloaded.values), nil
}

// reloadEnvironment leaves out the variables that hold for the start alone. EDGE_DISCOVERY would keep the old address
// for good, and the descriptor that EDGE_LISTEN_FD names was taken over at the start: its number may be another
// file's by now.
func reloadEnvironment(getenv func(variable string) string) func(variable string) string {
	return func(variable string) string {
		if variable == "EDGE_DISCOVERY" || variable == "EDGE_LISTEN_FD" {
			return ""
		}
		return getenv(variable)
	}
}

// changedKeys returns, sorted, the keys that one map lacks or has another value for.
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
		return nil, &KeyError{Key: "EDGE_CONFIG", Err: errors.New("names no file")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Key: "EDGE_CONFIG", Err: err}
	}
	return parseFile(text)
}
