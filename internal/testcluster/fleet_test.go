// SPDX-License-Identifier: Apache-2.0

package testcluster_test

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernrail/internal/fleet"
	"fernrail/internal/testcluster"
)

// together is how many fleets run at a time: each is some processes that mostly wait, on machines of four cores and more.
var together = make(chan struct{}, min(max(runtime.NumCPU()/2, 1), 3))

func beside(t *testing.T) {
	t.Parallel()
	together <- struct{}{}
	t.Cleanup(func() { <-together })
}

// program is the node, built once for all tests; with the tag its clock can be set, which no other build allows.
var program string

// raced has the program built as the tests are.
var raced []string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "fernrail-rig")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "fernrail")
		if out, err := exec.Command("go", append(append([]string{"build", "-tags", "rig"}, raced...), "-o", program, "fernrail/cmd/fernrail")...).CombinedOutput(); err != nil {
			fmt.Printf("%s\n", out)
			return 1
		}
		return m.Run()
	}())
}

// What the fleets of these tests hold together. Real time is short here, so leases are as well.
const (
	wholeConnect = 40 // new connections to one executor in a window
	floorConnect = 1
	wholeAgain   = 60
	leaseTime    = 1500 * time.Millisecond
	windowTime   = 500 * time.Millisecond
	clockMargin  = 0.1
	mostNodes    = 9

	reserveConnect = 2
)

// jitter is by how much a stand-in may see two moments closer together than they were at the senders: a process that has
// asked its share waits for the processor before its packet leaves, and the stand-in waits before it looks.
const jitter = 60 * time.Millisecond

func fleetPlan(nodes, seats, executors int) testcluster.Plan {
	scheme := func(name, kind string) map[string]any {
		return map[string]any{"Name": name, "SlaTime": 300_000_000, "Expiry": 3_000_000_000, "BillingValue": 1, "LateBillingValue": 0.5, "Idempotency": kind}
	}
	return testcluster.Plan{Program: []string{program}, Nodes: nodes, Seats: seats, Executors: executors, Disk: true, Reply: time.Millisecond,
		Settings: map[string]any{"Tick": 5_000_000, "ReplicasOfMe": nodes, "Dcs": []string{"a"}, "Skus": []string{"m"}, "Discovery": "automatic",
			"BillingValueBasis": "request", "Report": map[string]any{"Source": "piggyback"},
			"Limits": map[string]any{"MayTell": true, "MayCancel": true, "MayDuplicate": true, "MostPostings": 4, "RetryAfter": true, "MaxRetryAfter": 2_000_000_000,
				"DialTimeout": 250_000_000, "IdleClose": 10_000_000_000},
			"Rules":   map[string]any{"AskWithin": 8_000_000_000, "Cold": 6_000_000_000, "ColdShare": 0.3, "Fall": 500_000_000, "FallMultiple": 2.5},
			"Schemes": []any{scheme("look", "idempotent"), scheme("book", "at_most_once")}},
		Fleet: map[string]any{"secret": "only for tests", "most": mostNodes, "lease_ms": leaseTime.Milliseconds(), "margin": clockMargin, "pace_ms": 200, "round_trip_ms": 100,
			"budgets": map[string]any{
				"connect": map[string]any{"whole": wholeConnect, "floor": floorConnect, "reserve": reserveConnect, "window_ms": windowTime.Milliseconds()},
				"again":   map[string]any{"whole": wholeAgain, "floor": 1, "reserve": 4, "window_ms": windowTime.Milliseconds()},
				"cold":    map[string]any{"whole": 1000, "floor": 20, "reserve": 50, "step": 20, "window_ms": windowTime.Milliseconds()}}}}
}

// within checks that no more arrived at any executor in any window than the whole.
func within(t *testing.T, r *testcluster.Rig) (all int) {
	t.Helper()
	most, all := crowd(r)
	t.Logf("%d connections, at most %d in a window at one executor, the whole is %d", all, most, wholeConnect)
	if most > wholeConnect {
		t.Errorf("%d connections in a window, the whole is %d", most, wholeConnect)
	}
	return all
}

// crowd is the most connections in any window at any executor, and all that came.
func crowd(r *testcluster.Rig) (most, all int) {
	for _, e := range r.Executors {
		accepted, _ := e.Noted()
		all += len(accepted)
		most = max(most, testcluster.Most(accepted, windowTime-jitter))
	}
	return most, all
}

func figures(n *testcluster.Node) *fleet.Status {
	var f fleet.Status
	if n.Ask("fleet", &f) != nil {
		return nil
	}
	return &f
}

// mine is what the node may use of the connections now.
func mine(n *testcluster.Node) int64 {
	if f := figures(n); f != nil {
		return f.Budgets["connect"].Quota
	}
	return 0
}

func sum(nodes []*testcluster.Node) (all int64) {
	for _, n := range nodes {
		all += mine(n)
	}
	return all
}

// granter is the node whose seat grants; nil: none does.
func granter(r *testcluster.Rig) *testcluster.Node {
	for _, n := range r.Nodes {
		if !n.Running() {
			continue
		}
		if f := figures(n); f != nil && f.Voter != nil && f.Voter.IsLeader {
			return n
		}
	}
	return nil
}

func but(nodes []*testcluster.Node, not *testcluster.Node) (rest []*testcluster.Node) {
	for _, n := range nodes {
		if n != not {
			rest = append(rest, n)
		}
	}
	return rest
}

