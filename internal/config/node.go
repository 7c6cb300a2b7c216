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
	minSockets      = 16 // fewer leave no connections beside the standard files and the poller

	// A deep probe queues like a request: one that is not answered for so long shows that there is no capacity.
	defaultProbeTimeout = 500 * time.Millisecond

	firstInheritedFD = 3 // after the standard files
)

// Defaults of settings that the node reads beside the dispatcher, and their least values, in nanoseconds.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultMaxDeadline = 60 * time.Second
)

// decodeNode converts and checks all values of a file. The first one that is at fault is the error.
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
	// A fleet section that was meant for another site does not make nodes talk where the settings forbid it.
	if node.Fleet != nil && !node.PeerMessagesUnsupported {
		node.Fleet, node.FleetDisabled = nil, true
	}
	return node, nil
}

// decodeSettings reads the settings section: what the dispatcher needs of it, then what the node itself needs.
func (n *Node) decodeSettings(f *file) error {
	lookup := lookupIn(f.settings)
	var err error
	if n.Settings, err = DecodeSettings(lookup); err != nil {
		return err
	}
	r := &valueReader{lookup: lookup, keyPrefix: "settings."}
	// A timer of no length would be due again at once, and take the whole core.
	r.integer("Tick", defaultTick, 1)
	n.LoadReportKeys = DecodeLoadReportKeys(lookup)
	n.DialTimeout = time.Duration(r.integer("Limits.DialTimeout", int64(defaultDialTimeout), 1))
	n.IdleTimeout = time.Duration(r.integer("Limits.IdleClose", int64(defaultIdleTimeout), 0))
	n.decodeNames(r)
	n.adaptSettings()
	return r.err
}

// decodeNames reads the names that requests and endpoint lists use, and the longest deadline of a class.
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

// adaptSettings changes what is different on sockets from what the settings say for the simulator.
func (n *Node) adaptSettings() {
	// Sockets have no protocol for messages between nodes, so the dispatcher is told that there are none.
	n.PeerMessagesUnsupported, n.Settings.PeerMessages = n.Settings.PeerMessages, false
	// What the discovery agent on this machine has counts as known a while after it can be asked, whatever failed
	// before.
	n.Settings.MaxPollInterval = int64(protocol.PollRetryInterval)
	n.Settings.UnpolledEventAge = min(n.Settings.UnpolledEventAge, n.Settings.MaxPollInterval)
	grace := n.Settings.DrainGrace
	if grace <= 0 {
		return
	}
	// Where the settings have a grace for drains, it counts as known at once, asked for or not.
	n.Settings.UnpolledEventAge = 0
	// An attempt may be waiting for its connection when its server begins to drain. Its connection has to come up within
	// the grace, and the dispatcher may start attempts only as long as there is time for that.
	n.DialTimeout = min(n.DialTimeout, max(time.Duration(grace)/2, 1))
	n.Settings.DrainGrace = min(grace-int64(n.DialTimeout), 2*n.Settings.MaxPollInterval)
}

// decodeOwnSections reads what stands beside the settings, but for the servers and the fleet.
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

// decodeLogLevel reads the value of EDGE_LOG.
func decodeLogLevel(name string) (zerolog.Level, error) {
	if name == "" {
		return zerolog.DebugLevel, nil
	}
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return level, keyErrorf("EDGE_LOG", "%q is not a level, such as trace, debug, info or warn", name)
	}
	return level, nil
}

// decodeAddresses reads where clients and operators connect, and where discovery is.
func (n *Node) decodeAddresses(r *valueReader, getenv func(variable string) string) {
	n.Listen = r.address("listen", "EDGE_LISTEN", getenv)
	n.Discovery = r.address("discovery", "EDGE_DISCOVERY", getenv)
	if r.text("admin_addr") == "" && getenv("EDGE_ADMIN_ADDR") == "" {
		return
	}
	n.AdminAddress = r.address("admin_addr", "EDGE_ADMIN_ADDR", getenv)
	// One of the two listeners would not come up, or would be sent the other's calls.
	if n.AdminAddress == n.Listen && r.err == nil {
		r.err = keyErrorf("admin_addr", "%q is where clients connect", n.AdminAddress)
	}
}

// decodeListenFD reads the value of EDGE_LISTEN_FD: the number of a descriptor, which has to be a listening socket.
func decodeListenFD(number string) (int, error) {
	if number == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(number)
	if err != nil || fd < firstInheritedFD {
		return 0, keyErrorf("EDGE_LISTEN_FD", "%q is not the number of an inherited descriptor", number)
	}
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return 0, keyErrorf("EDGE_LISTEN_FD", "descriptor %d is not an open listening socket", fd)
	}
	return fd, nil
}

// decodeLimits reads how much of the machine the node may use.
func (n *Node) decodeLimits(r *valueReader) {
	n.Cores = r.float("limits.cores", defaultCores)
	n.Memory = r.integer("limits.memory_mb", defaultMemoryMB, minMemoryMB) << 20
	n.ProbeTimeout = r.milliseconds("limits.probe_ms", defaultProbeTimeout, time.Millisecond)
	n.Sockets = int(r.integer("limits.sockets", defaultSockets, minSockets))
}

func decodeSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, keyErrorf("seed", "%q is not a hexadecimal number of 64 bits", text)
	}
	return seed, nil
}

// decodeInitialEndpoints decodes the servers that the node knows before discovery answers.
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
