// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Main plays a case with the record file that the command line names and an empty folder, and ends the
// process with the exit code that play returns. If play fails, the case could not run.
func Main(play func(record *Record, dir string) (code int, err error)) {
	os.Exit(runCase(play))
}

func runCase(play func(record *Record, dir string) (code int, err error)) int {
	if len(os.Args) != 2 {
		fmt.Println("cannot run: the command line has to name the record file")
		return CannotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println("cannot run:", err)
		return CannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("cannot run: %v", err)
		return CannotRun
	}
	defer os.RemoveAll(dir)
	code, err := play(record, dir)
	if err != nil {
		record.Say("cannot run: %v", err)
		return CannotRun
	}
	return code
}

// ErrNothingServed means that a run proves nothing, since hardly any job was served.
var ErrNothingServed = errors.New("too few jobs were served")

// StartServers starts servers in a zone. prepare is called for each before it serves, and returns the address
// at which the node finds it, given its own.
func StartServers(
	record *Record, count int, zone string, prepare func(s *Server, address string) (string, error),
) (servers []*Server, entries []Entry, err error) {
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		s := NewServer(fmt.Sprintf("s-%d", i), record)
		address, err := prepare(s, l.Addr().String())
		if err != nil {
			return nil, nil, err
		}
		s.Serve(l)
		servers = append(servers, s)
		entries = append(entries, Entry{
			ID: s.Name, Address: address, Zone: zone, Kind: "std", State: "Ready", Weight: 1})
	}
	return servers, entries, nil
}

// StartDiscovery starts an agent that has the given servers, and returns its address.
func StartDiscovery(record *Record, entries []Entry) (d *Discovery, address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	d = NewDiscovery(record, entries...)
	d.Serve(l)
	return d, l.Addr().String(), nil
}

// NodeName returns the name of a node of a fleet.
func NodeName(i int) string { return fmt.Sprintf("n%d", i) }

// FleetSections returns the fleet section of the configuration for each of the nodes n0, n1 and so on. The
// nodes hold the slow-start budget together, with gossip.
func FleetSections(nodes int, isVoter func(i int) bool) []Object {
	var seats []Object
	var gossip []string
	for i := range nodes {
		gossip = append(gossip, FreeAddress())
		if isVoter(i) {
			seats = append(seats, Object{"name": NodeName(i), "address": FreeAddress()})
		}
	}
	var sections []Object
	for i := range nodes {
		sections = append(sections, Object{
			"secret":   "review of the fleet",
			"seats":    seats,
			"most":     nodes + 2,
			"lease_ms": 3000,
			"margin":   0.05,
			"gossip":   gossip[i],
			"join":     gossip[:2],
			"budgets":  Object{"cold": Object{"whole": 1000, "floor": 20, "reserve": 50, "step": 20}},
		})
	}
	return sections
}
