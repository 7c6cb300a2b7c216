// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"fernrail/internal/invariants"
)

// readExample reads a scenario of the examples.
func readExample(t testing.TB, name string) *Scenario {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../example/scenarios", name))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Read(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return s
}

// runScenario runs a scenario and returns its summary, its violations of the rules, its report and its log.
func runScenario(t testing.TB, s *Scenario, seed uint64, policy string) (*invariants.Summary,
	[]invariants.Violation, Report, string) {
	t.Helper()
	p, err := PolicyOf(policy)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	encoder := json.NewEncoder(&log)
	checker, collector, last := invariants.New(s.InvariantRules()), invariants.NewCollector(), int64(0)
	r := Run(s, seed, p, func(e invariants.Event) {
		if err := checker.Add(e); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		collector.Add(e)
		encoder.Encode(e)
		last = e.At
	})
	return collector.Summary(), checker.Violations(last), r, log.String()
}

// violatedRules returns the numbers of the rules that a policy violates.
func violatedRules(t testing.TB, s *Scenario, policy Policy) (rules []int) {
	t.Helper()
	checker, last := invariants.New(s.InvariantRules()), int64(0)
	Run(s, 5, policy, func(e invariants.Event) {
		if err := checker.Add(e); err != nil {
			t.Fatal(err)
		}
		last = e.At
	})
	for _, b := range checker.Violations(last) {
		rules = append(rules, b.Rule)
	}
	return rules
}

// queueScenario has one node and a single server with some slots and one queue (M/M/c or M/D/1), for which
// queueing theory has exact results.
func queueScenario(servers int, load float64, shape string) *Scenario {
	s := &Scenario{Length: Duration(400e9), WarmUp: Duration(20e9),
		Fleet: Fleet{Nodes: 1, Servers: 1, Zones: []string{"a"}, Tick: Duration(1)},
		MachineTypes: []MachineType{{Share: 1, Slots: servers, Cores: float64(servers), Speed: 1,
			QueueLimit: 1e6, MaxConnections: 1e6, Cancel: "none"}},
		Network: Network{DialTimeout: Duration(1e9), IdleTimeout: Duration(1e12)},
		Rules:   Rules{MaxAttempts: 1, Slack: Duration(2e7)},
		Clients: Clients{Rate: load * float64(servers) * 10, Backoff: 1},
		Classes: []Class{{Name: "s", Share: 1, MeanRuntime: Duration(1e8), Distribution: shape, Slots: 1,
			LatencyObjective: Duration(1000e9), Deadline: Duration(2000e9), Weight: 1,
			Idempotency: "repeatable"}}}
	return s
}

// TestQueueingTheory compares mean waiting times with the exact formulas, and jobs in progress with Little's
// law.
func TestQueueingTheory(t *testing.T) {
	erlang := func(c int, a float64) float64 { // probability that a job waits
		sum, term := 0.0, 1.0
		for k := range c {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		term *= a / float64(c)
		last := term * float64(c) / (float64(c) - a)
		return last / (sum + last)
	}
	for _, c := range []struct {
		servers int
		load    float64
		shape   string
		wait    float64 // in mean runtimes
	}{
		{1, 0.7, "exponential", 0.7 / 0.3},
		{1, 0.7, "fixed", 0.7 / 0.3 / 2}, // Pollaczek-Khinchine formula
		{4, 0.8, "exponential", erlang(4, 3.2) / (4 - 3.2)},
	} {
		mean, n := 0.0, 0
		var inProgress float64
		for seed := range uint64(4) {
			summary, violations, r, _ := runScenario(t, queueScenario(c.servers, c.load, c.shape), seed, "random")
			if len(violations) > 0 {
				t.Fatalf("%d slots, load %v: got violation %+v, want none", c.servers, c.load, violations[0])
			}
			for _, latency := range summary.Latencies {
				mean += float64(latency) / 1e8
			}
			n += len(summary.Latencies)
			inProgress += r.Work / 400 / 4
			if math.Abs(r.Work-r.OfferedWork) > 1e-3*r.OfferedWork {
				t.Errorf("work is not conserved: got %v slots times s done, want the offered %v", r.Work,
					r.OfferedWork)
			}
		}
		mean = mean/float64(n) - 1
		// Four runs of 400 s at 7 to 32 requests per second.
		if math.Abs(mean-c.wait) > 0.1*c.wait+0.02 {
			t.Errorf("%d slots, %s, load %v: mean wait: got %.3f mean runtimes, want %.3f", c.servers,
				c.shape, c.load, mean, c.wait)
		}
		// Little's law: jobs in progress are the arrival rate times the mean runtime.
		if want := c.load * float64(c.servers); math.Abs(inProgress-want) > 0.03*want {
			t.Errorf("%d slots: got %.3f jobs in progress, want %.3f by Little's law", c.servers, inProgress,
				want)
		}
	}
}

// TestSameSeedSameLog checks that a seed determines the log to the byte, on one core or several, and that
// another seed gives another log.
func TestSameSeedSameLog(t *testing.T) {
	s := readExample(t, "troubles.toml")
	s.Length = Duration(10e9)
	_, _, _, first := runScenario(t, s, 7, "module")
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	_, _, _, second := runScenario(t, s, 7, "module")
	_, _, _, other := runScenario(t, s, 8, "module")
	if first != second {
		t.Error("the logs of two runs with seed 7 differ")
	}
	if first == other {
		t.Error("the logs of seeds 7 and 8 are the same")
	}
}

// TestOrderOfEvents checks that events at the same time run in the order of their scheduling, and that time
// never goes back.
func TestOrderOfEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var c clock
	var seen []string
	last := int64(0)
	for i := range 200 {
		at := r.Int64N(20)
		c.after(at, func() {
			if c.now < last {
				t.Fatalf("time goes back from %d ns to %d ns", last, c.now)
			}
			last = c.now
			seen = append(seen, fmt.Sprintf("%02d %03d", c.now, i))
			if i%7 == 0 {
				c.after(0, func() { seen = append(seen, fmt.Sprintf("%02d %03d", c.now, 500+i)) })
			}
		})
	}
	c.run(100)
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Fatalf("order of events (time, number): got %s after %s", seen[i], seen[i-1])
		}
	}
	if c.now != 100 || len(seen) < 220 {
		t.Errorf("got %d events run and the clock at %d, want at least 220 and 100", len(seen), c.now)
	}
}

