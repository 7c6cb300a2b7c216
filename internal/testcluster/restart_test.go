// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernrail/internal/testcluster"
)

// TestAllRestarted kills and restarts all processes within a second, first with their disks and then
// without. The use and the grants of the killed processes must count against the new ones.
func TestAllRestarted(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(3, 3, 2), 3)
	for _, loseDisks := range []bool{false, true} {
		for _, n := range c.Nodes {
			n.Kill()
		}
		for _, n := range c.Nodes {
			if loseDisks {
				n.LoseDisk()
			}
			n.Start()
		}
		t.Logf("total leased again after %v, disks lost: %v",
			c.Until("the total is leased", 2*convergeTime, quotaReaches(c.Nodes, maxQuota(3)-3)), loseDisks)
	}
	c.finish(t, connectTotal)
}

// TestUpgrades replaces the process of each node in turn by a second one on the same socket, under load.
// Both processes together must use only the floors of one node. The second process must run the voter once
// the first has stopped it.
func TestUpgrades(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(3, 3, 2), 3)
	for _, n := range c.Nodes {
		n.Upgrade()
		c.Until(n.Name+" has a running voter and a lease", convergeTime, func() bool {
			status := statusOf(n)
			return status != nil && status.Voter != nil && status.Voter.Leader != "" && status.LeaseMillis > 0
		})
	}
	c.Until("the total is leased", 2*convergeTime, quotaReaches(c.Nodes, maxQuota(3)-3))
	c.finish(t, connectTotal)
}

// TestVoterLosesDisk restarts a voter under the same name after the loss of its disk. It must count as a
// new voter, which the other voters admit. Afterwards the group must tolerate the loss of one of these
// others.
func TestVoterLosesDisk(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(3, 3, 2), 3)
	restarted := without(c.Nodes, waitForLeader(c.Cluster))[0]
	oldVoterID := statusOf(restarted).Voter.ID
	restarted.Kill()
	restarted.LoseDisk()
	restarted.Start()
	c.Until("the new voter is admitted", convergeTime, func() bool {
		status := statusOf(restarted)
		if status == nil || status.Voter.ID == oldVoterID || len(status.Voter.Voters) != 3 {
			return false
		}
		return strings.Contains(strings.Join(status.Voter.Voters, " "), status.Voter.ID)
	})
	c.Until("the restarted node has a lease", convergeTime, func() bool {
		return connectQuota(restarted) > connectFloor
	})
	killed := waitForLeader(c.Cluster)
	killed.Kill()
	rest := without(c.Nodes, killed)
	c.Until("the two remaining nodes have leased the total", convergeTime, quotaReaches(rest, maxQuota(2)-2))
	c.finish(t, connectTotal)
}

// TestQuorumLosesState restarts two of three voters without stored state at the same time. The third voter
// must abandon the group, which can never have a quorum again. A new group must be founded and grant leases
// only after all leases that the old group may have granted have expired.
func TestQuorumLosesState(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(3, 3, 2)
	plan.Disk = false
	c := startLoaded(t, plan, 3)
	for _, n := range c.Nodes[:2] {
		n.Kill()
	}
	for _, n := range c.Nodes[:2] {
		n.Start()
	}
	t.Logf("total leased again after %v",
		c.Until("the total is leased", 3*convergeTime, quotaReaches(c.Nodes, maxQuota(3)-3)))
	c.finish(t, connectTotal)
}

// TestRefoundedGroupWaitsForLease restarts all voters without their state, while a node without a voter is
// cut off and still uses its lease. The newly founded group must grant nothing until this lease has
// expired. After the links are healed, the node must get a lease of the new group.
func TestRefoundedGroupWaitsForLease(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Disk, plan.Fleet["lease_ms"], plan.Fleet["most"] = false, 6000, 4
	c, isolated, voters := startOneNodeLoaded(t, plan)
	cutLinks([]*testcluster.Node{isolated}, voters, testcluster.Forward, testcluster.Backward)
	for _, n := range voters {
		n.Kill()
	}
	for _, n := range voters {
		n.Start()
	}
	for _, n := range voters {
		c.startLoad(n)
	}
	t.Logf("total leased again after %v",
		c.Until("the nodes with voters have leased the total", 4*convergeTime, func() bool {
			return totalQuota(voters) >= connectTotal-connectReserve-connectFloor-3
		}))
	for voter := range 3 {
		isolated.VoterRelay(voter).Heal()
	}
	c.Until("the isolated node has a lease again", convergeTime, func() bool {
		return connectQuota(isolated) > connectFloor
	})
	c.finish(t, connectTotal)
}

