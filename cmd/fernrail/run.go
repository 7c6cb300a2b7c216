// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/admin"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/transport"
)

const (
	// maxShutdownTime is how long a node has at most, once it is told to stop, for the requests that it holds.
	maxShutdownTime = 3 * time.Second
	// shutdownMargin follows the last deadline of a request: the node has 0.7 s beyond that time to end, of which this
	// goes to the dispatcher, as much again to the last answers, and the rest to the end of the process.
	shutdownMargin = 300 * time.Millisecond
	// discoveryWait is how long a process that takes over waits for discovery. It has to serve within 6 s.
	discoveryWait = 4 * time.Second
)

// Bounds of how many operators' connections a node holds at a time: a part of its descriptors that takes little from
// clients.
const (
	socketsPerAdminConnection = 24
	minAdminConnections       = 2
	maxAdminConnections       = 32
)

// maxAdminConnectionsOf returns how many operators' connections a node with so many descriptors holds at a time.
func maxAdminConnectionsOf(sockets int) int {
	return min(max(sockets/socketsPerAdminConnection, minAdminConnections), maxAdminConnections)
}

// shutdownTime returns how long the dispatcher may take to end all requests.
func shutdownTime(c *config.Node) time.Duration {
	return min(c.MaxDeadline, maxShutdownTime) + shutdownMargin
}

// run starts a node, serves until the process is told to stop, and ends it.
func run(log zerolog.Logger) error {
	// A SIGHUP that is not awaited would end the process. Of several at once the last one counts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	log = nodeLogger(log, c)
	limitCores(c.Cores)
	budgets, err := startFleet(c, log)
	if err != nil {
		return err
	}
	if budgets != nil {
		defer budgets.Close()
	}
	n := newNode(c, budgets, log)
	defer n.processes.leave()
	log.Info().Int("beside", n.processes.others()).Msg("node starts")
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.startBackground(background)
	go n.reloadOn(hangup)

	closeAdmin, err := n.startAdmin()
	if err != nil {
		return err
	}
	defer closeAdmin()
	if !n.awaitDiscovery(stopped) {
		log.Info().Msg("node ends before it served")
		n.processes.awaitOthers(shutdownTime(c) + shutdownMargin)
		return nil
	}
	return n.serveUntil(stopped)
}

// startFleet joins the nodes that budgets are held with; nil: there are none.
func startFleet(c *config.Node, log zerolog.Logger) (*fleet.Fleet, error) {
	if c.FleetDisabled {
		log.Warn().Str("key", "fleet").
			Msg("settings.Limits.MayTell does not let nodes talk: no budget is held together")
	}
	if c.Fleet == nil {
		return nil, nil
	}
	return fleet.Start(c.Name, c.Fleet, c.ListenFD != 0, clock, log)
}

// startBackground starts what goes on beside the service, until the context ends. Nothing waits for it: the process
// ends with its last client, and none of it holds anything that has to be given back.
func (n *node) startBackground(ctx context.Context) {
	go n.router.WatchEndpoints(ctx)
	go n.processes.syncProcesses(ctx)
	if n.budgets == nil {
		return
	}
	if n.config.Fleet.WitnessQuorum > 0 {
		go n.budgets.RunOutlierGossip(ctx, n.router.IsListed, n.router.SetOutlierScores)
	}
	if n.config.Fleet.Subset != nil {
		go n.assignSubsets(ctx)
	}
}

// startAdmin serves operators, where the node has an address for them, until the function that it returns is called.
func (n *node) startAdmin() (closeListener func(), err error) {
	if n.config.AdminAddress == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", n.config.AdminAddress)
	if err != nil {
		return nil, err
	}
	server := admin.New(n.adminHandler(), maxAdminConnectionsOf(n.config.Sockets), n.log)
	go server.Serve(l)
	return func() { l.Close() }, nil
}

// awaitDiscovery has a process that takes over wait for discovery's first answer: on an old endpoint list it would
// draw clients from a process that has the current one. It reports false where the process is told to stop meanwhile.
func (n *node) awaitDiscovery(stopped context.Context) bool {
	if n.processes.others() == 0 {
		return true
	}
	select {
	case <-n.router.FirstUpdate():
	case <-time.After(discoveryWait):
		n.log.Warn().Msg("discovery is silent: the node serves on the list in its configuration")
	case <-stopped.Done():
		return false
	}
	return true
}

// serveUntil serves clients until the process is told to stop or its listener fails, and then ends the node.
func (n *node) serveUntil(stopped context.Context) error {
	l, err := listen(n.config)
	if err != nil {
		return err
	}
	// Before the first client: whoever upgrades the node may end the other process at this one's first answer, and that
	// one has to see its successor by then.
	n.processes.startServing()
	ended := n.server.Start(l)
	n.logServing()
	select {
	case err := <-ended:
		return err
	case <-stopped.Done():
	}
	n.shutDown()
	return nil
}

func (n *node) logServing() {
	if n.config.PeerMessagesUnsupported && n.config.Fleet == nil {
		n.log.Warn().Str("key", "settings.Limits.MayTell").
			Msg("messages between nodes have no protocol here: none are sent")
	}
	n.log.Info().
		Str("listen", n.config.Listen).
		Int("executors", len(n.config.InitialEndpoints.Endpoints)).
		Int("beside", n.processes.others()).
		Msg("node serves")
}

// shutDown hands over to another process of the node, if there is one, and answers all requests that were taken.
func (n *node) shutDown() {
	handedOver := n.processes.handOver()
	if n.budgets != nil && handedOver {
		n.budgets.HandOver()
	}
	n.log.Info().Bool("successor", handedOver).Msg("node stops")
	timeout := shutdownTime(n.config)
	n.router.Shutdown(timeout)
	if err := n.server.Stop(timeout+shutdownMargin, handedOver); err != nil {
		n.log.Warn().Err(err).Msg("ends with clients connected")
	}
}

// listen opens the clients' address, or takes over the socket that was inherited.
func listen(c *config.Node) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	return transport.InheritListener(c.ListenFD)
}
