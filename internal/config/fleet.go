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

// Voter is a node that votes on who holds how much of each budget.
type Voter struct{ Name, Address string }

// Fleet is how a node holds budgets together with others.
type Fleet struct {
	Listen          string // where a voter is called
	Secret          string // known to all nodes of a fleet, which authenticate each other by it
	DataDir         string // where a voter keeps its log and snapshots; empty: in memory alone
	Voters          []Voter
	ElectionTimeout time.Duration // after which a voter that hears no leader stands for election
	Agreement       budget.Agreement
	Gossip          string            // where this node exchanges gossip; empty: it takes no part
	Join            []string          // where some of the others do
	Routes          map[string]string // addresses that this node reaches by another one
	Subset          *subset.Settings  // nil: each node uses all servers
	WitnessQuorum   int               // nodes that have to call a server an outlier; 0: nodes exchange no outlier scores
	Zone            string            // of this node; empty: the settings name none
}

const (
	defaultElectionTimeout = 300 * time.Millisecond // a loaded machine pauses for 100 ms
	minElectionTimeout     = 20 * time.Millisecond
	defaultLease           = 3 * time.Second
	defaultClockMargin     = 0.05 // share by which the rates of two clocks may differ
	defaultRoundTrip       = 50 * time.Millisecond
	minLeaseRoundTrips     = 3 // a lease has to allow for a renewal and its retry
	minSecretBytes         = 8
	maxNodes               = 4096
)

// Voter returns the voter with that name; nil: that node is none.
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

	roundTrip time.Duration // of a call between voters, at the most
}

// decodeFleet reads the fleet section; nil: there is none.
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

// zone returns the name of this node's zone; empty: the settings name none.
func (n *Node) zone() string {
	if n.Settings.Zone < 0 || n.Settings.Zone >= len(n.Names.Zones) {
		return ""
	}
	return n.Names.Zones[n.Settings.Zone]
}

// decodeBasics reads what stands directly in the section.
func (d *fleetDecoder) decodeBasics() error {
	d.fleet.Listen = d.text("fleet.listen")
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

// decodeVoters reads the voters. Each has a name and an address of its own.
func (d *fleetDecoder) decodeVoters() error {
	count := int(d.integer("fleet.seats.count", 0, 0))
	for i := range count {
		key := voterKey(i)
		voter := Voter{Name: d.text(key + ".name"), Address: d.text(key + ".address")}
		if voter.Name == "" || strings.ContainsAny(voter.Name, "/ ") {
			return keyErrorf(key+".name", "%q is no name of a node", voter.Name)
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

// checkUniqueVoter compares a voter with those before it.
func (d *fleetDecoder) checkUniqueVoter(key string, voter Voter) error {
	for i, other := range d.fleet.Voters {
		if other.Name == voter.Name {
			return keyErrorf(key+".name", "%q is the name of voter %d as well", voter.Name, i)
		}
		if other.Address == voter.Address {
			return keyErrorf(key+".address", "%q is the address of voter %d as well", voter.Address, i)
		}
	}
	return nil
}

// checkSection checks what concerns several parts of the section, once all of them have been read.
func (d *fleetDecoder) checkSection() error {
	voters, agreement := len(d.fleet.Voters), &d.fleet.Agreement
	switch {
	case d.err != nil:
		return d.err
	case voters%2 == 0:
		return keyErrorf("fleet.seats", "%d seats; an odd number is needed, best three or five", voters)
	case len(d.fleet.Secret) < minSecretBytes:
		return keyErrorf("fleet.secret", "%d bytes; at least %d are needed", len(d.fleet.Secret), minSecretBytes)
	case agreement.MaxNodes < int64(voters) || agreement.MaxNodes > maxNodes:
		return keyErrorf("fleet.most", "%d is not between the %d voters and %d", agreement.MaxNodes, voters, maxNodes)
	case time.Duration(agreement.Lease) < minLeaseRoundTrips*d.roundTrip:
		return keyErrorf("fleet.lease_ms", "%d is shorter than %d round trips of %v",
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

// agreementError names the key within the file: Validate begins its text with the key below the fleet section.
func agreementError(err error) error {
	key, reason, _ := strings.Cut(err.Error(), ": ")
	return keyErrorf("fleet."+key, "%s", reason)
}

// decodeListen finds out where a voter is called: at its address among the voters, unless it listens at another one.
func (d *fleetDecoder) decodeListen() error {
	voter := d.fleet.Voter(d.node.Name)
	if voter == nil {
		return nil
	}
	if d.fleet.Listen == "" {
		d.fleet.Listen = voter.Address
	}
	listen := d.fleet.Listen
	if _, _, err := net.SplitHostPort(listen); err != nil {
		return keyErrorf("fleet.listen", "%q is not host:port", listen)
	}
	if listen == d.node.Listen || listen == d.node.AdminAddress {
		return keyErrorf("fleet.listen", "%q is where clients or operators connect", listen)
	}
	return nil
}
