// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernrail/internal/testcluster"
)

// TestClocksWithinMargin runs nodes whose clocks differ in rate by up to the margin, in both directions,
// and by an hour in time. The total must not be exceeded, and no node may report a clock beyond the margin.
func TestClocksWithinMargin(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 2)
	c := testcluster.New(t, plan)
	for i, clock := range []string{"1,0", "1.04,3600", "0.96,-3600", "0.96,0"} {
		c.Nodes[i].Env = []string{"FERNRAIL_TEST_CLOCK=" + clock + ",0"}
	}
	loaded := &loadedCluster{Cluster: c}
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
		loaded.startLoad(n)
	}
	loaded.Until("the total is leased", 20*time.Second, quotaReaches(loaded.Nodes, maxQuota(4)-4))
	slow := loaded.Nodes[3]
	for range 2 {
		slow.Signal(syscall.SIGSTOP)
		loaded.Until("the other nodes have leased the total", convergeTime,
			quotaReaches(loaded.Nodes[:3], maxQuota(3)-3))
		slow.Signal(syscall.SIGCONT)
		loaded.Until("the continued node has a lease", convergeTime, func() bool {
			return connectQuota(slow) > connectFloor
		})
	}
	loaded.finish(t, connectTotal)
	for _, n := range loaded.Nodes {
		if strings.Contains(n.Log(), "exceeds the margin") {
			t.Errorf("%s reports a clock beyond the margin, though all clocks are within it", n.Name)
		}
	}
}

// TestInvalidVoterCalls sends calls to the voters that are malformed, too large, or from another fleet or
// version. They must get no grant and cost only bounded work, and the leases of the nodes must be renewed
// meanwhile.
func TestInvalidVoterCalls(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(3, 3, 2), 3)
	token := func(version int, secret string) string {
		return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", version, secret)))
	}
	voterRequest := func(token, length, body string) string {
		return "POST /ask HTTP/1.1\r\nHost: x\r\nX-Fernrail-Fleet: " + token +
			"\r\nContent-Length: " + length + "\r\n\r\n" + body
	}
	largeDemand := `{"node":"thief","holder":"h","seq":1,"hold":{"connect":40},"want":{"connect":40}}`
	validToken := token(1, "only for tests")
	voterID := statusOf(c.Nodes[0]).Voter.ID
	invalidCalls := []string{
		"\x00\xff\xfe garbage that is no protocol\r\n\r\n",
		"\x01" + strings.Repeat("a", 200),
		"\x01" + validToken + "\x05n0/xx" + strings.Repeat("\x00\xff", 3000),
		// Headers of maps with 2^32-1 entries, for which no memory may be allocated.
		"\x01" + validToken + string(rune(len(voterID))) + voterID + "\x00" +
			strings.Repeat("\xdf\xff\xff\xff\xff", 2000),
		"\x01" + validToken + string(rune(len(voterID))) + voterID + strings.Repeat("\xff", 5000),
		voterRequest(token(1, "another fleet"), fmt.Sprint(len(largeDemand)), largeDemand),
		voterRequest(token(0, "only for tests"), fmt.Sprint(len(largeDemand)), largeDemand),
		voterRequest("", fmt.Sprint(len(largeDemand)), largeDemand),
		voterRequest(validToken, "1000000000", largeDemand),
		voterRequest(validToken, fmt.Sprint(1<<20), strings.Repeat(" ", 1<<20)),
		voterRequest(validToken, "9", `{"node":1`),
		voterRequest(validToken, "17", `{"node":"thief"}x`),
		voterRequest(validToken, fmt.Sprint(len(largeDemand)+9),
			strings.Replace(largeDemand, "}}", `},"new":1}`, 1)+" "),
	}
	for range 20 {
		for _, n := range c.Nodes {
			for _, call := range invalidCalls {
				conn, err := net.DialTimeout("tcp", n.VoterAddress, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
				io.WriteString(conn, call)
				reply := make([]byte, 1<<10)
				replyLength, _ := conn.Read(reply)
				if strings.Contains(string(reply[:replyLength]), `"units"`) {
					t.Errorf("invalid call %.60q got a grant, want none: %s", call, reply[:replyLength])
				}
				conn.Close()
			}
		}
	}
	c.Until("the leases are renewed up to the total", convergeTime, quotaReaches(c.Nodes, maxQuota(3)-3))
	for _, n := range c.Nodes {
		status := statusOf(n)
		if !n.Running() || status == nil || status.Voter == nil {
			t.Fatalf("%s does not run or reports no voter; its log: %.2000s", n.Name, n.Log())
		}
		for _, holder := range status.Voter.Holders {
			if holder.Node == "thief" {
				t.Errorf("%s has a ledger entry for the sender of invalid calls, want none: %+v", n.Name, holder)
			}
		}
		if logCount := strings.Count(n.Log(), "rejected unauthenticated peer"); logCount == 0 || logCount > 40 {
			t.Errorf("%s: got %d log lines about unauthenticated peers, want 1 to 40", n.Name, logCount)
		}
	}
	c.finish(t, connectTotal)
}

