// SPDX-License-Identifier: Apache-2.0

package config

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernrail/internal/fleet/budget"
	"fernrail/internal/fleet/subset"
)

// Voter is a node that votes on the division of the budgets among nodes.
type Voter struct{ Name, Address string }

// Fleet configures the budgets that a node shares with other nodes.
type Fleet struct {
	VoterListen      string // listener of a voter, host:port
	Secret           string // shared by all nodes of a fleet, which authenticate each other with it
	DataDir          string // for the log and snapshots of a voter; empty: in memory only
	Voters           []Voter
	ElectionTimeout  time.Duration // without a leader's messages, until a voter starts an election
	Agreement        budget.Agreement
	GossipAddress    string            // of this node; empty: gossip is off
	GossipSeeds      []string          // gossip addresses of some other nodes
	AddressOverrides map[string]string // addresses that this node replaces by others when it connects
	Subset           *subset.Settings  // nil: each node uses all servers
	WitnessQuorum    int               // nodes that must agree on an outlier; 0: no scores are exchanged
	Zone             string            // of this node; empty: not set
}

const (
	defaultElectionTimeout = 300 * time.Millisecond // well above the 100 ms pauses of a loaded machine
	minElectionTimeout     = 20 * time.Millisecond
	defaultLease           = 3 * time.Second
	defaultClockMargin     = 0.05 // largest relative difference of two clock rates
	defaultRoundTrip       = 50 * time.Millisecond
	minLeaseRoundTrips     = 3 // a renewal and its retry must fit into a lease
	minSecretBytes         = 8
	maxNodes               = 4096
)

// Voter returns the voter with the given name, or nil if that node is not a voter.
func (f *Fleet) Voter(name string) *Voter {
	i := slices.IndexFunc(f.Voters, func(v Voter) bool { return v.Name == name })
	if i < 0 {
		return nil
	}
	return &f.Voters[i]
}

// fleetDecoder decodes the fleet section of a file.
type fleetDecoder struct {
	*valueReader
	node   *Node
	values map[string]string // the file's values by dotted name
	fleet  *Fleet

	roundTrip time.Duration // longest round trip of a call between voters
}

