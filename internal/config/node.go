// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"fernrail/internal/protocol"
)

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	minMemoryMB     = 8 // the Go runtime alone does not fit into less
	defaultSockets  = 1024
	minSockets      = 16 // fewer leave no connections after the standard files and the poller

	// A deep probe queues like a request, so one that times out shows that the server has no capacity.
	defaultProbeTimeout = 500 * time.Millisecond

	firstInheritedFD = 3 // after the standard files
)

// Defaults of the settings that the node uses itself, which the dispatcher does not decode.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultMaxDeadline = 60 * time.Second
)

// decodeNode converts and checks all values of a file. It returns an error for the first invalid one.
func decodeNode(f *file, getenv func(variable string) string) (*Node, error) {
	node := &Node{values: f.restartValues()}
	if err := node.decodeSettings(f); err != nil {
		return nil, err
	}
	if err := node.decodeOwnSections(f, getenv); err != nil {
		return nil, err
	}
	var err error
	if node.InitialEndpoints, err = decodeInitialEndpoints(f.knownServers, node.Names); err != nil {
		return nil, err
	}
	if node.Fleet, err = decodeFleet(node, f.values); err != nil {
		return nil, err
	}
	// A fleet section meant for another site must not start messages between nodes that the settings forbid.
	if node.Fleet != nil && !node.PeerMessagesUnsupported {
		node.Fleet, node.FleetDisabled = nil, true
	}
	return node, nil
}

// decodeSettings decodes the settings section: first the settings of the dispatcher, then those of the node.
func (n *Node) decodeSettings(f *file) error {
	lookup := lookupIn(f.settings)
	var err error
	if n.Settings, err = DecodeSettings(lookup); err != nil {
		return err
	}
	r := &valueReader{lookup: lookup, keyPrefix: "settings."}
	// A timer with period 0 would fire continuously and use up the core.
	r.integer("Tick", defaultTick, 1)
	n.LoadReportKeys = DecodeLoadReportKeys(lookup)
	n.DialTimeout = time.Duration(r.integer("Limits.DialTimeout", int64(defaultDialTimeout), 1))
	n.IdleTimeout = time.Duration(r.integer("Limits.IdleClose", int64(defaultIdleTimeout), 0))
	n.decodeNames(r)
	n.adaptSettings()
	return r.err
}

// decodeNames decodes the names used by requests and endpoint lists, and the longest deadline of any class.
func (n *Node) decodeNames(r *valueReader) {
	n.Names = &protocol.Names{Zones: r.list("Dcs"), MachineTypes: r.list("Skus")}
	for i := range n.Settings.Classes {
		n.Names.Classes = append(n.Names.Classes, r.text(classKey(i, "Name")))
		deadline := time.Duration(r.integer(classKey(i, "Expiry"), int64(defaultMaxDeadline), 1))
		n.MaxDeadline = max(n.MaxDeadline, deadline)
	}
	for i := range n.Settings.Tenants {
		n.Names.Tenants = append(n.Names.Tenants, r.text(tenantKey(i, "Name")))
	}
}

// adaptSettings changes the settings, which describe the simulator, where a node on sockets differs from it.
func (n *Node) adaptSettings() {
	// The dispatcher has no protocol on sockets for messages to other nodes, so they are switched off.
	n.PeerMessagesUnsupported, n.Settings.PeerMessages = n.Settings.PeerMessages, false
	// A change is regarded as known one poll interval after the discovery agent on this machine can be
	// polled, even if earlier polls failed.
	n.Settings.MaxPollInterval = int64(protocol.PollRetryInterval)
	n.Settings.UnpolledEventAge = min(n.Settings.UnpolledEventAge, n.Settings.MaxPollInterval)
	grace := n.Settings.DrainGrace
	if grace <= 0 {
		return
	}
	// With a drain grace, a change is regarded as known as soon as the agent has it, polled or not.
	n.Settings.UnpolledEventAge = 0
	// An attempt may be waiting for its connection when its server begins to drain. The dial has to finish
	// within the grace, so the dispatcher may start attempts only while the remaining grace is at least the
	// dial timeout.
	n.DialTimeout = min(n.DialTimeout, max(time.Duration(grace)/2, 1))
	n.Settings.DrainGrace = min(grace-int64(n.DialTimeout), 2*n.Settings.MaxPollInterval)
}

