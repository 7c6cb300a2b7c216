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

// TestClocks: clocks that differ by the stated margin, either way and by an hour, keep the whole.
func TestClocks(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 2)
	r := testcluster.New(t, plan)
	for i, clock := range []string{"1,0", "1.04,3600", "0.96,-3600", "0.96,0"} {
		r.Nodes[i].Env = []string{"FERNRAIL_TEST_CLOCK=" + clock + ",0"}
	}
	b := &loadedCluster{Cluster: r}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.WaitReady()
		b.startLoad(n)
	}
	b.Until("the whole is in use", 20*time.Second, quotaReaches(b.Nodes, maxQuota(4)-4))
	slow := b.Nodes[3]
	for range 2 {
		slow.Signal(syscall.SIGSTOP)
		b.Until("the rest have the whole", convergeTime, quotaReaches(b.Nodes[:3], maxQuota(3)-3))
		slow.Signal(syscall.SIGCONT)
		b.Until("it has a share again", convergeTime, func() bool { return connectQuota(slow) > connectFloor })
	}
	b.finish(t, connectTotal)
	for _, n := range b.Nodes {
		if strings.Contains(n.Log(), "exceeds the margin") {
			t.Errorf("%s takes a clock within the margin for one that is not", n.Name)
		}
	}
}

// TestStrangers: what comes to a seat's door and is not of this fleet and version, or lies, costs bounded work and gets
// nothing; shares go on.
func TestStrangers(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(3, 3, 2), 3)
	token := func(version int, secret string) string {
		return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", version, secret)))
	}
	ask := func(token, length, body string) string {
		return "POST /ask HTTP/1.1\r\nHost: x\r\nX-Fernrail-Fleet: " + token +
			"\r\nContent-Length: " + length + "\r\n\r\n" + body
	}
	greedy := `{"node":"thief","holder":"h","seq":1,"hold":{"connect":40},"want":{"connect":40}}`
	right := token(1, "only for tests")
	id := statusOf(b.Nodes[0]).Voter.ID
	strangers := []string{
		"\x00\xff\xfe garbage that is no protocol\r\n\r\n",
		"\x01" + strings.Repeat("a", 200),
		"\x01" + right + "\x05n0/xx" + strings.Repeat("\x00\xff", 3000),
		// Maps of four thousand million entries.
		"\x01" + right + string(rune(len(id))) + id + "\x00" + strings.Repeat("\xdf\xff\xff\xff\xff", 2000),
		"\x01" + right + string(rune(len(id))) + id + strings.Repeat("\xff", 5000),
		ask(token(1, "another fleet"), fmt.Sprint(len(greedy)), greedy),
		ask(token(0, "only for tests"), fmt.Sprint(len(greedy)), greedy),
		ask("", fmt.Sprint(len(greedy)), greedy),
		ask(right, "1000000000", greedy),
		ask(right, fmt.Sprint(1<<20), strings.Repeat(" ", 1<<20)),
		ask(right, "9", `{"node":1`),
		ask(right, "17", `{"node":"thief"}x`),
		ask(right, fmt.Sprint(len(greedy)+9), strings.Replace(greedy, "}}", `},"new":1}`, 1)+" "),
	}
	for range 20 {
		for _, n := range b.Nodes {
			for _, s := range strangers {
				c, err := net.DialTimeout("tcp", n.VoterAddress, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(50 * time.Millisecond))
				io.WriteString(c, s)
				answer := make([]byte, 1<<10)
				k, _ := c.Read(answer)
				if strings.Contains(string(answer[:k]), `"units"`) {
					t.Errorf("%.60q was granted: %s", s, answer[:k])
				}
				c.Close()
			}
		}
	}
	b.Until("shares go on", convergeTime, quotaReaches(b.Nodes, maxQuota(3)-3))
	for _, n := range b.Nodes {
		f := statusOf(n)
		if !n.Running() || f == nil || f.Voter == nil {
			t.Fatalf("%s is gone: %.2000s", n.Name, n.Log())
		}
		for _, h := range f.Voter.Holders {
			if h.Node == "thief" {
				t.Errorf("%s has %+v in its books", n.Name, h)
			}
		}
		if told := strings.Count(n.Log(), "rejected unauthenticated peer"); told == 0 || told > 40 {
			t.Errorf("%s told of strangers %d times", n.Name, told)
		}
	}
	b.finish(t, connectTotal)
}

