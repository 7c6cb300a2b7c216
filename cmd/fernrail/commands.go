// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"fernrail/internal/config"
)

// commandLine lists the commands of the program. Without arguments, the program serves.
type commandLine struct {
	Serve   serveCommand   `name:"serve" cmd:"" help:"Serve clients. This is the default. EDGE_CONFIG names the configuration file."`
	Config  configCommand  `name:"config" cmd:"" help:"Work with a configuration file without starting a node."`
	Fleet   fleetCommand   `name:"fleet" cmd:"" help:"Print a node's view of the fleet: epoch, budgets, members and seats."`
	Version versionCommand `name:"version" cmd:"" help:"Print the build revision and the Go version."`
}

// runCommand runs the command that the arguments name.
func runCommand() {
	var arguments commandLine
	context := kong.Parse(&arguments,
		kong.Name("fernrail"),
		kong.UsageOnError(),
		kong.Description("A node that forwards jobs from clients to executors. The default command is serve."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if context.Command() == "serve" {
		serve()
		return
	}
	context.FatalIfErrorf(context.Run())
}

// serveCommand has no Run method because serve reports an error in the log; kong would print it to standard
// error.
type serveCommand struct{}

type configCommand struct {
	Check checkCommand `name:"check" cmd:"" help:"Check a file in the same way as a start, and report the first invalid key."`
}

type checkCommand struct {
	File string `name:"file" arg:"" help:"The configuration file (JSON)." type:"existingfile"`
}

// Run loads a configuration in the same way as a start, and prints a summary of the node.
func (c *checkCommand) Run(out io.Writer) error {
	node, err := config.Load(func(variable string) string {
		if variable == "EDGE_CONFIG" {
			return c.File
		}
		return os.Getenv(variable)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: node %s, clients at %s\n", c.File, node.Name, node.Listen)
	fmt.Fprintln(out, describeFleet(node))
	return nil
}

// describeFleet summarizes the fleet section in one line.
func describeFleet(node *config.Node) string {
	if node.FleetDisabled {
		return "fleet: disabled, settings.Limits.MayTell forbids messages between nodes"
	}
	if node.Fleet == nil {
		return "fleet: no fleet section, no budgets are shared with other nodes"
	}
	role := "no seat"
	if node.Fleet.Voter(node.Name) != nil {
		role = "a seat at " + node.Fleet.VoterListen
	}
	budgets := slices.Sorted(maps.Keys(node.Fleet.Agreement.Budgets))
	return fmt.Sprintf("fleet: %s, %d seats, budgets %s",
		role, len(node.Fleet.Voters), strings.Join(budgets, ", "))
}

type versionCommand struct{}

// Run prints the revision and the Go version of the build.
func (versionCommand) Run(out io.Writer) error {
	goVersion, revision := "unknown", ""
	if build, ok := debug.ReadBuildInfo(); ok {
		goVersion = build.GoVersion
		revision = buildRevision(build)
	}
	_, err := fmt.Fprintf(out, "fernrail%s, %s\n", revision, goVersion)
	return err
}

// buildRevision returns " REVISION", followed by " modified" if the sources had uncommitted changes. It
// returns "" if the revision is unknown.
func buildRevision(build *debug.BuildInfo) (revision string) {
	for _, setting := range build.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision += " " + setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			revision += " modified"
		}
	}
	return revision
}
