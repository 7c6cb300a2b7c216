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

// commandLine is what the program can be told to do. A start without arguments serves.
type commandLine struct {
	Serve   serveCommand   `name:"serve" cmd:"" help:"Serve clients, as a bare start does. The configuration is the file that EDGE_CONFIG names."`
	Config  configCommand  `name:"config" cmd:"" help:"Look at a configuration without starting a node."`
	Fleet   fleetCommand   `name:"fleet" cmd:"" help:"Ask a node what it holds together with others: seats, epochs and each budget."`
	Version versionCommand `name:"version" cmd:"" help:"Say which build this is."`
}

// runCommand carries out the command that the arguments name.
func runCommand() {
	var arguments commandLine
	context := kong.Parse(&arguments,
		kong.Name("fernrail"),
		kong.UsageOnError(),
		kong.Description("A node that takes jobs from clients and pushes them to executors. Without a command it serves."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if context.Command() == "serve" {
		serve()
		return
	}
	context.FatalIfErrorf(context.Run())
}

// serveCommand has no Run of its own: serve reports an error in the log and not, as kong would, on standard error.
type serveCommand struct{}

type configCommand struct {
	Check checkCommand `name:"check" cmd:"" help:"Read a file as a start would, and name the key that is at fault."`
}

type checkCommand struct {
	File string `name:"file" arg:"" help:"The configuration, JSON." type:"existingfile"`
}

// Run reads a configuration as a start would, and prints what a node would be by it.
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

// describeFleet says in one line what a node holds together with others.
func describeFleet(node *config.Node) string {
	if node.FleetDisabled {
		return "fleet: off, settings.Limits.MayTell does not let nodes talk"
	}
	if node.Fleet == nil {
		return "fleet: no section, nothing is held together with other nodes"
	}
	role := "no seat"
	if node.Fleet.Voter(node.Name) != nil {
		role = "a seat at " + node.Fleet.Listen
	}
	budgets := slices.Sorted(maps.Keys(node.Fleet.Agreement.Budgets))
	return fmt.Sprintf("fleet: %s, %d seats, budgets %s", role, len(node.Fleet.Voters), strings.Join(budgets, ", "))
}

type versionCommand struct{}

// Run prints the revision and the release of Go that the program was built from.
func (versionCommand) Run(out io.Writer) error {
	goVersion, revision := "unknown", ""
	if build, ok := debug.ReadBuildInfo(); ok {
		goVersion = build.GoVersion
		revision = buildRevision(build)
	}
	_, err := fmt.Fprintf(out, "fernrail%s, %s\n", revision, goVersion)
	return err
}

// buildRevision returns the revision of a build, and whether the sources were modified, with a space before each.
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
