// SPDX-License-Identifier: Apache-2.0

package config

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernrail/internal/fleet/budget"
	"fernrail/internal/fleet/subset"
)

// Voter is a node that takes part in granting.
type Voter struct{ Name, Address string }

// Fleet is how a node holds budgets together with others.
type Fleet struct {
	Listen          string // of a seat
	Secret          string // what all nodes of a fleet know
	DataDir         string // where a seat keeps what was agreed; empty: in memory alone
	Voters          []Voter
	ElectionTimeout time.Duration // after which a seat that hears nothing looks for another grantor
	Agreement       budget.Agreement
	Gossip          string            // where this node hears who is there; empty: it takes no part in that
	Join            []string          // where others do, some of them
	Routes          map[string]string // addresses that this node reaches by another one
	Subset          *subset.Settings  // nil: each node uses all executors
	WitnessQuorum   int               // of witnesses that shut an executor out; 0: nodes do not tell of executors
	Zone            string            // of this node; empty: the settings name none
}

// Budgets that can be held together, by the names that the file gives them.
const (
	BudgetRetries        = "again"   // second and later postings, of all txns of all nodes
	BudgetConnections    = "connect" // new connections to one executor
	BudgetSlowStart      = "cold"    // parts of the work that a cold executor bears
	BudgetTenantAttempts = "jobs"    // postings of one tenant that are out; the window is how long one may be that nothing is heard of
	BudgetPolls          = "calls"   // for the list
)

const (
	defaultElectionMillis    = 300                   // ms; a loaded machine pauses for a tenth of a second
	defaultLeaseMillis       = 3000                  // ms
	defaultClockMargin       = 0.05                  // clocks of machines differ by a thousandth of that; paused virtual ones do not
	minLeaseRoundTrips       = 3                     // at least, in a lease
	minSecretBytes           = 8                     // bytes
	defaultMinNodesPerServer = 3                     // nodes that use an executor at least: two may be wrong about who is there
	maxNodes                 = 4096                  // that any fleet may ever have
	defaultRoundTrip         = 50 * time.Millisecond // of a call between nodes
)

