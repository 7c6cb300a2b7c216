// SPDX-License-Identifier: Apache-2.0

package config

import (
	"net"
	"slices"
	"strings"

	"fernrail/internal/fleet/subset"
)

// defaultMinNodesPerServer is the least number of nodes that use a server. Two of them may have an outdated
// membership list.
const defaultMinNodesPerServer = 3

// minWitnesses is the least number of nodes that must report a server as an outlier, because a single node
// may be faulty itself.
const minWitnesses = 2

// decodeGossip decodes the gossip addresses and the address overrides.
func (d *fleetDecoder) decodeGossip() error {
	d.fleet.GossipAddress = d.text("fleet.gossip")
	d.fleet.GossipSeeds = d.list("fleet.join")
	d.fleet.AddressOverrides = map[string]string{}
	for key, target := range d.values {
		if address, isRoute := strings.CutPrefix(key, "fleet.routes."); isRoute {
			d.fleet.AddressOverrides[address] = target
		}
	}
	for _, address := range append(slices.Clone(d.fleet.GossipSeeds), d.fleet.GossipAddress) {
		if address != "" && !isIPAndPort(address) {
			return keyErrorf("fleet.gossip, fleet.join", "%q is not IP:port; host names are not resolved",
				address)
		}
	}
	if d.fleet.GossipAddress == "" && len(d.fleet.GossipSeeds) > 0 {
		return keyErrorf("fleet.join", "requires fleet.gossip, which is not set")
	}
	return nil
}

func isIPAndPort(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

// decodeSubset decodes the subset settings, by which servers are divided among the nodes.
func (d *fleetDecoder) decodeSubset() error {
	if !hasPrefix(d.values, "fleet.subset.") {
		return nil
	}
	d.fleet.Subset = &subset.Settings{
		Size:              int(d.integer("fleet.subset.size", 0, 1)),
		MinNodesPerServer: int(d.integer("fleet.subset.cover", defaultMinNodesPerServer, 1)),
	}
	size := d.fleet.Subset.Size
	// A smaller subset would lack servers of some zone or machine type.
	minSize := max(len(d.node.Names.Zones), len(d.node.Names.MachineTypes))
	known := len(d.node.InitialEndpoints.Endpoints)
	switch {
	case d.err != nil:
		return d.err
	case size < minSize:
		return keyErrorf("fleet.subset.size",
			"%d is below the minimum of %d, one executor for each zone or kind",
			size, minSize)
	case known > 0 && size > known:
		return keyErrorf("fleet.subset.size", "%d is more than the %d known executors", size, known)
	case d.fleet.GossipAddress == "":
		return keyErrorf("fleet.subset", "requires fleet.gossip, which is not set")
	}
	return nil
}

// decodeOutlierSignals decodes the quorum for exchanged outlier scores.
func (d *fleetDecoder) decodeOutlierSignals() error {
	if _, found := d.lookup("fleet.signals.quorum"); !found {
		return nil
	}
	d.fleet.WitnessQuorum = int(d.integer("fleet.signals.quorum", 0, minWitnesses))
	switch {
	case d.err != nil:
		return d.err
	case d.fleet.GossipAddress == "":
		return keyErrorf("fleet.signals", "requires fleet.gossip, which is not set")
	case d.fleet.Zone == "":
		return keyErrorf("fleet.signals",
			"settings.MyZone and settings.Dcs give this node no zone, which signals require")
	case int64(d.fleet.WitnessQuorum) > d.fleet.Agreement.MaxNodes:
		return keyErrorf("fleet.signals.quorum", "%d is more than the maximum number of nodes, fleet.most",
			d.fleet.WitnessQuorum)
	}
	return nil
}