// TestMismatchedAgreement starts a node whose configuration permits more nodes, and so a larger sum of
// floors, than the agreement that the fleet was founded with. The node must be refused, log this, and use
// no quota, not even a floor.
func TestMismatchedAgreement(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(4, 3, 1), 3)
	mismatched := c.Nodes[3]
	mismatched.ChangeFleet = func(section map[string]any) { section["most"] = 2 * maxNodes }
	mismatched.Start()
	mismatched.WaitReady()
	c.startLoad(mismatched)
	c.Until("the node logs that it was refused", convergeTime, func() bool {
		return strings.Contains(mismatched.Log(), "differ from what the fleet was founded with")
	})
	from := c.Now()
	c.Until("four windows have passed", convergeTime, func() bool { return c.Now()-from > int64(4*windowTime) })
	if got := connectQuota(mismatched); got != 0 {
		t.Errorf("quota of the refused node: got %d, want 0", got)
	}
	c.finish(t, connectTotal)
}

// aliveMembers returns the names of the members that a node considers alive, separated by spaces.
func aliveMembers(n *testcluster.Node) (names string) {
	f := statusOf(n)
	if f == nil {
		return ""
	}
	for _, m := range f.Members {
		if m.State == "alive" {
			names += m.Name + " "
		}
	}
	return strings.TrimSpace(names)
}

// TestGossipMembership checks the member lists that nodes maintain by gossip, while datagrams are lost,
// reordered and duplicated. A killed node must leave the lists, and two separated groups must merge again.
// The lists must not affect quotas.
func TestGossipMembership(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(5, 3, 1)
	plan.Gossip = true
	c := startLoaded(t, plan, 5)
	membersAre := func(nodes []*testcluster.Node, names string) func() bool {
		return func() bool {
			for _, n := range nodes {
				if aliveMembers(n) != names {
					return false
				}
			}
			return true
		}
	}
	const all = "n0 n1 n2 n3 n4"
	c.Until("all nodes list all members", convergeTime, membersAre(c.Nodes, all))
	for _, n := range c.Nodes {
		for other := range c.Nodes {
			n.GossipRelay(other).SetDatagramFaults(0.1, 0.2)
			n.GossipRelay(other).Delay(testcluster.Forward, 5*time.Millisecond)
		}
	}
	killed := c.Nodes[4]
	killed.Kill()
	t.Logf("killed node removed after %v",
		c.Until("the killed node has left the lists", 3*convergeTime, membersAre(c.Nodes[:4], "n0 n1 n2 n3")))
	killed.Start()
	c.Until("all nodes list the restarted node", 2*convergeTime, membersAre(c.Nodes, all))
	forGossipBetweenParts := func(apply func(*testcluster.Relay)) {
		for i, n := range c.Nodes {
			for j := range c.Nodes {
				if (i < 2) != (j < 2) {
					apply(n.GossipRelay(j))
				}
			}
		}
	}
	// Only gossip is cut. Each group considers the other one failed, and all nodes keep their leases.
	forGossipBetweenParts(func(r *testcluster.Relay) {
		r.Cut(testcluster.Forward)
		r.Cut(testcluster.Backward)
	})
	c.Until("each group lists only its own members", 3*convergeTime, func() bool {
		return membersAre(c.Nodes[:2], "n0 n1")() && membersAre(c.Nodes[2:], "n2 n3 n4")()
	})
	for _, n := range c.Nodes {
		if connectQuota(n) <= connectFloor {
			t.Errorf("%s lost its lease because other nodes consider it failed", n.Name)
		}
	}
	forGossipBetweenParts(func(r *testcluster.Relay) {
		r.Heal()
		r.Reset()
	})
	t.Logf("groups merged after %v",
		c.Until("all nodes list all members again", 3*convergeTime, membersAre(c.Nodes, all)))
	c.finish(t, connectTotal)
}

// TestDuplicateNodeName starts a second node under the name of a running one. The other nodes must log this.
func TestDuplicateNodeName(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Gossip = true
	c := startLoaded(t, plan, 3)
	duplicate := c.Nodes[3]
	duplicate.Env = []string{"EDGE_NAME=n2"}
	duplicate.ChangeFleet = func(section map[string]any) { delete(section, "listen") }
	duplicate.Start()
	c.Until("a node logs the duplicate name", 2*convergeTime, func() bool {
		for _, n := range c.Nodes[:3] {
			if strings.Contains(n.Log(), "two nodes have the same name") {
				return true
			}
		}
		return false
	})
}
