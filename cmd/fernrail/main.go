// SPDX-License-Identifier: Apache-2.0

// Command fernrail is one node: it takes jobs from clients and pushes them to executors.
package main

import (
	"context"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/admin"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/metrics"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

const (
	// longestStop is how long a node is given at most, after the order to stop, for the txns that it has.
	longestStop = 3 * time.Second
	// stopMargin is part of the 0.7 s that it is given beyond that; the rest is for the last answers.
	stopMargin = 300 * time.Millisecond
)

// catchUp is how long a process that takes over waits for discovery; it has to serve within 6 s.
const catchUp = 4 * time.Second

// memoryPart of the limit is what the runtime is told; the rest is for stacks of the kernel and the program itself.
const memoryPart = 0.75

// clock is what leases are counted by; tests alone put another one here.
var clock fleet.Clock = fleet.Boottime

func main() {
	if len(os.Args) > 1 {
		commands()
		return
	}
	serve()
}

// serve is a bare start.
func serve() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("node ends")
		os.Exit(1)
	}
}

func run(log zerolog.Logger) error {
	// Danger: a SIGHUP that nobody waits for ends the program. Of several that come at once the last one counts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// Danger: a node in trouble that spends its core on telling so.
	few := &zerolog.BurstSampler{Burst: 20, Period: time.Second}
	log = log.With().Str("node", c.Name).Logger().Level(c.LogLevel).Sample(&zerolog.LevelSampler{DebugSampler: few, WarnSampler: few})
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	var share *fleet.Fleet
	if c.FleetDisabled {
		log.Warn().Str("key", "fleet").Msg("settings.Limits.MayTell does not let nodes talk: no budget is held together")
	}
	if c.Fleet != nil {
		if share, err = fleet.Start(c.Name, c.Fleet, c.ListenFD != 0, clock, log); err != nil {
			return err
		}
		defer share.Close()
	}
	desk := wire(c, share, log)
	defer desk.seat.Leave()
	log.Info().Int("beside", desk.seat.OtherProcesses()).Msg("node starts")
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	follow, cancel := context.WithCancel(context.Background())
	defer cancel()
	go desk.node.WatchEndpoints(follow)
	go desk.keepUp(follow)
	if share != nil && c.Fleet.WitnessQuorum > 0 {
		go share.RunOutlierGossip(follow, desk.node.IsListed, desk.node.SetOutlierScores)
	}
	if share != nil && c.Fleet.Subset != nil {
		go desk.divide(follow)
	}
	go func() {
		for range hangup {
			reload(c, desk.node, log)
		}
	}()

	if c.AdminAddress != "" {
		l, err := net.Listen("tcp", c.AdminAddress)
		if err != nil {
			return err
		}
		defer l.Close()
		go admin.New(desk, places(c.Sockets), log).Serve(l)
	}
	// Danger: a new process on an old list draws clients from one that knows the present one.
	if desk.seat.OtherProcesses() > 0 {
		select {
		case <-desk.node.FirstUpdate():
		case <-time.After(catchUp):
			log.Warn().Msg("discovery is silent: the node serves on the list in its configuration")
		case <-stopped.Done():
			log.Info().Msg("node ends before it served")
			desk.outlast(min(c.MaxDeadline, longestStop) + 2*stopMargin)
			return nil
		}
	}
	l, err := listen(c)
	if err != nil {
		return err
	}
	// Danger: an old process that is told to end at this one's yes, and does not see yet that it has a successor.
	desk.seat.StartServing()
	ended := desk.server.Start(l)
	if c.PeerMessagesUnsupported && c.Fleet == nil {
		log.Warn().Str("key", "settings.Limits.MayTell").Msg("messages between nodes have no protocol here: none are sent")
	}
	log.Info().Str("listen", c.Listen).Int("executors", len(c.InitialEndpoints.Endpoints)).Int("beside", desk.seat.OtherProcesses()).Msg("node serves")
	select {
	case err := <-ended:
		return err
	case <-stopped.Done():
	}
	taken := desk.handOver()
	if share != nil && taken {
		share.HandOver()
	}
	log.Info().Bool("successor", taken).Msg("node stops")
	within := min(c.MaxDeadline, longestStop) + stopMargin
	desk.node.Shutdown(within)
	if err := desk.server.Stop(within+stopMargin, taken); err != nil {
		log.Warn().Err(err).Msg("ends with clients connected")
	}
	return nil
}

// listen opens the clients' address, or takes over the socket that was inherited.
func listen(c *config.Node) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	return transport.InheritListener(c.ListenFD)
}

// places is how many operators' calls are held at a time: a part of the descriptors that takes little from clients.
func places(sockets int) int { return min(max(sockets/24, 2), 32) }

// wire puts a node together. share is nil where it holds no budgets with others.
func wire(c *config.Node, share *fleet.Fleet, log zerolog.Logger) *desk {
	descriptors, counters := transport.NewConnectionBudget(c.Sockets), metrics.New(c.Names.Classes)
	descriptors.SetLogger(log)
	carrier := transport.NewServerClient(descriptors, c.DialTimeout, c.IdleTimeout, c.LoadReportKeys, counters.AttemptSent)
	var held routing.QuotaSource
	if share != nil {
		p := &purse{share, descriptors}
		held = p
		carrier.SetDialGate(p.dial)
	}
	node := routing.New(routing.Config{
		Settings:         c.Settings,
		Seed:             c.Seed,
		InitialEndpoints: c.InitialEndpoints,
		Forwarder:        carrier,
		ProbeTimeout:     c.ProbeTimeout,
		EndpointSource:   transport.NewDiscoveryClient(c.Discovery, c.Names),
		QuotaSource:      held,
		Log:              log,
	})
	carrier.SetSchedulingDelay(node.SchedulingDelay)
	if share != nil && c.Fleet.WitnessQuorum > 0 {
		node.OnOutcome(share.RecordOutcome)
	}
	d := &desk{config: c, share: share, node: node, descriptors: descriptors, counters: counters, log: log,
		server: transport.NewServer(descriptors, c.Names, node.Serve, node.Ready, counters, log)}
	// Danger: looks at files many times a second, at a node that has no operators and no second process.
	dir := ""
	if c.AdminAddress != "" || c.ListenFD != 0 {
		dir = os.Getenv("TMPDIR")
	}
	d.join(dir)
	return d
}

// reload reads the file again and turns to the discovery that it names. All else goes on as it is.
func reload(c *config.Node, node *routing.Router, log zerolog.Logger) {
	now, left, err := c.Reload(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("new configuration not taken")
		return
	}
	if len(left) > 0 {
		log.Warn().Strs("keys", left).Msg("new configuration: these wait for a restart")
	}
	log.Info().Str("discovery", now.Discovery).Msg("new configuration")
	if now.Discovery != c.Discovery {
		c.Discovery = now.Discovery
		node.SetEndpointSource(transport.NewDiscoveryClient(now.Discovery, c.Names))
	}
}
