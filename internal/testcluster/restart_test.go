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

// TestAllRestarted: all processes are killed and started again within a second, with their disks, and then without:
// what the dead had sent and been granted counts against those that come.
func TestAllRestarted(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(3, 3, 2), 3)
	for _, forget := range []bool{false, true} {
		for _, n := range b.Nodes {
			n.Kill()
		}
		for _, n := range b.Nodes {
			if forget {
				n.LoseDisk()
			}
			n.Start()
		}
		t.Logf("in use again after %v, disks lost: %v",
			b.Until("the whole is in use", 2*convergeTime, quotaReaches(b.Nodes, maxQuota(3)-3)), forget)
	}
	b.finish(t, connectTotal)
}

// TestUpgrades: each node in turn is taken over by a second process on its socket, under traffic. The two have one
// node's floors together, and the voter is the second's once the first has left it.
func TestUpgrades(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(3, 3, 2), 3)
	for _, n := range b.Nodes {
		n.Upgrade()
		b.Until(n.Name+" has its voter again", convergeTime, func() bool {
			f := statusOf(n)
			return f != nil && f.Voter != nil && f.Voter.Leader != "" && f.LeaseMillis > 0
		})
	}
	b.Until("the whole is in use", 2*convergeTime, quotaReaches(b.Nodes, maxQuota(3)-3))
	b.finish(t, connectTotal)
}

// TestVoterLosesDisk: a voter that has lost its disk comes back under its name. It is another one, which the rest let
// in; the group can then do without one of those that let it in.
func TestVoterLosesDisk(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(3, 3, 2), 3)
	lost := without(b.Nodes, waitForLeader(b.Cluster))[0]
	was := statusOf(lost).Voter.ID
	lost.Kill()
	lost.LoseDisk()
	lost.Start()
	b.Until("it is let in", convergeTime, func() bool {
		f := statusOf(lost)
		if f == nil || f.Voter.ID == was || len(f.Voter.Voters) != 3 {
			return false
		}
		return strings.Contains(strings.Join(f.Voter.Voters, " "), f.Voter.ID)
	})
	b.Until("it has a share", convergeTime, func() bool { return connectQuota(lost) > connectFloor })
	dead := waitForLeader(b.Cluster)
	dead.Kill()
	rest := without(b.Nodes, dead)
	b.Until("the two go on", convergeTime, quotaReaches(rest, maxQuota(2)-2))
	b.finish(t, connectTotal)
}

// TestQuorumLosesState: voters keep nothing on disk, and two of three start anew at once. The third lets go of a group
// that can never decide again; one is founded anew, and grants only once all that the old one may have granted has
// run out.
func TestQuorumLosesState(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(3, 3, 2)
	plan.Disk = false
	b := startLoaded(t, plan, 3)
	for _, n := range b.Nodes[:2] {
		n.Kill()
	}
	for _, n := range b.Nodes[:2] {
		n.Start()
	}
	t.Logf("in use again after %v",
		b.Until("the whole is in use", 3*convergeTime, quotaReaches(b.Nodes, maxQuota(3)-3)))
	b.finish(t, connectTotal)
}

// TestNewClusterIsFounded: all voters lose all they knew at once, while a node without a voter is cut off and goes
// on with its lease. The group that is founded anew grants nothing until that has run out; healed, the node has a
// share of the new group's.
func TestNewClusterIsFounded(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Disk, plan.Fleet["lease_ms"], plan.Fleet["most"] = false, 6000, 4
	b, apart, voters := startOneNodeLoaded(t, plan)
	cutLinks([]*testcluster.Node{apart}, voters, testcluster.Forward, testcluster.Backward)
	for _, n := range voters {
		n.Kill()
	}
	for _, n := range voters {
		n.Start()
	}
	for _, n := range voters {
		b.startLoad(n)
	}
	t.Logf("in use again after %v", b.Until("the voters' nodes have the whole", 4*convergeTime, func() bool {
		return totalQuota(voters) >= connectTotal-connectReserve-connectFloor-3
	}))
	for voter := range 3 {
		apart.VoterRelay(voter).Heal()
	}
	b.Until("it has a share again", convergeTime, func() bool { return connectQuota(apart) > connectFloor })
	b.finish(t, connectTotal)
}

// TestJoinAndLeave: five nodes become nine while traffic runs, and four again.
func TestJoinAndLeave(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(9, 3, 2), 5)
	for _, n := range b.Nodes[5:] {
		n.Start()
	}
	for _, n := range b.Nodes[5:] {
		n.WaitReady()
		b.startLoad(n)
	}
	fair := maxQuota(9) / 9
	t.Logf("fair after %v", b.Until("those that come have a fair share", convergeTime, func() bool {
		for _, n := range b.Nodes[5:] {
			if connectQuota(n) < fair-1 {
				return false
			}
		}
		return true
	}))
	for _, n := range b.Nodes[4:] {
		n.Kill()
	}
	rest := b.Nodes[:4]
	t.Logf("in use again after %v",
		b.Until("what they held is in use", convergeTime, quotaReaches(rest, maxQuota(4)-4)))
	b.finish(t, connectTotal)
}

// TestDiskFull: the disk under the voter that grants takes no more. It grants nothing and says so, another one does,
// and the node serves on; with room again its voter goes on. The raft library would end the process
// when a vote can't be written.
func TestDiskFull(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(3, 3, 2)
	r := testcluster.New(t, plan)
	disk := t.TempDir()
	if err := unix.Mount("tmpfs", disk, "tmpfs", 0, "size=512k"); err != nil {
		t.Skipf("no small disk can be made here: %v", err)
	}
	t.Cleanup(func() { unix.Unmount(disk, unix.MNT_DETACH) })
	small := r.Nodes[0]
	small.VoterDir = disk
	b := &loadedCluster{Cluster: r}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
		b.startLoad(n)
	}
	b.Until("the whole is in use", 20*time.Second, quotaReaches(r.Nodes, maxQuota(3)-3))
	filler := filepath.Join(disk, "filler")
	if err := os.WriteFile(filler, make([]byte, 1<<20), 0o600); err == nil {
		t.Fatal("a megabyte fits on half of one")
	}
	// Whoever grants hands over if it is the small one; elections write, and so show the fault.
	voterFails := func() bool {
		f := statusOf(small)
		return f != nil && f.Voter != nil && f.Voter.Error != ""
	}
	if leader(r) != small {
		dead := waitForLeader(r)
		dead.Kill()
		b.Until("it says so", 2*convergeTime, voterFails)
		dead.Start()
	} else {
		b.Until("it says so", 2*convergeTime, voterFails)
	}
	b.Until("another one grants, and all of it is in use", 2*convergeTime, func() bool {
		g := leader(r)
		return g != nil && g != small && totalQuota(r.Nodes) >= maxQuota(3)-3
	})
	tries := 0
	b.Until("the node serves on", convergeTime, func() bool {
		tries++
		return small.Running() && small.Send(fmt.Sprint("after", tries), "/look", time.Second) == 200
	})
	if err := os.Remove(filler); err != nil {
		t.Fatal(err)
	}
	b.Until("its voter goes on", 2*convergeTime, func() bool {
		f := statusOf(small)
		return f != nil && f.Voter != nil && f.Voter.Error == "" && f.Voter.Leader != ""
	})
	b.finish(t, connectTotal)
}
