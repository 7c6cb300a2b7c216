// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"fernrail/internal/fleet"
)

const (
	adminTimeout  = 2 * time.Second // limit of the dial, and then of sending the command and reading the reply
	maxReplyBytes = 1 << 20
)

type fleetCommand struct {
	Admin string `name:"admin" default:"127.0.0.1:7071" env:"EDGE_ADMIN_ADDR" help:"The admin address of the node (${default})."`
	JSON  bool   `name:"json" help:"Print the reply of the node as JSON instead of a table."`
}

// Run requests the fleet status of a node and prints it.
func (c *fleetCommand) Run(out io.Writer) error {
	reply, err := queryAdmin(c.Admin, "fleet")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = out.Write(reply)
		return err
	}
	var status fleet.Status
	if err := json.Unmarshal(reply, &status); err != nil {
		return err
	}
	return printFleet(out, &status)
}

// queryAdmin sends a command line to the admin address of a node and returns the JSON of the reply.
func queryAdmin(address, line string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, err
	}
	reply, err := io.ReadAll(io.LimitReader(c, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	text, complete := strings.CutSuffix(string(reply), "END\n")
	if reason, refused := strings.CutPrefix(text, "ERR "); refused {
		return nil, errors.New(strings.TrimSpace(reason))
	}
	if !complete {
		return nil, fmt.Errorf("incomplete reply from %s", address)
	}
	return []byte(text), nil
}

// printFleet prints a fleet status, without the parts that do not apply to the node.
func printFleet(out io.Writer, status *fleet.Status) error {
	if err := printBudgets(out, status); err != nil {
		return err
	}
	printMembers(out, status.Members)
	if s := status.Subset; s != nil {
		fmt.Fprintf(out, "\nuses %d of %d executors, divided among %d nodes\n", s.Assigned, s.Listed, s.Nodes)
	}
	if status.Outliers != nil {
		printOutliers(out, status.Outliers.Scores)
	}
	if status.Voter != nil {
		return printVoter(out, status.Voter)
	}
	return nil
}

// newTable returns a writer that right-aligns tab-terminated cells.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
}

// printBudgets prints the node's lease, and its quota and use of each budget.
func printBudgets(out io.Writer, status *fleet.Status) error {
	lease := fmt.Sprintf("%d ms left of its lease", status.LeaseMillis)
	if status.LeaseMillis == 0 {
		lease = "no lease; the node is limited to its floors"
	}
	fmt.Fprintf(out, "epoch %d, %s\n\n", status.Epoch, lease)
	table := newTable(out)
	fmt.Fprintln(table, "budget\twhole\tmine\tfloor\tused\twanted\tsent\tlapsed\tslipped\t")
	for _, name := range slices.Sorted(maps.Keys(status.Budgets)) {
		b := status.Budgets[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t\n",
			name, b.Total, b.Quota, b.Floor, b.Used, b.Demand, b.Sent, b.BlockedSends, b.SentAfterExpiry)
	}
	return table.Flush()
}

// printMembers prints the node's membership list, which may be outdated.
func printMembers(out io.Writer, members []fleet.MemberStatus) {
	if len(members) == 0 {
		return
	}
	fmt.Fprintln(out, "\nmembers, as this node believes:")
	for _, m := range members {
		fmt.Fprintf(out, "  %s at %s: %s", m.Name, m.Address, m.State)
		if m.DuplicateAddress != "" {
			fmt.Fprintf(out, ", and another one at %s", m.DuplicateAddress)
		}
		fmt.Fprintln(out)
	}
}

// printOutliers prints the outlier scores that a quorum of nodes reported.
func printOutliers(out io.Writer, scores map[string]float64) {
	fmt.Fprintln(out, "\nexecutors that many nodes say are bad, from 0 to 1:")
	for _, server := range slices.Sorted(maps.Keys(scores)) {
		fmt.Fprintf(out, "  %s %.2f\n", server, scores[server])
	}
}

// printVoter prints a voter's view of the fleet: the totals of the budgets and the leases of each node.
func printVoter(out io.Writer, voter *fleet.VoterStatus) error {
	fmt.Fprintf(out, "\nseat %s: %s; granter %s, epoch %d, seats %s %s\n\n",
		voter.ID, voter.State, voter.Leader, voter.Epoch, strings.Join(voter.Voters, " "), voter.Error)
	table := newTable(out)
	fmt.Fprintln(table, "budget\twhole\tfloors\tgranted\tresting\tfree\t")
	for _, name := range slices.Sorted(maps.Keys(voter.Budgets)) {
		b := voter.Budgets[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t\n",
			name, b.Total, b.Floors, b.Granted, b.CoolingDown, b.Free)
	}
	for _, holder := range voter.Holders {
		fmt.Fprintf(table, "%s\t", holder.Node)
		for _, name := range slices.Sorted(maps.Keys(holder.Units)) {
			fmt.Fprintf(table, "%s %d of %d\t", name, holder.Units[name], holder.Demand[name])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