// shared is what all leases and the floors of so many nodes come to when the most is out.
func shared(nodes int) int64 {
	return wholeConnect - reserveConnect - floorConnect*int64(mostNodes-nodes)
}

// busy is a fleet under traffic that wants more connections than there are.
type busy struct {
	*testcluster.Rig
	ends []func() map[int]int
}

func begin(t *testing.T, plan testcluster.Plan, start int) *busy {
	most := int64(plan.Fleet["most"].(int))
	b := &busy{Rig: testcluster.New(t, plan)}
	for _, n := range b.Nodes[:start] {
		n.Start()
	}
	for _, n := range b.Nodes[:start] {
		n.Ready()
		b.load(n)
	}
	// All of it is out, so that nothing can be had but from another.
	b.Until("a share for each", 20*time.Second, func() bool {
		return sum(b.Nodes[:start]) >= wholeConnect-reserveConnect-floorConnect*(most-int64(start))-int64(start)
	})
	return b
}

func (b *busy) load(n *testcluster.Node) {
	b.ends = append(b.ends, n.Load("job", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond))
}

// each ends the traffic, and gives the statuses of the answers to each part of it.
func (b *busy) each() []map[int]int {
	return testcluster.End(b.ends)
}

// end ends the traffic, and gives the statuses of all its answers.
func (b *busy) end() map[int]int {
	sum := map[int]int{}
	for _, statuses := range b.each() {
		for status, count := range statuses {
			sum[status] += count
		}
	}
	return sum
}

// started is a fleet of which all nodes serve.
func started(t *testing.T, plan testcluster.Plan) *busy {
	b := &busy{Rig: testcluster.New(t, plan)}
	for _, n := range b.Nodes {
		n.Start()
	}
	for _, n := range b.Nodes {
		n.Ready()
	}
	return b
}

// stop ends all nodes, where one test has several fleets.
func (b *busy) stop() {
	for _, n := range b.Nodes {
		if n.Running() {
			n.Kill()
		}
	}
}

// over ends the traffic and checks what arrived, over all that happened.
func (b *busy) over(t *testing.T, least int) {
	t.Helper()
	t.Logf("answers %v", b.end())
	if all := within(t, b.Rig); all < least {
		t.Errorf("%d connections: too few to have tried the whole", all)
	}
	for _, n := range b.Nodes {
		if log := n.Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			t.Errorf("%s: %s", n.Name, log[max(len(log)-4000, 0):])
		}
	}
}

// soon is within what a lease, its margin, a window and an election take, with as much again for a loaded machine.
const soon = 8 * time.Second

// TestGranterKilled: three nodes, one budget, one fault. The whole holds throughout; the survivors go on, and what the dead
// one held is theirs within a lease, its margin, a window and the election.
func TestGranterKilled(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(3, 3, 2), 3)
	dead := granter(b.Rig)
	dead.Kill()
	rest := but(b.Nodes, dead)
	t.Logf("in use again after %v", b.Until("what the dead one held is in use", soon, func() bool { return sum(rest) >= shared(2)-2 }))
	b.over(t, wholeConnect)
}

// TestGranterStopped: the granter stands still for longer than a lease, with requests in its sockets, and goes on as if
// nothing had happened. Neither its grants nor its own lease count any more.
func TestGranterStopped(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(5, 5, 2), 5)
	for range 2 {
		stopped := granter(b.Rig)
		stopped.Signal(syscall.SIGSTOP)
		rest := but(b.Nodes, stopped)
		t.Logf("in use again after %v", b.Until("what the stopped one held is in use", soon, func() bool { return sum(rest) >= shared(4)-4 }))
		stopped.Signal(syscall.SIGCONT)
		t.Logf("it has a share again after %v", b.Until("it has a share again", soon, func() bool { return mine(stopped) > floorConnect }))
	}
	b.over(t, wholeConnect)
}

// cut holds both ways, or one, between two parts of the fleet.
func cut(from, to []*testcluster.Node, ways ...testcluster.Direction) {
	for _, a := range from {
		for _, z := range to {
			if a != z {
				for _, d := range ways {
					a.Relay(z.Index).Cut(d)
				}
			}
		}
	}
}

func heal(nodes []*testcluster.Node) {
	for _, a := range nodes {
		for _, z := range nodes {
			a.Relay(z.Index).Heal()
		}
	}
}

// TestSplits: two seats of five apart from three, then the granter alone, then each direction alone. Who is on the smaller
// side falls to its floors; the larger goes on with the whole; healed, all have shares again.
func TestSplits(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(5, 5, 2), 5)
	floors := func(part []*testcluster.Node) func() bool {
		return func() bool { return sum(part) == int64(len(part))*floorConnect }
	}
	whole := func() {
		t.Helper()
		heal(b.Nodes)
		t.Logf("healed after %v", b.Until("all have shares again", soon, func() bool {
			for _, n := range b.Nodes {
				if mine(n) <= floorConnect {
					return false
				}
			}
			return true
		}))
	}
	two, three := b.Nodes[:2], b.Nodes[2:]
	cut(two, three, testcluster.There, testcluster.Back)
	cut(three, two, testcluster.There, testcluster.Back)
	t.Logf("2|3: on floors after %v", b.Until("the two are on their floors", soon, floors(two)))
	t.Logf("2|3: in use again after %v", b.Until("the three have the whole", soon, func() bool { return sum(three) >= shared(3)-3 }))
	whole()
	alone := granter(b.Rig)
	rest := but(b.Nodes, alone)
	cut([]*testcluster.Node{alone}, rest, testcluster.There, testcluster.Back)
	cut(rest, []*testcluster.Node{alone}, testcluster.There, testcluster.Back)
	t.Logf("granter alone: on its floors after %v", b.Until("it is on its floors", soon, floors([]*testcluster.Node{alone})))
	t.Logf("granter alone: in use again after %v", b.Until("the rest have the whole", soon, func() bool { return sum(rest) >= shared(4)-4 }))
	whole()
	for _, d := range []testcluster.Direction{testcluster.There, testcluster.Back} {
		deaf := granter(b.Rig)
		rest := but(b.Nodes, deaf)
		cut(rest, []*testcluster.Node{deaf}, d) // calls and streams of the others to it, one way alone
		t.Logf("one way %d: another grants after %v", d, b.Until("another one grants", soon, func() bool {
			g := granter(b.Rig)
			return g != nil && g != deaf && sum(rest) >= shared(5)-mine(deaf)-5
		}))
		whole()
	}
	b.over(t, wholeConnect)
}