// decodeOwnSections decodes all sections except settings, servers and fleet.
func (n *Node) decodeOwnSections(f *file, getenv func(variable string) string) error {
	r := &valueReader{lookup: lookupIn(f.values)}
	var err error
	if n.LogLevel, err = decodeLogLevel(getenv("EDGE_LOG")); err != nil {
		return err
	}
	if n.Name = getenv("EDGE_NAME"); n.Name == "" {
		n.Name = r.text("name")
	}
	n.decodeAddresses(r, getenv)
	if n.ListenFD, err = decodeListenFD(getenv("EDGE_LISTEN_FD")); err != nil {
		return err
	}
	n.decodeLimits(r)
	if r.err != nil {
		return r.err
	}
	n.Seed, err = decodeSeed(r.text("seed"))
	return err
}

// decodeLogLevel parses the value of EDGE_LOG.
func decodeLogLevel(name string) (zerolog.Level, error) {
	if name == "" {
		return zerolog.DebugLevel, nil
	}
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return level, keyErrorf("EDGE_LOG",
			"invalid log level %q; want a level such as trace, debug, info or warn", name)
	}
	return level, nil
}

// decodeAddresses decodes the addresses of the client listener, the admin listener and discovery.
func (n *Node) decodeAddresses(r *valueReader, getenv func(variable string) string) {
	n.Listen = r.address("listen", "EDGE_LISTEN", getenv)
	n.Discovery = r.address("discovery", "EDGE_DISCOVERY", getenv)
	if r.text("admin_addr") == "" && getenv("EDGE_ADMIN_ADDR") == "" {
		return
	}
	n.AdminAddress = r.address("admin_addr", "EDGE_ADMIN_ADDR", getenv)
	// With one address for both, one listener would fail, or would receive the other's connections.
	if n.AdminAddress == n.Listen && r.err == nil {
		r.err = keyErrorf("admin_addr", "%q is already the address for clients", n.AdminAddress)
	}
}

// decodeListenFD parses the value of EDGE_LISTEN_FD, the number of a descriptor that must be a listening
// socket.
func decodeListenFD(number string) (int, error) {
	if number == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(number)
	if err != nil || fd < firstInheritedFD {
		return 0, keyErrorf("EDGE_LISTEN_FD", "%q is not a descriptor number of at least 3", number)
	}
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return 0, keyErrorf("EDGE_LISTEN_FD", "descriptor %d is not an open listening socket", fd)
	}
	return fd, nil
}

// decodeLimits decodes the limits on cores, memory and file descriptors.
func (n *Node) decodeLimits(r *valueReader) {
	n.Cores = r.float("limits.cores", defaultCores)
	n.Memory = r.integer("limits.memory_mb", defaultMemoryMB, minMemoryMB) << 20
	n.ProbeTimeout = r.milliseconds("limits.probe_ms", defaultProbeTimeout, time.Millisecond)
	n.MaxDescriptors = int(r.integer("limits.sockets", defaultSockets, minSockets))
}

func decodeSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, keyErrorf("seed", "%q is not a hexadecimal number of at most 64 bits", text)
	}
	return seed, nil
}

// decodeInitialEndpoints decodes the servers that the node uses until discovery answers.
func decodeInitialEndpoints(servers json.RawMessage, names *protocol.Names) (*protocol.EndpointList, error) {
	if servers == nil {
		return &protocol.EndpointList{}, nil
	}
	endpoints, err := protocol.DecodeEndpointList(servers, names)
	if err != nil {
		return nil, &KeyError{Key: "known", Err: err}
	}
	return endpoints, nil
}