// TestJoinAndLeave grows a cluster under load from five nodes to nine, and then kills five of them. New
// nodes must get a fair quota, and the remaining nodes must get the quotas of the killed ones.
func TestJoinAndLeave(t *testing.T) {
	runParallel(t)
	c := startLoaded(t, fleetPlan(9, 3, 2), 5)
	for _, n := range c.Nodes[5:] {
		n.Start()
	}
	for _, n := range c.Nodes[5:] {
		n.WaitReady()
		c.startLoad(n)
	}
	fairQuota := maxQuota(9) / 9
	t.Logf("fair quotas after %v", c.Until("each new node has a fair quota", convergeTime, func() bool {
		for _, n := range c.Nodes[5:] {
			if connectQuota(n) < fairQuota-1 {
				return false
			}
		}
		return true
	}))
	for _, n := range c.Nodes[4:] {
		n.Kill()
	}
	rest := c.Nodes[:4]
	t.Logf("total leased again after %v",
		c.Until("the quotas of the killed nodes are leased to the others", convergeTime,
			quotaReaches(rest, maxQuota(4)-4)))
	c.finish(t, connectTotal)
}

// TestDiskFull fills the disk of a voter. The voter must report the error and grant nothing, another voter
// must become the leader, and the node must continue to serve. Once there is space again, the voter must
// continue. The raft library ends the process if it can't write a vote, unless the program prevents this.
func TestDiskFull(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(3, 3, 2)
	c := testcluster.New(t, plan)
	disk := t.TempDir()
	if err := unix.Mount("tmpfs", disk, "tmpfs", 0, "size=512k"); err != nil {
		t.Skipf("can't mount a small tmpfs: %v", err)
	}
	t.Cleanup(func() { unix.Unmount(disk, unix.MNT_DETACH) })
	smallDiskNode := c.Nodes[0]
	smallDiskNode.VoterDir = disk
	loaded := &loadedCluster{Cluster: c}
	for _, n := range c.Nodes {
		n.Start()
	}
	for _, n := range c.Nodes {
		n.WaitReady()
		loaded.startLoad(n)
	}
	loaded.Until("the total is leased", 20*time.Second, quotaReaches(c.Nodes, maxQuota(3)-3))
	filler := filepath.Join(disk, "filler")
	if err := os.WriteFile(filler, make([]byte, 1<<20), 0o600); err == nil {
		t.Fatal("a file of 1 MiB fits on a disk of 512 KiB")
	}
	// A leader with a full disk hands over. Otherwise an election is forced, since its writes reveal the
	// fault.
	voterFails := func() bool {
		status := statusOf(smallDiskNode)
		return status != nil && status.Voter != nil && status.Voter.Error != ""
	}
	if leader(c) != smallDiskNode {
		oldLeader := waitForLeader(c)
		oldLeader.Kill()
		loaded.Until("the voter reports the error", 2*convergeTime, voterFails)
		oldLeader.Start()
	} else {
		loaded.Until("the voter reports the error", 2*convergeTime, voterFails)
	}
	loaded.Until("another node is the leader, and the total is leased", 2*convergeTime, func() bool {
		newLeader := leader(c)
		return newLeader != nil && newLeader != smallDiskNode && totalQuota(c.Nodes) >= maxQuota(3)-3
	})
	attempts := 0
	loaded.Until("the node with the full disk serves", convergeTime, func() bool {
		attempts++
		return smallDiskNode.Running() &&
			smallDiskNode.Send(fmt.Sprint("after", attempts), "/look", time.Second) == 200
	})
	if err := os.Remove(filler); err != nil {
		t.Fatal(err)
	}
	loaded.Until("the voter runs without an error", 2*convergeTime, func() bool {
		status := statusOf(smallDiskNode)
		return status != nil && status.Voter != nil && status.Voter.Error == "" && status.Voter.Leader != ""
	})
	loaded.finish(t, connectTotal)
}