// TestEachSeatAlone: of nine nodes with five seats each seat in turn is cut off from all the others. It falls to its floors, the
// rest have the whole; and in the end two are cut off at once, each alone.
func TestEachSeatAlone(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(9, 5, 2), 9)
	apart := func(alone ...*testcluster.Node) {
		t.Helper()
		for _, a := range alone {
			cut([]*testcluster.Node{a}, b.Nodes[:5], testcluster.There, testcluster.Back)
			cut(but(b.Nodes, a), []*testcluster.Node{a}, testcluster.There, testcluster.Back)
		}
		rest := b.Nodes
		for _, a := range alone {
			rest = but(rest, a)
		}
		b.Until("they are on their floors, and the rest have the whole", 2*soon, func() bool {
			return sum(alone) == int64(len(alone))*floorConnect && sum(rest) >= shared(len(rest))-int64(len(rest))
		})
		for _, n := range b.Nodes {
			for seat := range 5 {
				n.Relay(seat).Heal()
			}
		}
		b.Until("they have shares again", 2*soon, func() bool { return sum(alone) > int64(len(alone))*floorConnect })
	}
	for _, n := range b.Nodes[:5] {
		apart(n)
	}
	apart(b.Nodes[1], b.Nodes[3])
	b.over(t, wholeConnect)
}

// TestLateAnswers: answers to one node come later than its lease is long. It lives on its floors; what it was granted and
// never used goes to the others.
func TestLateAnswers(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(4, 3, 2), 4)
	late := b.Nodes[3]
	for seat := range 3 {
		late.Relay(seat).Delay(testcluster.Back, leaseTime+200*time.Millisecond)
	}
	b.Until("it is on its floors", soon, func() bool { return mine(late) == floorConnect })
	b.Until("the rest have the whole", soon, func() bool { return sum(b.Nodes[:3]) >= shared(3)-3 })
	for seat := range 3 {
		late.Relay(seat).Delay(testcluster.Back, 0)
	}
	b.Until("it has a share again", soon, func() bool { return mine(late) > floorConnect })
	b.over(t, wholeConnect)
}

// TestAllRestarted: all processes are killed and started again within a second, with their disks, and then without: what
// the dead had sent and been granted counts against those that come.
func TestAllRestarted(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(3, 3, 2), 3)
	for _, forget := range []bool{false, true} {
		for _, n := range b.Nodes {
			n.Kill()
		}
		for _, n := range b.Nodes {
			if forget {
				n.Forget()
			}
			n.Start()
		}
		t.Logf("in use again after %v, disks lost: %v", b.Until("the whole is in use", 2*soon, func() bool { return sum(b.Nodes) >= shared(3)-3 }), forget)
	}
	b.over(t, wholeConnect)
}

// TestUpgrades: each node in turn is taken over by a second process on its socket, under traffic. The two have one node's
// floors together, and the seat is the second's once the first has left it.
func TestUpgrades(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(3, 3, 2), 3)
	for _, n := range b.Nodes {
		n.Upgrade()
		b.Until(n.Name+" has its seat again", soon, func() bool {
			f := figures(n)
			return f != nil && f.Voter != nil && f.Voter.Leader != "" && f.LeaseMillis > 0
		})
	}
	b.Until("the whole is in use", 2*soon, func() bool { return sum(b.Nodes) >= shared(3)-3 })
	b.over(t, wholeConnect)
}

// TestSeatForgets: a seat that has lost its disk comes back under its name. It is another one, which the rest let in; the
// group can then do without one of those that let it in.
func TestSeatForgets(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(3, 3, 2), 3)
	lost := but(b.Nodes, granter(b.Rig))[0]
	was := figures(lost).Voter.ID
	lost.Kill()
	lost.Forget()
	lost.Start()
	b.Until("it is let in", soon, func() bool {
		f := figures(lost)
		return f != nil && f.Voter.ID != was && len(f.Voter.Voters) == 3 && strings.Contains(strings.Join(f.Voter.Voters, " "), f.Voter.ID)
	})
	b.Until("it has a share", soon, func() bool { return mine(lost) > floorConnect })
	dead := granter(b.Rig)
	dead.Kill()
	rest := but(b.Nodes, dead)
	b.Until("the two go on", soon, func() bool { return sum(rest) >= shared(2)-2 })
	b.over(t, wholeConnect)
}