// decodeFleet reads the section of that name; nil: there is none.
func (n *Node) decodeFleet(r *valueReader, flat map[string]string) (*Fleet, error) {
	names := map[string]bool{}
	some, parted := false, false
	for key := range flat {
		rest, is := strings.CutPrefix(key, "fleet.")
		some, parted = some || is, parted || strings.HasPrefix(rest, "subset.")
		if rest, is = strings.CutPrefix(rest, "budgets."); is {
			name, _, _ := strings.Cut(rest, ".")
			names[name] = true
		}
	}
	if !some {
		return nil, nil
	}
	f := &Fleet{Listen: r.text("fleet.listen"), Secret: r.text("fleet.secret"), DataDir: r.text("fleet.dir"),
		ElectionTimeout: time.Duration(r.integer("fleet.pace_ms", defaultElectionMillis, 20)) * time.Millisecond}
	f.Agreement = budget.Agreement{MaxNodes: r.integer("fleet.most", 0, 1), Lease: r.integer("fleet.lease_ms", defaultLeaseMillis, 1) * 1e6,
		ClockMargin: r.float("fleet.margin", defaultClockMargin), Budgets: map[string]budget.Limits{}}
	trip := time.Duration(r.integer("fleet.round_trip_ms", int64(defaultRoundTrip/time.Millisecond), 1)) * time.Millisecond
	f.Gossip, f.Join, f.Routes = r.text("fleet.gossip"), r.list("fleet.join"), map[string]string{}
	for key, to := range flat {
		if from, is := strings.CutPrefix(key, "fleet.routes."); is {
			f.Routes[from] = to
		}
	}
	for _, address := range append(slices.Clone(f.Join), f.Gossip) {
		if host, _, err := net.SplitHostPort(address); address != "" && (err != nil || net.ParseIP(host) == nil) {
			return nil, keyErrorf("fleet.gossip, fleet.join", "%q is not IP:port; no names are looked up", address)
		}
	}
	if f.Gossip == "" && len(f.Join) > 0 {
		return nil, keyErrorf("fleet.join", "nothing to join by without fleet.gossip")
	}
	if parted {
		f.Subset = &subset.Settings{Size: int(r.integer("fleet.subset.size", 0, 1)), MinNodesPerServer: int(r.integer("fleet.subset.cover", defaultMinNodesPerServer, 1))}
		// Danger: a zone or a kind that a node can't reach, or a part that is none.
		least, listed := max(len(n.Names.Zones), len(n.Names.MachineTypes)), len(n.InitialEndpoints.Endpoints)
		switch size := f.Subset.Size; {
		case r.err != nil:
			return nil, r.err
		case size < least:
			return nil, keyErrorf("fleet.subset.size", "%d is under the %d zones or kinds of which each node needs one", size, least)
		case listed > 0 && size > listed:
			return nil, keyErrorf("fleet.subset.size", "%d is more than the %d executors that are known", size, listed)
		case f.Gossip == "":
			return nil, keyErrorf("fleet.subset", "without fleet.gossip no node knows of others")
		}
	}
	if z := n.Settings.Zone; z >= 0 && z < len(n.Names.Zones) {
		f.Zone = n.Names.Zones[z]
	}
	if _, told := flat["fleet.signals.quorum"]; told {
		f.WitnessQuorum = int(r.integer("fleet.signals.quorum", 0, 2))
		switch {
		case r.err != nil:
			return nil, r.err
		case f.Gossip == "":
			return nil, keyErrorf("fleet.signals", "without fleet.gossip nodes hear nothing of each other")
		case f.Zone == "":
			return nil, keyErrorf("fleet.signals", "settings.MyZone and settings.Dcs name no zone, so that this node is no witness")
		case int64(f.WitnessQuorum) > f.Agreement.MaxNodes:
			return nil, keyErrorf("fleet.signals.quorum", "%d is more than all nodes, fleet.most", f.WitnessQuorum)
		}
	}
	count := int(r.integer("fleet.seats.count", 0, 0))
	for i := range count {
		at := "fleet.seats." + strconv.Itoa(i)
		s := Voter{r.text(at + ".name"), r.text(at + ".address")}
		if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
			return nil, keyErrorf(at+".name", "%q is no name of a node", s.Name)
		}
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return nil, keyErrorf(at+".address", "%q is not host:port", s.Address)
		}
		for j, other := range f.Voters {
			if other.Name == s.Name {
				return nil, keyErrorf(at+".name", "%q is the name of seat %d as well", s.Name, j)
			}
			if other.Address == s.Address {
				return nil, keyErrorf(at+".address", "%q is the address of seat %d as well", s.Address, j)
			}
		}
		f.Voters = append(f.Voters, s)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		at := "fleet.budgets." + name + "."
		window, longest, soon := int64(1000), n.MaxDeadline.Milliseconds(), n.Settings.MaxPollWait()
		switch fall := n.Settings.OverloadWindow / 1e6; {
		case !slices.Contains([]string{BudgetRetries, BudgetConnections, BudgetSlowStart, BudgetTenantAttempts, BudgetPolls}, name):
			return nil, keyErrorf("fleet.budgets."+name, "no such budget; there are %s, %s, %s, %s and %s", BudgetRetries, BudgetConnections, BudgetSlowStart, BudgetTenantAttempts, BudgetPolls)
		case name == BudgetSlowStart && fall > 0:
			window = fall
		case name == BudgetTenantAttempts:
			window = longest
		}
		t := budget.Limits{Total: r.integer(at+"whole", 0, 1), Floor: r.integer(at+"floor", 0, 0), Reserve: r.integer(at+"reserve", 0, 0),
			Step: r.integer(at+"step", 1, 1), Window: r.integer(at+"window_ms", window, 1) * 1e6, Partitions: r.integer(at+"parts", 1, 1), FirstAttemptRatio: r.float(at+"share", 0)}
		if name == BudgetSlowStart && t.Window < n.Settings.OverloadWindow {
			return nil, keyErrorf(at+"window_ms", "%d is under the window in which a cold executor falls over, settings.Rules.Fall", t.Window/1e6)
		}
		if name == BudgetTenantAttempts && t.Window < int64(n.MaxDeadline) {
			return nil, keyErrorf(at+"window_ms", "%d is under the longest expiry of a scheme, %d, for which a job may run that nothing is heard of", t.Window/1e6, longest)
		}
		// Danger: news that lies longer than the rules allow since no share comes. A floor is one call in a window, so the window is
		// what a node waits at most.
		if name == BudgetPolls && (t.Floor < 1 || float64(t.Window)*(1+f.Agreement.ClockMargin) >= float64(soon)) {
			return nil, keyErrorf(at+"floor", "%d in a window of %d ms; each node needs one in less than %d, by settings.Rules", t.Floor, t.Window/1e6, soon/1e6)
		}
		f.Agreement.Budgets[name] = t
	}
	switch {
	case r.err != nil:
		return nil, r.err
	case count == 0 || count%2 == 0:
		return nil, keyErrorf("fleet.seats", "%d seats; an odd number is needed, best three or five", count)
	case len(f.Secret) < minSecretBytes:
		return nil, keyErrorf("fleet.secret", "%d bytes; at least %d are needed", len(f.Secret), minSecretBytes)
	case f.Agreement.MaxNodes < int64(count) || f.Agreement.MaxNodes > maxNodes:
		return nil, keyErrorf("fleet.most", "%d is not between the %d seats and %d", f.Agreement.MaxNodes, count, maxNodes)
	case f.Agreement.Lease < minLeaseRoundTrips*int64(trip):
		return nil, keyErrorf("fleet.lease_ms", "%d is shorter than %d round trips of %v", f.Agreement.Lease/1e6, minLeaseRoundTrips, trip)
	case !names[BudgetSlowStart]:
		return nil, keyErrorf("fleet.budgets.cold", "missing; nodes that hold budgets together take no turns at cold executors")
	case slices.ContainsFunc([]string{BudgetSlowStart, BudgetConnections, BudgetTenantAttempts, BudgetPolls}, func(name string) bool { return f.Agreement.Budgets[name].FirstAttemptRatio != 0 }):
		return nil, keyErrorf("fleet.budgets", "share is for second postings alone, which are one of first ones")
	case f.Agreement.Budgets[BudgetRetries].Partitions > 1:
		return nil, keyErrorf("fleet.budgets.again.parts", "%d; second postings are counted for all executors together", f.Agreement.Budgets[BudgetRetries].Partitions)
	case f.Agreement.Budgets[BudgetPolls].Partitions > 1:
		return nil, keyErrorf("fleet.budgets.calls.parts", "%d; there is one list", f.Agreement.Budgets[BudgetPolls].Partitions)
	}
	if err := f.Agreement.Validate(); err != nil {
		return nil, agreementError(err)
	}
	seat := f.Voter(n.Name)
	if seat != nil && f.Listen == "" {
		f.Listen = seat.Address
	}
	if seat != nil {
		if _, _, err := net.SplitHostPort(f.Listen); err != nil {
			return nil, keyErrorf("fleet.listen", "%q is not host:port", f.Listen)
		}
		if f.Listen == n.Listen || f.Listen == n.AdminAddress {
			return nil, keyErrorf("fleet.listen", "%q is where clients or operators connect", f.Listen)
		}
	}
	return f, nil
}

// Voter is the seat of that name; nil: the node has none.
func (f *Fleet) Voter(name string) *Voter {
	if i := slices.IndexFunc(f.Voters, func(s Voter) bool { return s.Name == name }); i >= 0 {
		return &f.Voters[i]
	}
	return nil
}

// agreementError names the key within the file: Validate begins its text with the key below the fleet section.
func agreementError(err error) error {
	key, reason, _ := strings.Cut(err.Error(), ": ")
	return keyErrorf("fleet."+key, "%s", reason)
}