// randomScenario returns a small scenario with two to five random faults.
func randomScenario(r *rand.Rand) *Scenario {
	s := &Scenario{Length: Duration(9e9), WarmUp: Duration(1e9),
		Fleet: Fleet{Nodes: 2 + r.IntN(6), Servers: 3 + r.IntN(10), Zones: []string{"a", "b"},
			Tick: Duration(2e6), DecisionTime: Duration(r.IntN(50000))},
		MachineTypes: []MachineType{{Share: 1, Slots: 1 + r.IntN(6), Cores: 3, Speed: 1, SpeedSpread: 0.3,
			QueueLimit: 5 + r.IntN(30), MaxConnections: 40, HandshakeWork: Duration(1e6),
			Cancel: []string{"none", "queued", "all"}[r.IntN(3)]}},
		Network: Network{SameZoneDelay: Duration(2e5), CrossZoneDelay: Duration(3e6), Jitter: 0.3,
			DialTimeout: Duration(2e8), IdleTimeout: Duration(2e9)},
		Discovery: Discovery{NoticeDelay: Duration(1e9), NotifyDelay: Duration(3e8), Loss: 0.1},
		Rules: Rules{Slack: Duration(2e7), DrainGrace: Duration(1e9), SlowStart: Duration(6e9),
			SlowStartShare: 0.3, OverloadWindow: Duration(2e9), OverloadFactor: 3, MaxAttempts: 4,
			AllowHedging: r.IntN(2) == 0, StartNotices: true, ProgressInterval: Duration(5e8),
			MaxRetryAfter: Duration(1e9)},
		Clients: Clients{Rate: 40 + 100*r.Float64(), Retries: r.IntN(4), Backoff: Duration(5e7),
			RetryAfterShare: 0.5, AffinityKeys: r.IntN(2) * 30, WorkHints: r.IntN(2) == 0,
			ZoneSkew: r.Float64() / 2},
		Tenants: []Tenant{{"x", 0.7}, {"y", 0.3}},
		Classes: []Class{
			{Name: "s", Share: 0.5, MeanRuntime: Duration(1e8), Distribution: "exponential", Slots: 1,
				LatencyObjective: Duration(3e8), ObjectivePerRuntime: 2, Deadline: Duration(3e9), Weight: 1,
				Idempotency: "repeatable"},
			{Name: "r", Share: 0.3, MeanRuntime: Duration(2e8), Distribution: "exponential", Slots: 1,
				LatencyObjective: Duration(4e8), ObjectivePerRuntime: 2, Deadline: Duration(4e9), Weight: 2,
				LateShare: 0.5, Idempotency: "referenced", DedupWindow: Duration(5e9)},
			{Name: "o", Share: 0.2, MeanRuntime: Duration(2e8), Distribution: "exponential", Slots: 1,
				LatencyObjective: Duration(6e8), ObjectivePerRuntime: 2, Deadline: Duration(6e9), Weight: 5,
				LateShare: 0.5, Idempotency: "once-only"}}}
	for range 2 + r.IntN(4) {
		f := Fault{Kind: faultKinds[r.IntN(len(faultKinds))], At: Duration(1e9 + r.Int64N(5e9)),
			For: Duration(5e8 + r.Int64N(4e9)), Part: 0.1 + 0.6*r.Float64(), Strength: 2 + 3*r.Float64(),
			Interval: Duration(1e9)}
		if f.Kind == "errors" {
			f.Strength = r.Float64()
		}
		if f.Kind == "loss" {
			f.Part /= 5
		}
		s.Faults = append(s.Faults, f)
	}
	if r.IntN(2) == 0 {
		s.Subset = Subset{Size: 1 + r.IntN(s.Fleet.Servers), MinNodesPerServer: 1, NoticeDelay: Duration(5e8)}
	}
	return s
}