// TestMostForget: seats keep nothing on disk, and two of three start anew at once. The third lets go of a group that can never
// decide again; one is founded anew, and grants only once all that the old one may have granted has run out.
func TestMostForget(t *testing.T) {
	beside(t)
	plan := fleetPlan(3, 3, 2)
	plan.Disk = false
	b := begin(t, plan, 3)
	for _, n := range b.Nodes[:2] {
		n.Kill()
	}
	for _, n := range b.Nodes[:2] {
		n.Start()
	}
	t.Logf("in use again after %v", b.Until("the whole is in use", 3*soon, func() bool { return sum(b.Nodes) >= shared(3)-3 }))
	b.over(t, wholeConnect)
}

// TestFoundedAnew: all seats lose all they knew at once, while a node without a seat is cut off and goes on with its lease. The
// group that is founded anew grants nothing until that has run out; healed, the node has a share of the new group's.
func TestFoundedAnew(t *testing.T) {
	beside(t)
	plan := fleetPlan(4, 3, 1)
	plan.Disk, plan.Fleet["lease_ms"], plan.Fleet["most"] = false, 6000, 4
	b, apart, seats := hog(t, plan)
	cut([]*testcluster.Node{apart}, seats, testcluster.There, testcluster.Back)
	for _, n := range seats {
		n.Kill()
	}
	for _, n := range seats {
		n.Start()
	}
	for _, n := range seats {
		b.load(n)
	}
	t.Logf("in use again after %v", b.Until("the seats' nodes have the whole", 4*soon, func() bool {
		return sum(seats) >= wholeConnect-reserveConnect-floorConnect-3
	}))
	for seat := range 3 {
		apart.Relay(seat).Heal()
	}
	b.Until("it has a share again", soon, func() bool { return mine(apart) > floorConnect })
	b.over(t, wholeConnect)
}

// TestClocks: clocks that differ by the stated margin, either way and by an hour, keep the whole.
func TestClocks(t *testing.T) {
	beside(t)
	plan := fleetPlan(4, 3, 2)
	r := testcluster.New(t, plan)
	for i, clock := range []string{"1,0", "1.04,3600", "0.96,-3600", "0.96,0"} {
		r.Nodes[i].Env = []string{"FERNRAIL_TEST_CLOCK=" + clock + ",0"}
	}
	b := &busy{Rig: r}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
		b.load(n)
	}
	b.Until("the whole is in use", 20*time.Second, func() bool { return sum(b.Nodes) >= shared(4)-4 })
	slow := b.Nodes[3]
	for range 2 {
		slow.Signal(syscall.SIGSTOP)
		b.Until("the rest have the whole", soon, func() bool { return sum(b.Nodes[:3]) >= shared(3)-3 })
		slow.Signal(syscall.SIGCONT)
		b.Until("it has a share again", soon, func() bool { return mine(slow) > floorConnect })
	}
	b.over(t, wholeConnect)
	for _, n := range b.Nodes {
		if strings.Contains(n.Log(), "exceeds the margin") {
			t.Errorf("%s takes a clock within the margin for one that is not", n.Name)
		}
	}
}

// TestClockBeyond: a clock that is slower than the margin allows, at a node that can be reached: it is named, gets no lease,
// and the whole holds.
func TestClockBeyond(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(4, 3, 1), 4)
	slow := b.Nodes[3]
	slow.Kill()
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.5,0,0"}
	slow.Start()
	b.Until("it is named", soon, func() bool {
		f := figures(slow)
		g := granter(b.Rig)
		return f != nil && f.ClockRate > 0.4 && f.ClockRate < 0.6 && g != nil && figures(g).Voter.ClockRates[slow.Name] > 0
	})
	b.Until("it is on its floors", soon, func() bool { return mine(slow) <= floorConnect })
	b.over(t, wholeConnect)
}

// TestBreachIsSeen: a node's clock falls to a fifth of its rate as the node is cut off. Its lease lasts for five, and the
// stand-ins see more than the whole: this is what margins are for, and what the other tests would see if one were broken.
// Healed, the node is named.
func TestBreachIsSeen(t *testing.T) {
	beside(t)
	r := testcluster.New(t, fleetPlan(4, 3, 1))
	b, slow := &busy{Rig: r}, r.Nodes[3]
	slow.Env = []string{"FERNRAIL_TEST_CLOCK=0.2,0,-1"}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
	}
	b.load(r.Nodes[0])
	end := slow.Load("first", "/look?close=1", 4, 8*time.Millisecond, 400*time.Millisecond)
	b.Until("it has a share", 20*time.Second, func() bool { return mine(slow) >= shared(4)/2-4 })
	before, _ := crowd(r)
	end()
	b.Pass(windowTime) // all it has is free at once, and goes out at once
	// The clock falls as the cut is there, whatever the machine does meanwhile. Danger: a slow clock that is not cut off yet is
	// found out, and nothing is broken.
	b.ends = append(b.ends, slow.Load("job", "/look?close=1", 12, 8*time.Millisecond, 400*time.Millisecond))
	// Danger: on a busy machine a lease is renewed late; what is left of it at the cut is over before others have its share.
	b.Until("a lease just renewed", soon, func() bool { f := figures(slow); return f != nil && f.LeaseMillis > 9*leaseTime.Milliseconds()/10 })
	cut([]*testcluster.Node{slow}, r.Nodes[:3], testcluster.There, testcluster.Back)
	slow.Signal(syscall.SIGUSR1)
	b.Until("the whole is broken", soon, func() bool { most, _ := crowd(r); return most > wholeConnect })
	for seat := range 3 {
		slow.Relay(seat).Heal()
	}
	b.Until("it is named", 2*soon, func() bool { f := figures(slow); return f != nil && f.ClockRate > 0.1 && f.ClockRate < 0.9 })
	most, _ := crowd(r)
	t.Logf("%d in a window before, %d after", before, most)
	if before > wholeConnect {
		t.Errorf("%d in a window before anything went wrong", before)
	}
	for _, end := range b.ends {
		end()
	}
}

