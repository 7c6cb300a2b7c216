// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"sync/atomic"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/metrics"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// node is the set of components of one node process.
type node struct {
	config      *config.Node
	budgets     *fleet.Fleet // nil: no budgets are shared with other nodes
	router      *routing.Router
	server      *transport.Server
	connections *transport.ConnectionBudget
	counters    *metrics.Counters
	processes   *processCoordinator
	subset      atomic.Pointer[fleet.SubsetStatus] // nil: no subsets are configured, or none is assigned yet
	log         zerolog.Logger
}

// newNode creates the components of a node. budgets is nil if it shares none with other nodes.
func newNode(c *config.Node, budgets *fleet.Fleet, log zerolog.Logger) *node {
	n := &node{config: c, budgets: budgets, counters: metrics.New(c.Names.Classes), log: log}
	connections := transport.NewConnectionBudget(c.MaxDescriptors)
	connections.SetLogger(log)
	connections.SetMemoryLimit(int(c.Memory))
	n.connections = connections
	n.router = newRouter(n, connections)
	n.server = transport.NewServer(connections, c.Names, n.router.Serve, n.router.Ready, n.counters, log)
	n.processes = &processCoordinator{
		config:      c,
		router:      n.router,
		budgets:     budgets,
		connections: connections,
		log:         log,
	}
	n.processes.join(sharedDirectory(c))
	return n
}

// newRouter creates the router, with its connections to servers, discovery and the budgets.
func newRouter(n *node, connections *transport.ConnectionBudget) *routing.Router {
	c := n.config
	client := transport.NewServerClient(
		connections, c.DialTimeout, c.IdleTimeout, c.LoadReportKeys, n.counters.AttemptSent)
	var quotas routing.QuotaSource
	if n.budgets != nil {
		source := &quotaSource{budgets: n.budgets, connections: connections}
		client.SetDialGate(source.allowDial)
		quotas = source
	}
	discovery := transport.NewDiscoveryClient(c.Discovery, c.Names)
	router := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             c.Seed,
		InitialEndpoints: c.InitialEndpoints,
		Forwarder:        client,
		ProbeTimeout:     c.ProbeTimeout,
		EndpointSource:   discovery,
		QuotaSource:      quotas,
		Log:              n.log,
	})
	client.SetSchedulingDelay(router.SchedulingDelay)
	if n.budgets != nil && c.Fleet.WitnessQuorum > 0 {
		router.OnOutcome(n.budgets.RecordOutcome)
	}
	return router
}

// sharedDirectory returns the directory that the processes of a node share, or "" if there is none. A node
// with neither an admin address nor an inherited listener has only one process, which need not check files
// several times a second.
func sharedDirectory(c *config.Node) string {
	if c.AdminAddress == "" && c.ListenFD == 0 {
		return ""
	}
	return os.Getenv("TMPDIR")
}

// adminHandler returns the handler of operators' commands.
func (n *node) adminHandler() *adminHandler {
	return &adminHandler{node: n}
}