// TestOtherPact: a node whose file tells of larger floors than the fleet was founded with is refused, says so, and
// uses none.
func TestOtherPact(t *testing.T) {
	runParallel(t)
	b := startLoaded(t, fleetPlan(4, 3, 1), 3)
	odd := b.Nodes[3]
	odd.ChangeFleet = func(section map[string]any) { section["most"] = 2 * maxNodes }
	odd.Start()
	odd.WaitReady()
	b.startLoad(odd)
	b.Until("it is refused", convergeTime, func() bool {
		return strings.Contains(odd.Log(), "differ from what the fleet was founded with")
	})
	from := b.Now()
	b.Until("some windows have passed", convergeTime, func() bool { return b.Now()-from > int64(4*windowTime) })
	if got := connectQuota(odd); got != 0 {
		t.Errorf("it uses %d", got)
	}
	b.finish(t, connectTotal)
}

// aliveMembers is whom a node believes to be there.
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

// TestMembers: nodes hear of each other by gossip, through datagrams that get lost, pass each other and come twice.
// A dead one is missed, two halves find each other again, two of one name are named. What anyone believes moves no
// share.
func TestMembers(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(5, 3, 1)
	plan.Gossip = true
	b := startLoaded(t, plan, 5)
	believes := func(who []*testcluster.Node, names string) func() bool {
		return func() bool {
			for _, n := range who {
				if aliveMembers(n) != names {
					return false
				}
			}
			return true
		}
	}
	const all = "n0 n1 n2 n3 n4"
	b.Until("all know all", convergeTime, believes(b.Nodes, all))
	for _, n := range b.Nodes {
		for other := range b.Nodes {
			n.GossipRelay(other).SetDatagramFaults(0.1, 0.2)
			n.GossipRelay(other).Delay(testcluster.Forward, 5*time.Millisecond)
		}
	}
	dead := b.Nodes[4]
	dead.Kill()
	t.Logf("missed after %v", b.Until("the dead one is missed", 3*convergeTime, believes(b.Nodes[:4], "n0 n1 n2 n3")))
	dead.Start()
	b.Until("it is there again", 2*convergeTime, believes(b.Nodes, all))
	gossips := func(do func(*testcluster.Relay)) {
		for i, n := range b.Nodes {
			for j := range b.Nodes {
				if (i < 2) != (j < 2) {
					do(n.GossipRelay(j))
				}
			}
		}
	}
	// Gossip alone is cut: the two are taken for dead, and keep their shares.
	gossips(func(r *testcluster.Relay) { r.Cut(testcluster.Forward); r.Cut(testcluster.Backward) })
	b.Until("each half misses the other", 3*convergeTime, func() bool {
		return believes(b.Nodes[:2], "n0 n1")() && believes(b.Nodes[2:], "n2 n3 n4")()
	})
	for _, n := range b.Nodes {
		if connectQuota(n) <= connectFloor {
			t.Errorf("%s lost its share to what others believe", n.Name)
		}
	}
	gossips(func(r *testcluster.Relay) { r.Heal(); r.Reset() })
	t.Logf("one fleet again after %v", b.Until("all know all again", 3*convergeTime, believes(b.Nodes, all)))
	b.finish(t, connectTotal)
}

// TestTwoOfOneName: a second node under a name that is taken is named by the others.
func TestTwoOfOneName(t *testing.T) {
	runParallel(t)
	plan := fleetPlan(4, 3, 1)
	plan.Gossip = true
	b := startLoaded(t, plan, 3)
	double := b.Nodes[3]
	double.Env = []string{"EDGE_NAME=n2"}
	double.ChangeFleet = func(section map[string]any) { delete(section, "listen") }
	double.Start()
	b.Until("it is named", 2*convergeTime, func() bool {
		for _, n := range b.Nodes[:3] {
			if strings.Contains(n.Log(), "two nodes have the same name") {
				return true
			}
		}
		return false
	})
}