// TestUse: nine tenths of the demand are at one node, which gets what the others leave: nine tenths of the whole and more
// arrive at the executors. A fixed split would let through one in three.
func TestUse(t *testing.T) {
	beside(t)
	plan := fleetPlan(3, 3, 1)
	const whole = 100
	plan.Fleet["most"], plan.Fleet["margin"] = 3, 0.01 // a window counts for the margin longer
	plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{"whole": whole, "floor": 1, "reserve": 2, "window_ms": windowTime.Milliseconds()}
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
	}
	ends := []func() map[int]int{r.Nodes[0].Load("job", "/look?close=1", 16, 20*time.Millisecond, 400*time.Millisecond)}
	for _, n := range r.Nodes[1:] {
		ends = append(ends, n.Load("job", "/look?close=1", 1, 150*time.Millisecond, 400*time.Millisecond))
	}
	r.Until("the hot node has nine tenths", 20*time.Second, func() bool { return mine(r.Nodes[0]) >= 9*whole/10-3 })
	const span = 4 * time.Second
	use := func() float64 {
		accepted, _ := r.Executors[0].Noted()
		since, _ := slices.BinarySearch(accepted, r.Now()-int64(span))
		return float64(len(accepted)-since) / (float64(span) / float64(windowTime) * whole)
	}
	best := 0.0 // on a machine that is busy with other things clients are slow at times
	r.Until("nine tenths of the whole are used", 5*span, func() bool { best = max(best, use()); return best >= 0.9 })
	for _, end := range ends {
		end()
	}
	accepted, _ := r.Executors[0].Noted()
	most := testcluster.Most(accepted, windowTime-jitter)
	t.Logf("%.2f of the whole is used, %d in a window at most", best, most)
	if most > whole {
		t.Errorf("%d in a window, the whole is %d", most, whole)
	}
}

// TestJoinAndLeave: five nodes become nine while traffic runs, and four again.
func TestJoinAndLeave(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(9, 3, 2), 5)
	for _, n := range b.Nodes[5:] {
		n.Start()
	}
	for _, n := range b.Nodes[5:] {
		n.Ready()
		b.load(n)
	}
	fair := shared(9) / 9
	t.Logf("fair after %v", b.Until("those that come have a fair share", soon, func() bool {
		for _, n := range b.Nodes[5:] {
			if mine(n) < fair-1 {
				return false
			}
		}
		return true
	}))
	for _, n := range b.Nodes[4:] {
		n.Kill()
	}
	rest := b.Nodes[:4]
	t.Logf("in use again after %v", b.Until("what they held is in use", soon, func() bool { return sum(rest) >= shared(4)-4 }))
	b.over(t, wholeConnect)
}

// TestRests: windows that are longer than leases. What one node used and gave back is used by another only once its window is
// past, though shares move within half a second. Without rests this broke the whole, and no other test here did.
func TestRests(t *testing.T) {
	beside(t)
	const window = 2 * time.Second
	plan := fleetPlan(3, 3, 1)
	plan.Fleet["most"] = 3
	plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{"whole": wholeConnect, "floor": 1, "window_ms": window.Milliseconds()}
	r := testcluster.New(t, plan)
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
	}
	// Each that comes wants as much as those before, who have used what they now give back.
	var ends []func() map[int]int
	for i, n := range r.Nodes {
		ends = append(ends, n.Load("job", "/look?close=1", 8, 8*time.Millisecond, 300*time.Millisecond))
		r.Until("it has its share", 4*soon, func() bool { return mine(n) >= wholeConnect/int64(i+1)-4 })
		from := r.Now()
		r.Until("it has used it", soon, func() bool { return r.Now()-from > int64(window)/3 })
	}
	for _, end := range ends {
		end()
	}
	accepted, _ := r.Executors[0].Noted()
	most := testcluster.Most(accepted, window-jitter)
	t.Logf("%d connections, at most %d in a window", len(accepted), most)
	if most > wholeConnect || len(accepted) < wholeConnect {
		t.Errorf("%d connections, at most %d in a window, the whole is %d", len(accepted), most, wholeConnect)
	}
}

