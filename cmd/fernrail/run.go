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
	// maxShutdownTime bounds the time that a stopping node waits for requests in flight.
	maxShutdownTime = 3 * time.Second
	// shutdownMargin is added after the last deadline of a request. The process must exit within 0.7 s of
	// that deadline: one margin is for the dispatcher, a second one for sending the last answers, and the
	// rest for the exit itself.
	shutdownMargin = 300 * time.Millisecond
	// fleetCloseTime bounds the end of the fleet part, which comes after the last answer and notifies other nodes.
	fleetCloseTime = time.Second
	// discoveryWait bounds the wait of a successor process for discovery. The process must serve within 6 s.
	discoveryWait = 4 * time.Second
)

// Limits on concurrent admin connections. They use a small part of the descriptors, which leaves most of them
// to clients.
const (
	socketsPerAdminConnection = 24
	minAdminConnections       = 2
	maxAdminConnections       = 32
)

// adminConnectionLimit returns the limit on concurrent admin connections of a node with the given number of
// descriptors.
func adminConnectionLimit(sockets int) int {
	return min(max(sockets/socketsPerAdminConnection, minAdminConnections), maxAdminConnections)
}

// shutdownTime returns how long the dispatcher may take to finish all requests.
func shutdownTime(c *config.Node) time.Duration {
	return min(c.MaxDeadline, maxShutdownTime) + shutdownMargin
}

// run starts a node, serves until a stop signal arrives, and shuts the node down.
func run(log zerolog.Logger) error {
	// Registered first, because an unhandled SIGHUP would kill the process. One pending signal is enough: a
	// reload reads the latest file.
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
		defer runWithin(fleetCloseTime, budgets.Close)
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
		log.Info().Msg("stopped before serving clients; waiting for the other processes of this node to exit")
		n.processes.awaitOthers(shutdownTime(c) + shutdownMargin)
		return nil
	}
	return n.serveUntil(stopped)
}

// startFleet starts the sharing of budgets with other nodes. It returns nil if none is configured.
func startFleet(c *config.Node, log zerolog.Logger) (*fleet.Fleet, error) {
	if c.FleetDisabled {
		log.Warn().Str("key", "fleet").
			Msg("settings.Limits.MayTell forbids messages between nodes; ignoring the fleet section")
	}
	if c.Fleet == nil {
		return nil, nil
	}
	return fleet.Start(c.Name, c.Fleet, c.ListenFD != 0, clock, log)
}

// startBackground starts the background tasks, which run until the context ends. Nothing waits for them: the
// process exits after its last client, and the tasks hold no resources that must be released.
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

// startAdmin serves operators if the node has an admin address. The returned function closes the listener.
func (n *node) startAdmin() (closeListener func(), err error) {
	if n.config.AdminAddress == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", n.config.AdminAddress)
	if err != nil {
		return nil, err
	}
	server := admin.New(n.adminHandler(), adminConnectionLimit(n.config.MaxDescriptors), n.log)
	go server.Serve(l)
	return func() { l.Close() }, nil
}

// awaitDiscovery makes a successor process wait for the first answer of discovery. Otherwise it would take
// clients from a process that has the current endpoint list, and serve them with an outdated one. It returns
// false if a stop signal arrives meanwhile.
func (n *node) awaitDiscovery(stopped context.Context) bool {
	if n.processes.others() == 0 {
		return true
	}
	select {
	case <-n.router.FirstPollSucceeded():
	case <-time.After(discoveryWait):
		n.log.Warn().Msgf(
			"discovery did not answer within %v; serving with the endpoint list of the configuration", discoveryWait)
	case <-stopped.Done():
		return false
	}
	return true
}

// serveUntil serves clients until a stop signal arrives, and then shuts the node down. It returns an error if
// the listener fails.
func (n *node) serveUntil(stopped context.Context) error {
	l, err := listen(n.config)
	if err != nil {
		return err
	}
	// This must precede the first answer: an upgrade may stop the other process as soon as this one answers,
	// and that process must see its successor by then.
	n.processes.startServing()
	serverEnded := n.server.Start(l)
	n.logServing()
	select {
	case err := <-serverEnded:
		return err
	case <-stopped.Done():
	}
	n.shutDown()
	return nil
}

func (n *node) logServing() {
	if n.config.PeerMessagesUnsupported && n.config.Fleet == nil {
		n.log.Warn().Str("key", "settings.Limits.MayTell").
			Msg("messages between nodes are not supported without a fleet section; sending none")
	}
	n.log.Info().
		Str("listen", n.config.Listen).
		Int("executors", len(n.config.InitialEndpoints.Endpoints)).
		Int("beside", n.processes.others()).
		Msg("node serves")
}

// shutDown hands over to another process of the node, if one serves, and answers all requests in flight. The time
// for that starts at once: no step before it waits for other nodes.
func (n *node) shutDown() {
	timeout := shutdownTime(n.config)
	n.router.Shutdown(timeout)
	handedOver := n.processes.handOver()
	if n.budgets != nil && handedOver {
		go n.budgets.ReleaseAddresses() // waits for calls to voters that may not answer
	}
	n.log.Info().Bool("successor", handedOver).Msg("node stops")
	if err := n.server.Stop(timeout+shutdownMargin, handedOver); err != nil {
		n.log.Warn().Err(err).Msg("shutdown incomplete; exiting with clients connected")
	}
}

// runWithin calls a function and returns when it has returned, or after a time-out.
func runWithin(timeout time.Duration, call func()) {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		call()
	}()
	select {
	case <-returned:
	case <-time.After(timeout):
	}
}

// listen opens the client listener, or takes over the inherited one.
func listen(c *config.Node) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	return transport.InheritListener(c.ListenFD)
}