// FuzzRules checks that under random combinations of faults the dispatch package violates no rule, duplicates
// no effect, and overloads no server in slow start.
func FuzzRules(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := randomScenario(rand.New(rand.NewPCG(seed, 9)))
		_, violations, r, _ := runScenario(t, s, seed, "module")
		if len(violations) > 0 || r.DuplicateEffects > 0 || r.Overloads > 0 {
			t.Fatalf("seed %d: got %d violations, %d duplicate effects, %d overloads, want none: %+v, faults %+v",
				seed, len(violations), r.DuplicateEffects, r.Overloads, violations[:min(len(violations), 3)], s.Faults)
		}
	})
}

// TestBaselinesAreWorse checks that with faults the dispatch package serves a share on time that is at least
// 0.05 above that of random selection.
func TestBaselinesAreWorse(t *testing.T) {
	s := readExample(t, "troubles.toml")
	s.Length = Duration(25e9)
	module, _, _, _ := runScenario(t, s, 3, "module")
	random, _, _, _ := runScenario(t, s, 3, "random")
	if module.All.Share() < random.All.Share()+0.05 {
		t.Errorf("share served on time: module %.3f, random %.3f, want module ahead by at least 0.05",
			module.All.Share(), random.All.Share())
	}
	t.Logf("share served on time: module %.3f, random %.3f", module.All.Share(), random.All.Share())
}

// TestBadScenarios checks that invalid scenarios are rejected before a run, with the line or key in the
// error.
func TestBadScenarios(t *testing.T) {
	text, err := os.ReadFile("../../example/scenarios/quiet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`length = "40s"`, `length = "40s"` + "\nlengths = 3", `line 3: unknown key "lengths"`},
		{`length = "40s"`, `length = 40`, "length: 40 has no unit"},
		{`run = "150ms"`, `run = 150`, "scheme 1: run: 150 has no unit"},
		{`length = "40s"`, `length = "-40s"`, "length: "},
		{`nodes = 4`, `nodes = 0`, "fleet.nodes: "},
		{`rate = 120.0`, ``, "clients.rate: missing"},
		{`share = 0.6`, `share = 1.6`, "scheme 1: share: 1.6 is not between 0 and 1"},
		{`effect = "referenced"`, `effect = "twice"`, `scheme 2: effect: "twice"`},
		{`sla = "600ms"`, `sla = "600"`, "line"},
		{`cancel = "queued"`, `cancel = "some"`, "kind 1: cancel: "},
		{`[[scheme]]`, "[[fault]]\nkind = \"melt\"\nat = \"3s\"\nfor = \"1s\"\n[[scheme]]",
			`fault 1: kind: "melt"`},
		{`[[scheme]]`, "[[fault]]\nkind = \"cut\"\nat = \"3s\"\nfor = \"1s\"\nzone = \"north\"\n[[scheme]]",
			`fault 1: zone: "north"`},
		{`[[scheme]]`, "[[fault]]\nkind = \"slow\"\nat = \"3s\"\nfor = \"1s\"\n[[scheme]]",
			`fault 1: strength: missing`},
		{`[[scheme]]`, "[[fault]]\nkind = \"hang\"\nat = \"300s\"\nfor = \"1s\"\n[[scheme]]",
			`fault 1: at: not within the length`},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("quiet.toml does not contain %q", c.from)
		}
		if _, err := Read([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", c.to, err, c.want)
		}
	}
	if _, err := PolicyOf("best"); err == nil || !strings.Contains(err.Error(), "two-choices") {
		t.Errorf("unknown policy: got error %v, want one that lists two-choices", err)
	}
}

// TestExamples checks that each example scenario is valid, and that the dispatch package violates no rule in
// it.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../example/scenarios/*.toml")
	if len(files) < 2 {
		t.Fatalf("got example scenarios %q, want at least 2", files)
	}
	for _, file := range files {
		s := readExample(t, filepath.Base(file))
		s.Length, s.Clients.Rate = min(s.Length, Duration(12e9)), min(s.Clients.Rate, 400)
		s.Faults = append([]Fault{}, s.Faults...)
		for i := range s.Faults {
			s.Faults[i].At = min(s.Faults[i].At, Duration(10e9))
		}
		if _, violations, r, _ := runScenario(t, s, 1, "module"); len(violations) > 0 ||
			r.DuplicateEffects > 0 {
			t.Errorf("%s: got %d duplicate effects and violations %+v, want none", file, r.DuplicateEffects,
				violations[:min(len(violations), 3)])
		}
	}
}