// TestAgain: executors that turn everything away draw second postings from all nodes; together they are no more than the
// whole, or than a share of first ones. Without a fleet the same traffic sends far more: the count can fail.
func TestAgain(t *testing.T) {
	beside(t)
	for _, kind := range []string{"whole", "share", "alone"} {
		const share = 0.05
		plan := fleetPlan(3, 3, 3)
		switch kind {
		case "alone":
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
		case "share":
			plan.Fleet["budgets"].(map[string]any)["again"] = map[string]any{"whole": 10000, "share": share, "floor": 1, "window_ms": windowTime.Milliseconds()}
		}
		r := testcluster.New(t, plan)
		for _, n := range r.Nodes {
			n.Start()
		}
		for _, n := range r.Nodes {
			n.Ready()
		}
		if kind != "alone" {
			r.Until("a lease for each", 20*time.Second, func() bool {
				for _, n := range r.Nodes {
					if f := figures(n); f == nil || f.LeaseMillis == 0 {
						return false
					}
				}
				return true
			})
		}
		var ends []func() map[int]int
		for _, n := range r.Nodes {
			ends = append(ends, n.Load("job", "/look?full=1", 8, 10*time.Millisecond, 300*time.Millisecond))
		}
		from := r.Now()
		r.Until("some time has passed", soon, func() bool { return r.Now()-from >= int64(3*time.Second) })
		for _, end := range ends {
			end()
		}
		seen, first, again := map[string]bool{}, []int64{}, []int64{}
		var all []testcluster.Job
		for _, e := range r.Executors {
			_, jobs := e.Noted()
			all = append(all, jobs...)
		}
		slices.SortFunc(all, func(a, b testcluster.Job) int { return cmp.Compare(a.At, b.At) })
		for _, j := range all {
			if seen[j.ID] {
				again = append(again, j.At)
			} else {
				first = append(first, j.At)
			}
			seen[j.ID] = true
		}
		bound := wholeAgain
		if kind == "share" {
			// Of the most first ones that any window had, and floors; the whole follows within a lease.
			bound = max(int(share*float64(testcluster.Most(first, windowTime+jitter))), mostNodes*floorConnect)
		}
		most := testcluster.Most(again, windowTime-jitter)
		t.Logf("%s: %d second postings of %d, %d in a window at most, of %d", kind, len(again), len(all), most, bound)
		if (kind != "alone") != (most <= bound) {
			t.Errorf("%s: %d second postings in a window, the whole is %d", kind, most, bound)
		}
		if kind != "alone" && len(again) < bound {
			t.Errorf("%s: %d second postings: too few to have tried the whole", kind, len(again))
		}
	}
}

// TestCold: executors that have just started are sent no more by all nodes together than they bear in a window, while a
// node is killed and one joins. Nodes of which each takes itself for the only one send far more: the count can fail.
func TestCold(t *testing.T) {
	beside(t)
	const fall, cold, multiple, share, work, part = 500 * time.Millisecond, 6 * time.Second, 2.5, 0.3, 5 * time.Millisecond, 1 / 1.5
	for _, together := range []bool{true, false} {
		plan := fleetPlan(4, 3, 2)
		// Connections are not what is tried here.
		plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{"whole": 4000, "floor": 100, "step": 100, "window_ms": fall.Milliseconds()}
		if plan.Work, plan.Started = work, time.Now(); !together {
			plan.Settings["Limits"].(map[string]any)["MayTell"] = false
			plan.Settings["ReplicasOfMe"] = 1
		}
		r := testcluster.New(t, plan)
		b := &busy{Rig: r}
		for _, n := range r.Nodes[:3] {
			n.Start()
		}
		for _, n := range r.Nodes[:3] {
			n.Ready()
			b.ends = append(b.ends, n.Load("job", "/look", 8, 5*time.Millisecond, 300*time.Millisecond))
		}
		after := func(age time.Duration) {
			b.Until("some time has passed", 2*cold, func() bool { return time.Since(plan.Started) >= age })
		}
		after(4 * time.Second)
		r.Nodes[0].Kill()
		r.Nodes[3].Start()
		r.Nodes[3].Ready()
		b.ends = append(b.ends, r.Nodes[3].Load("job", "/look", 8, 5*time.Millisecond, 300*time.Millisecond))
		after(cold)
		for _, end := range b.ends {
			end()
		}
		began, count, worst := r.Now()-int64(time.Since(plan.Started)), 0, 0.0
		for _, e := range r.Executors {
			_, jobs := e.Noted()
			for from, to, sum := 0, 0, time.Duration(0); to < len(jobs) && jobs[to].At-began < int64(cold); to++ {
				for sum += jobs[to].Work; jobs[to].At-jobs[from].At >= int64(fall-jitter); from++ {
					sum -= jobs[from].Work
				}
				warmth := share + (1-share)*float64(jobs[to].At-began)/float64(cold)
				worst = max(worst, float64(sum)/(multiple*float64(fall)*warmth))
				count++
			}
		}
		t.Logf("together %v: %d jobs, at worst %.2f of what a cold executor bears", together, count, worst)
		// What nodes reckon with is a part of what it bears, by running times that each has seen; what must hold is the whole.
		if together && worst > 1 || !together && worst <= part {
			t.Errorf("together %v: at worst %.2f of what a cold executor bears; nodes use %.2f of it", together, worst, part)
		}
		if together && worst < part/2 {
			t.Errorf("%.2f is too little to have tried it", worst)
		}
	}
}