// decodeFleet decodes the fleet section. It returns nil if there is none.
func decodeFleet(node *Node, values map[string]string) (*Fleet, error) {
	if !hasPrefix(values, "fleet.") {
		return nil, nil
	}
	d := &fleetDecoder{
		valueReader: &valueReader{lookup: lookupIn(values)},
		node:        node,
		values:      values,
		fleet:       &Fleet{Zone: node.zone()},
	}
	steps := []func() error{
		d.decodeBasics,
		d.decodeGossip,
		d.decodeSubset,
		d.decodeOutlierSignals,
		d.decodeVoters,
		d.decodeBudgets,
		d.checkSection,
		d.decodeListen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d.fleet, nil
}

// hasPrefix reports whether any key begins with the prefix.
func hasPrefix(values map[string]string, prefix string) bool {
	for key := range values {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// zone returns the name of this node's zone, or "" if the settings do not name one.
func (n *Node) zone() string {
	if n.Settings.Zone < 0 || n.Settings.Zone >= len(n.Names.Zones) {
		return ""
	}
	return n.Names.Zones[n.Settings.Zone]
}

// decodeBasics decodes the scalar values at the top level of the section.
func (d *fleetDecoder) decodeBasics() error {
	d.fleet.VoterListen = d.text("fleet.listen")
	d.fleet.Secret = d.text("fleet.secret")
	d.fleet.DataDir = d.text("fleet.dir")
	d.fleet.ElectionTimeout = d.milliseconds("fleet.pace_ms", defaultElectionTimeout, minElectionTimeout)
	d.fleet.Agreement = budget.Agreement{
		MaxNodes:    d.integer("fleet.most", 0, 1),
		Lease:       int64(d.milliseconds("fleet.lease_ms", defaultLease, time.Millisecond)),
		ClockMargin: d.float("fleet.margin", defaultClockMargin),
		Budgets:     map[string]budget.Limits{},
	}
	d.roundTrip = d.milliseconds("fleet.round_trip_ms", defaultRoundTrip, time.Millisecond)
	return nil
}

// decodeVoters decodes the voters. Names and addresses must be unique.
func (d *fleetDecoder) decodeVoters() error {
	count := int(d.integer("fleet.seats.count", 0, 0))
	for i := range count {
		key := voterKey(i)
		voter := Voter{Name: d.text(key + ".name"), Address: d.text(key + ".address")}
		if voter.Name == "" || strings.ContainsAny(voter.Name, "/ ") {
			return keyErrorf(key+".name",
				"invalid node name %q: it must not be empty or contain a slash or a space", voter.Name)
		}
		if _, _, err := net.SplitHostPort(voter.Address); err != nil {
			return keyErrorf(key+".address", "%q is not host:port", voter.Address)
		}
		if err := d.checkUniqueVoter(key, voter); err != nil {
			return err
		}
		d.fleet.Voters = append(d.fleet.Voters, voter)
	}
	return nil
}

// voterKey returns the key of a voter's object.
func voterKey(index int) string { return "fleet.seats." + strconv.Itoa(index) }

// checkUniqueVoter returns an error if an earlier voter has the same name or address.
func (d *fleetDecoder) checkUniqueVoter(key string, voter Voter) error {
	for i, other := range d.fleet.Voters {
		if other.Name == voter.Name {
			return keyErrorf(key+".name", "%q is already the name of voter %d", voter.Name, i)
		}
		if other.Address == voter.Address {
			return keyErrorf(key+".address", "%q is already the address of voter %d", voter.Address, i)
		}
	}
	return nil
}

// checkSection checks constraints across several keys, after all of them have been decoded.
func (d *fleetDecoder) checkSection() error {
	voters, agreement := len(d.fleet.Voters), &d.fleet.Agreement
	switch {
	case d.err != nil:
		return d.err
	case voters%2 == 0:
		return keyErrorf("fleet.seats", "%d seats, but the number must be odd; 3 or 5 are recommended",
			voters)
	case len(d.fleet.Secret) < minSecretBytes:
		return keyErrorf("fleet.secret", "%d bytes long; the minimum is %d",
			len(d.fleet.Secret), minSecretBytes)
	case agreement.MaxNodes < int64(voters) || agreement.MaxNodes > maxNodes:
		return keyErrorf("fleet.most", "%d nodes; want at least the %d voters and at most %d",
			agreement.MaxNodes, voters, maxNodes)
	case time.Duration(agreement.Lease) < minLeaseRoundTrips*d.roundTrip:
		return keyErrorf("fleet.lease_ms", "%d ms is shorter than %d round trips of %v",
			time.Duration(agreement.Lease).Milliseconds(), minLeaseRoundTrips, d.roundTrip)
	}
	if err := checkBudgets(agreement.Budgets); err != nil {
		return err
	}
	if err := agreement.Validate(); err != nil {
		return agreementError(err)
	}
	return nil
}

// agreementError converts an error of Validate, whose text begins with the key relative to the fleet section.
func agreementError(err error) error {
	key, reason, _ := strings.Cut(err.Error(), ": ")
	return keyErrorf("fleet."+key, "%s", reason)
}

// decodeListen sets the address that a voter listens on. The default is the voter's entry in fleet.seats.
func (d *fleetDecoder) decodeListen() error {
	voter := d.fleet.Voter(d.node.Name)
	if voter == nil {
		return nil
	}
	if d.fleet.VoterListen == "" {
		d.fleet.VoterListen = voter.Address
	}
	listen := d.fleet.VoterListen
	if _, _, err := net.SplitHostPort(listen); err != nil {
		return keyErrorf("fleet.listen", "%q is not host:port", listen)
	}
	if listen == d.node.Listen || listen == d.node.AdminAddress {
		return keyErrorf("fleet.listen", "%q is already the address for clients or operators", listen)
	}
	return nil
}
