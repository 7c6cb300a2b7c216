// SPDX-License-Identifier: Apache-2.0

package config

import (
	"net"
	"slices"
	"strings"

	"fernrail/internal/fleet/subset"
)

// defaultMinNodesPerServer is how many nodes use a server at least: two of them may be wrong about which nodes there
// are.
const defaultMinNodesPerServer = 3

// minWitnesses is the least number of nodes by whose word a server is an outlier; one alone may have a fault of its
// own.
const minWitnesses = 2

// decodeGossip reads where nodes exchange gossip, and the addresses that are reached by others.
func (d *fleetDecoder) decodeGossip() error {
	d.fleet.Gossip = d.text("fleet.gossip")
	d.fleet.Join = d.list("fleet.join")
	d.fleet.Routes = map[string]string{}
	for key, to := range d.values {
		if from, isRoute := strings.CutPrefix(key, "fleet.routes."); isRoute {
			d.fleet.Routes[from] = to
		}
	}
	for _, address := range append(slices.Clone(d.fleet.Join), d.fleet.Gossip) {
		if address != "" && !isIPAndPort(address) {
			return keyErrorf("fleet.gossip, fleet.join", "%q is not IP:port; no names are looked up", address)
		}
	}
	if d.fleet.Gossip == "" && len(d.fleet.Join) > 0 {
		return keyErrorf("fleet.join", "nothing to join by without fleet.gossip")
	}
	return nil
}

func isIPAndPort(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

// decodeSubset reads how servers are divided among the nodes.
func (d *fleetDecoder) decodeSubset() error {
	if !hasPrefix(d.values, "fleet.subset.") {
		return nil
	}
	d.fleet.Subset = &subset.Settings{
		Size:              int(d.integer("fleet.subset.size", 0, 1)),
		MinNodesPerServer: int(d.integer("fleet.subset.cover", defaultMinNodesPerServer, 1)),
	}
	size := d.fleet.Subset.Size
	// A smaller subset would leave a zone or a machine type that the node cannot reach.
	minSize := max(len(d.node.Names.Zones), len(d.node.Names.MachineTypes))
	known := len(d.node.InitialEndpoints.Endpoints)
	switch {
	case d.err != nil:
		return d.err
	case size < minSize:
		return keyErrorf("fleet.subset.size", "%d is under the %d zones or kinds of which each node needs one", size, minSize)
	case known > 0 && size > known:
		return keyErrorf("fleet.subset.size", "%d is more than the %d executors that are known", size, known)
	case d.fleet.Gossip == "":
		return keyErrorf("fleet.subset", "without fleet.gossip no node knows of others")
	}
	return nil
}

// decodeOutlierSignals reads whether nodes exchange outlier scores of servers.
func (d *fleetDecoder) decodeOutlierSignals() error {
	if _, found := d.lookup("fleet.signals.quorum"); !found {
		return nil
	}
	d.fleet.WitnessQuorum = int(d.integer("fleet.signals.quorum", 0, minWitnesses))
	switch {
	case d.err != nil:
		return d.err
	case d.fleet.Gossip == "":
		return keyErrorf("fleet.signals", "without fleet.gossip nodes hear nothing of each other")
	case d.fleet.Zone == "":
		return keyErrorf("fleet.signals", "settings.MyZone and settings.Dcs name no zone, so that this node is no witness")
	case int64(d.fleet.WitnessQuorum) > d.fleet.Agreement.MaxNodes:
		return keyErrorf("fleet.signals.quorum", "%d is more than all nodes, fleet.most", d.fleet.WitnessQuorum)
	}
	return nil
}