// TestDiskFull: the disk under the seat that grants takes no more. It grants nothing and says so, another one does, and the
// node serves on; with room again its seat goes on.
// Danger: the library ends the process when a vote can't be written.
func TestDiskFull(t *testing.T) {
	beside(t)
	plan := fleetPlan(3, 3, 2)
	r := testcluster.New(t, plan)
	disk := t.TempDir()
	if err := unix.Mount("tmpfs", disk, "tmpfs", 0, "size=512k"); err != nil {
		t.Skipf("no small disk can be made here: %v", err)
	}
	t.Cleanup(func() { unix.Unmount(disk, unix.MNT_DETACH) })
	small := r.Nodes[0]
	small.Disk = disk
	b := &busy{Rig: r}
	for _, n := range r.Nodes {
		n.Start()
	}
	for _, n := range r.Nodes {
		n.Ready()
		b.load(n)
	}
	b.Until("the whole is in use", 20*time.Second, func() bool { return sum(r.Nodes) >= shared(3)-3 })
	filler := filepath.Join(disk, "filler")
	if err := os.WriteFile(filler, make([]byte, 1<<20), 0o600); err == nil {
		t.Fatal("a megabyte fits on half of one")
	}
	// Whoever grants hands over if it is the small one; elections write, and so show the fault.
	if granter(r) != small {
		dead := granter(r)
		dead.Kill()
		b.Until("it says so", 2*soon, func() bool { f := figures(small); return f != nil && f.Voter != nil && f.Voter.Error != "" })
		dead.Start()
	} else {
		b.Until("it says so", 2*soon, func() bool { f := figures(small); return f != nil && f.Voter != nil && f.Voter.Error != "" })
	}
	b.Until("another one grants, and all of it is in use", 2*soon, func() bool {
		g := granter(r)
		return g != nil && g != small && sum(r.Nodes) >= shared(3)-3
	})
	tries := 0
	b.Until("the node serves on", soon, func() bool {
		tries++
		return small.Running() && small.Send(fmt.Sprint("after", tries), "/look", time.Second) == 200
	})
	if err := os.Remove(filler); err != nil {
		t.Fatal(err)
	}
	b.Until("its seat goes on", 2*soon, func() bool {
		f := figures(small)
		return f != nil && f.Voter != nil && f.Voter.Error == "" && f.Voter.Leader != ""
	})
	b.over(t, wholeConnect)
}

// TestDoubledAndLate: all calls of all nodes come once more, some of them long after they were answered, while shares move.
func TestDoubledAndLate(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(4, 3, 2), 4)
	answered := 0
	for round := range 4 {
		for _, n := range b.Nodes {
			for seat := range 3 {
				answered += n.Relay(seat).Replay()
			}
		}
		b.Until("shares go on", soon, func() bool { return sum(b.Nodes) >= shared(4)-6 })
		if n := b.Nodes[3]; round%2 == 0 {
			n.Kill() // what comes again is of a process that is gone, and then of one before this one
		} else {
			n.Start()
			n.Ready()
		}
	}
	if answered < 50 {
		t.Errorf("%d calls came again: too few to have tried it", answered)
	}
	b.over(t, wholeConnect)
}

// hog has one node without a seat hold most of the whole, with nobody else wanting any.
func hog(t *testing.T, plan testcluster.Plan) (b *busy, one *testcluster.Node, rest []*testcluster.Node) {
	t.Helper()
	b = &busy{Rig: testcluster.New(t, plan)}
	one, rest = b.Nodes[3], b.Nodes[:3]
	for _, n := range b.Nodes {
		n.Start()
	}
	for _, n := range b.Nodes {
		n.Ready()
	}
	b.load(one)
	b.Until("it has most of the whole", 4*soon, func() bool { return mine(one) >= wholeConnect*3/4 })
	return b, one, rest
}

// TestOldCallsOfACutOffNode: a node that holds most of the whole is cut off, and calls of its from long before come again. They
// tell of a time when it held nothing; what it holds now is not granted to others for that.
func TestOldCallsOfACutOffNode(t *testing.T) {
	beside(t)
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"] = 4
	b, one, rest := hog(t, plan)
	for _, n := range rest {
		b.load(n)
	}
	for seat := range 3 {
		one.Relay(seat).Cut(testcluster.There)
		one.Relay(seat).Cut(testcluster.Back)
	}
	answered := 0
	for seat := range 3 {
		answered += one.Relay(seat).Replay()
	}
	b.Until("the rest have the whole", soon, func() bool { return sum(rest) >= wholeConnect-reserveConnect-floorConnect-3 })
	for seat := range 3 {
		one.Relay(seat).Heal()
	}
	if answered < 5 {
		t.Errorf("%d calls came again: too few to have tried it", answered)
	}
	b.over(t, wholeConnect)
}

// TestAnswersThatTakeLong: answers to a node that holds most of the whole take nearly as long as it waits for them, and then it
// is cut off. Its lease counts from its requests: when others are granted what it held it uses that no more.
func TestAnswersThatTakeLong(t *testing.T) {
	beside(t)
	const window = 400 * time.Millisecond
	plan := fleetPlan(4, 3, 1)
	plan.Fleet["most"], plan.Fleet["lease_ms"], plan.Fleet["margin"] = 4, 3000, 0.01
	plan.Fleet["budgets"].(map[string]any)["connect"] = map[string]any{"whole": wholeConnect, "floor": floorConnect, "reserve": reserveConnect, "window_ms": window.Milliseconds()}
	b, one, rest := hog(t, plan)
	for seat := range 3 {
		one.Relay(seat).Delay(testcluster.Back, 900*time.Millisecond)
	}
	from := b.Now()
	b.Until("a lease has passed under the delay", soon, func() bool { return b.Now()-from > int64(3*time.Second) && mine(one) >= wholeConnect/2 })
	for seat := range 3 {
		one.Relay(seat).Cut(testcluster.There) // its last answer still comes
	}
	from = b.Now()
	b.Until("its last answer has come", soon, func() bool { return b.Now()-from > int64(time.Second) })
	for _, n := range rest {
		b.load(n)
	}
	b.Until("the rest have the whole", 2*soon, func() bool { return sum(rest) >= wholeConnect-reserveConnect-floorConnect-3 })
	for _, end := range b.ends {
		end()
	}
	accepted, _ := b.Executors[0].Noted()
	most := testcluster.Most(accepted, window-jitter)
	t.Logf("%d connections, at most %d in a window", len(accepted), most)
	if most > wholeConnect {
		t.Errorf("at most %d in a window, the whole is %d", most, wholeConnect)
	}
}

