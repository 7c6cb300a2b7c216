// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"fernrail/internal/config"
	"fernrail/internal/fleet"
)

// line is what the program can be told to do. A bare start serves.
type line struct {
	Serve   serveCommand   `cmd:"" help:"Serve clients, as a bare start does. The configuration is the file that EDGE_CONFIG names."`
	Config  configCommand  `cmd:"" help:"Look at a configuration without starting a node."`
	Fleet   fleetCommand   `cmd:"" help:"Ask a node what it holds together with others: seats, epochs and each budget."`
	Version versionCommand `cmd:"" help:"Say which build this is."`
}

type serveCommand struct{}

func (serveCommand) Run() error { serve(); return nil }

type configCommand struct {
	Check checkCommand `cmd:"" help:"Read a file as a start would, and name the key that is at fault."`
}

type checkCommand struct {
	File string `arg:"" help:"The configuration, JSON." type:"existingfile"`
}

func (c *checkCommand) Run(out io.Writer) error {
	node, err := config.Load(func(v string) string {
		if v == "EDGE_CONFIG" {
			return c.File
		}
		return os.Getenv(v)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: node %s, clients at %s\n", c.File, node.Name, node.Listen)
	switch {
	case node.FleetDisabled:
		fmt.Fprintln(out, "fleet: off, settings.Limits.MayTell does not let nodes talk")
	case node.Fleet == nil:
		fmt.Fprintln(out, "fleet: no section, nothing is held together with other nodes")
	default:
		role := "no seat"
		if node.Fleet.Voter(node.Name) != nil {
			role = "a seat at " + node.Fleet.Listen
		}
		fmt.Fprintf(out, "fleet: %s, %d seats, budgets %s\n", role, len(node.Fleet.Voters), strings.Join(slices.Sorted(maps.Keys(node.Fleet.Agreement.Budgets)), ", "))
	}
	return nil
}

type versionCommand struct{}

func (versionCommand) Run(out io.Writer) error {
	version, revision := "unknown", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		version = b.GoVersion
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				revision += " " + strings.Replace(s.Value, "true", "modified", 1)
			}
		}
	}
	fmt.Fprintf(out, "fernrail%s, %s\n", revision, version)
	return nil
}

type fleetCommand struct {
	Admin string `default:"127.0.0.1:7071" env:"EDGE_ADMIN_ADDR" help:"The node's operators' address (${default})."`
	JSON  bool   `help:"Print the node's own line instead of a table."`
}

func (c *fleetCommand) Run(out io.Writer) error {
	text, err := call(c.Admin, "fleet")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = out.Write(text)
		return err
	}
	var f fleet.Status
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	lease := fmt.Sprintf("%d ms left of its lease", f.LeaseMillis)
	if f.LeaseMillis == 0 {
		lease = "no lease: it lives on its floors"
	}
	fmt.Fprintf(out, "epoch %d, %s\n\n", f.Epoch, lease)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "budget\twhole\tmine\tfloor\tused\twanted\tsent\tlapsed\tslipped\t")
	for _, name := range slices.Sorted(maps.Keys(f.Budgets)) {
		b := f.Budgets[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t\n", name, b.Total, b.Quota, b.Floor, b.Used, b.Demand, b.Sent, b.HeldBack, b.SentAfterExpiry)
	}
	t.Flush()
	if len(f.Members) > 0 {
		fmt.Fprintln(out, "\nmembers, as this node believes:")
		for _, m := range f.Members {
			fmt.Fprintf(out, "  %s at %s: %s", m.Name, m.Address, m.State)
			if m.DuplicateAddress != "" {
				fmt.Fprintf(out, ", and another one at %s", m.DuplicateAddress)
			}
			fmt.Fprintln(out)
		}
	}
	if s := f.Subset; s != nil {
		fmt.Fprintf(out, "\nuses %d of %d executors, divided among %d nodes\n", s.Assigned, s.Listed, s.Nodes)
	}
	if s := f.Outliers; s != nil {
		fmt.Fprintln(out, "\nexecutors that many nodes say are bad, from 0 to 1:")
		for _, e := range slices.Sorted(maps.Keys(s.Scores)) {
			fmt.Fprintf(out, "  %s %.2f\n", e, s.Scores[e])
		}
	}
	if s := f.Voter; s != nil {
		fmt.Fprintf(out, "\nseat %s: %s; granter %s, epoch %d, seats %s %s\n\n", s.ID, s.State, s.Leader, s.Epoch, strings.Join(s.Voters, " "), s.Error)
		fmt.Fprintln(t, "budget\twhole\tfloors\tgranted\tresting\tfree\t")
		for _, name := range slices.Sorted(maps.Keys(s.Budgets)) {
			b := s.Budgets[name]
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t\n", name, b.Total, b.Floors, b.Granted, b.CoolingDown, b.Free)
		}
		for _, h := range s.Holders {
			fmt.Fprintf(t, "%s\t", h.Node)
			for _, name := range slices.Sorted(maps.Keys(h.Units)) {
				fmt.Fprintf(t, "%s %d of %d\t", name, h.Units[name], h.Demand[name])
			}
			fmt.Fprintln(t)
		}
		t.Flush()
	}
	return nil
}

// call makes one operators' call.
func call(address, line string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(c, 1<<20))
	if err != nil {
		return nil, err
	}
	text, whole := strings.CutSuffix(string(answer), "END\n")
	if why, bad := strings.CutPrefix(text, "ERR "); bad {
		return nil, fmt.Errorf("%s", strings.TrimSpace(why))
	}
	if !whole {
		return nil, fmt.Errorf("the answer of %s broke off", address)
	}
	return []byte(text), nil
}

func commands() {
	var l line
	k := kong.Parse(&l, kong.Name("fernrail"), kong.UsageOnError(),
		kong.Description("A node that takes jobs from clients and pushes them to executors. Without a command it serves."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	k.FatalIfErrorf(k.Run())
}