// TestStrangers: what comes to a seat's door and is not of this fleet and version, or lies, costs bounded work and gets
// nothing; shares go on.
func TestStrangers(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(3, 3, 2), 3)
	token := func(version int, secret string) string {
		return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", version, secret)))
	}
	ask := func(token, length, body string) string {
		return "POST /ask HTTP/1.1\r\nHost: x\r\nX-Fernrail-Fleet: " + token + "\r\nContent-Length: " + length + "\r\n\r\n" + body
	}
	greedy := `{"node":"thief","holder":"h","seq":1,"hold":{"connect":40},"want":{"connect":40}}`
	right := token(1, "only for tests")
	id := figures(b.Nodes[0]).Voter.ID
	strangers := []string{
		"\x00\xff\xfe garbage that is no protocol\r\n\r\n",
		"\x01" + strings.Repeat("a", 200),
		"\x01" + right + "\x05n0/xx" + strings.Repeat("\x00\xff", 3000),
		"\x01" + right + string(rune(len(id))) + id + "\x00" + strings.Repeat("\xdf\xff\xff\xff\xff", 2000), // maps of four thousand million
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
				c, err := net.DialTimeout("tcp", n.Door, time.Second)
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
	b.Until("shares go on", soon, func() bool { return sum(b.Nodes) >= shared(3)-3 })
	for _, n := range b.Nodes {
		f := figures(n)
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
	b.over(t, wholeConnect)
}

// TestOtherPact: a node whose file tells of larger floors than the fleet was founded with is refused, says so, and uses none.
func TestOtherPact(t *testing.T) {
	beside(t)
	b := begin(t, fleetPlan(4, 3, 1), 3)
	odd := b.Nodes[3]
	odd.Change = func(section map[string]any) { section["most"] = 2 * mostNodes }
	odd.Start()
	odd.Ready()
	b.load(odd)
	b.Until("it is refused", soon, func() bool { return strings.Contains(odd.Log(), "differ from what the fleet was founded with") })
	from := b.Now()
	b.Until("some windows have passed", soon, func() bool { return b.Now()-from > int64(4*windowTime) })
	if got := mine(odd); got != 0 {
		t.Errorf("it uses %d", got)
	}
	b.over(t, wholeConnect)
}

// alive is whom a node believes to be there.
func alive(n *testcluster.Node) (names string) {
	f := figures(n)
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

// TestMembers: nodes hear of each other by gossip, through datagrams that get lost, pass each other and come twice. A dead one
// is missed, two halves find each other again, two of one name are named. What anyone believes moves no share.
func TestMembers(t *testing.T) {
	beside(t)
	plan := fleetPlan(5, 3, 1)
	plan.Gossip = true
	b := begin(t, plan, 5)
	believes := func(who []*testcluster.Node, names string) func() bool {
		return func() bool {
			for _, n := range who {
				if alive(n) != names {
					return false
				}
			}
			return true
		}
	}
	const all = "n0 n1 n2 n3 n4"
	b.Until("all know all", soon, believes(b.Nodes, all))
	for _, n := range b.Nodes {
		for other := range b.Nodes {
			n.Gossip(other).Datagrams(0.1, 0.2)
			n.Gossip(other).Delay(testcluster.There, 5*time.Millisecond)
		}
	}
	dead := b.Nodes[4]
	dead.Kill()
	t.Logf("missed after %v", b.Until("the dead one is missed", 3*soon, believes(b.Nodes[:4], "n0 n1 n2 n3")))
	dead.Start()
	b.Until("it is there again", 2*soon, believes(b.Nodes, all))
	gossips := func(do func(*testcluster.Relay)) {
		for i, n := range b.Nodes {
			for j := range b.Nodes {
				if (i < 2) != (j < 2) {
					do(n.Gossip(j))
				}
			}
		}
	}
	// Gossip alone is cut: the two are taken for dead, and keep their shares.
	gossips(func(r *testcluster.Relay) { r.Cut(testcluster.There); r.Cut(testcluster.Back) })
	b.Until("each half misses the other", 3*soon, func() bool {
		return believes(b.Nodes[:2], "n0 n1")() && believes(b.Nodes[2:], "n2 n3 n4")()
	})
	for _, n := range b.Nodes {
		if mine(n) <= floorConnect {
			t.Errorf("%s lost its share to what others believe", n.Name)
		}
	}
	gossips(func(r *testcluster.Relay) { r.Heal(); r.Reset() })
	t.Logf("one fleet again after %v", b.Until("all know all again", 3*soon, believes(b.Nodes, all)))
	b.over(t, wholeConnect)
}

// TestTwoOfOneName: a second node under a name that is taken is named by the others.
func TestTwoOfOneName(t *testing.T) {
	beside(t)
	plan := fleetPlan(4, 3, 1)
	plan.Gossip = true
	b := begin(t, plan, 3)
	double := b.Nodes[3]
	double.Env = []string{"EDGE_NAME=n2"}
	double.Change = func(section map[string]any) { delete(section, "listen") }
	double.Start()
	b.Until("it is named", 2*soon, func() bool {
		for _, n := range b.Nodes[:3] {
			if strings.Contains(n.Log(), "two nodes have the same name") {
				return true
			}
		}
		return false
	})
}
