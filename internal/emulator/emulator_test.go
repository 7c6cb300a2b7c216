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

// runScenario runs a scenario and gives its figures, its breaches and its log.
func runScenario(t testing.TB, s *Scenario, seed uint64, policy string) (*invariants.Summary, []invariants.Violation, Report, string) {
	t.Helper()
	p, err := PolicyOf(policy)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	encoder := json.NewEncoder(&log)
	j, c, last := invariants.New(s.InvariantRules()), invariants.NewCollector(), int64(0)
	r := Run(s, seed, p, func(e invariants.Event) {
		if err := j.Add(e); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		c.Add(e)
		encoder.Encode(e)
		last = e.At
	})
	return c.Summary(), j.Violations(last), r, log.String()
}

// violatedRules gives the rules that a policy broke.
func violatedRules(t testing.TB, s *Scenario, policy Policy) (rules []int) {
	t.Helper()
	j, last := invariants.New(s.InvariantRules()), int64(0)
	Run(s, 5, policy, func(e invariants.Event) {
		if err := j.Add(e); err != nil {
			t.Fatal(err)
		}
		last = e.At
	})
	for _, b := range j.Violations(last) {
		rules = append(rules, b.Rule)
	}
	return rules
}

// queueScenario is one node before c servers that share one queue: what theory has an answer for.
func queueScenario(servers int, load float64, shape string) *Scenario {
	s := &Scenario{Length: Duration(400e9), WarmUp: Duration(20e9),
		Fleet:        Fleet{Nodes: 1, Servers: 1, Zones: []string{"a"}, Tick: Duration(1)},
		MachineTypes: []MachineType{{Share: 1, Slots: servers, Cores: float64(servers), Speed: 1, QueueLimit: 1e6, MaxConnections: 1e6, Cancel: "none"}},
		Network:      Network{DialTimeout: Duration(1e9), IdleTimeout: Duration(1e12)},
		Rules:        Rules{MaxAttempts: 1, Slack: Duration(2e7)},
		Clients:      Clients{Rate: load * float64(servers) * 10, Backoff: 1},
		Classes: []Class{{Name: "s", Share: 1, MeanRuntime: Duration(1e8), Distribution: shape, Slots: 1, LatencyObjective: Duration(1000e9), Deadline: Duration(2000e9), Weight: 1,
			Idempotency: "repeatable"}}}
	return s
}

// TestQueueingTheory: mean waits against the formulas, and Little's law.
func TestQueueingTheory(t *testing.T) {
	erlang := func(c int, a float64) float64 { // chance to wait
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
		wait    float64 // over a mean run
	}{
		{1, 0.7, "exponential", 0.7 / 0.3},
		{1, 0.7, "fixed", 0.7 / 0.3 / 2}, // Pollaczek and Khinchine
		{4, 0.8, "exponential", erlang(4, 3.2) / (4 - 3.2)},
	} {
		mean, n := 0.0, 0
		var busy float64
		for seed := range uint64(4) {
			f, breaches, r, _ := runScenario(t, queueScenario(c.servers, c.load, c.shape), seed, "random")
			if len(breaches) > 0 {
				t.Fatal(breaches[0])
			}
			for _, w := range f.Latencies {
				mean += float64(w) / 1e8
			}
			n += len(f.Latencies)
			busy += r.Work / 400 / 4
			if math.Abs(r.Work-r.OfferedWork) > 1e-3*r.OfferedWork {
				t.Errorf("work is not conserved: %v done of %v", r.Work, r.OfferedWork)
			}
		}
		mean = mean/float64(n) - 1
		// Four runs of 400 s at 7 to 32 a second.
		if math.Abs(mean-c.wait) > 0.1*c.wait+0.02 {
			t.Errorf("%d servers, %s, load %v: a mean wait of %.3f runs, by theory %.3f", c.servers, c.shape, c.load, mean, c.wait)
		}
		// Little: jobs in work are arrivals a second times the mean run.
		if want := c.load * float64(c.servers); math.Abs(busy-want) > 0.03*want {
			t.Errorf("%d servers: %.3f jobs in work, by Little %.3f", c.servers, busy, want)
		}
	}
}

// TestSameSeedSameLog: to the byte, on one core or several; another seed gives another log.
func TestSameSeedSameLog(t *testing.T) {
	s := readExample(t, "troubles.toml")
	s.Length = Duration(10e9)
	_, _, _, one := runScenario(t, s, 7, "module")
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	_, _, _, again := runScenario(t, s, 7, "module")
	_, _, _, other := runScenario(t, s, 8, "module")
	if one != again {
		t.Error("the same seed gave two logs")
	}
	if one == other {
		t.Error("two seeds gave one log")
	}
}

// TestOrderOfEvents: at one instant what was put in first comes first, and time never goes back.
func TestOrderOfEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var c clock
	var seen []string
	last := int64(0)
	for i := range 200 {
		at := r.Int64N(20)
		c.after(at, func() {
			if c.now < last {
				t.Fatal("time goes back")
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
			t.Fatalf("%s after %s", seen[i], seen[i-1])
		}
	}
	if c.now != 100 || len(seen) < 220 {
		t.Errorf("%d at %d", len(seen), c.now)
	}
}

// randomScenario makes a world with some of everything that goes wrong.
func randomScenario(r *rand.Rand) *Scenario {
	s := &Scenario{Length: Duration(9e9), WarmUp: Duration(1e9),
		Fleet:        Fleet{Nodes: 2 + r.IntN(6), Servers: 3 + r.IntN(10), Zones: []string{"a", "b"}, Tick: Duration(2e6), DecisionTime: Duration(r.IntN(50000))},
		MachineTypes: []MachineType{{Share: 1, Slots: 1 + r.IntN(6), Cores: 3, Speed: 1, SpeedSpread: 0.3, QueueLimit: 5 + r.IntN(30), MaxConnections: 40, HandshakeWork: Duration(1e6), Cancel: []string{"none", "queued", "all"}[r.IntN(3)]}},
		Network:      Network{SameZoneDelay: Duration(2e5), CrossZoneDelay: Duration(3e6), Jitter: 0.3, DialTimeout: Duration(2e8), IdleTimeout: Duration(2e9)},
		Discovery:    Discovery{NoticeDelay: Duration(1e9), NotifyDelay: Duration(3e8), Loss: 0.1},
		Rules:        Rules{Slack: Duration(2e7), DrainGrace: Duration(1e9), SlowStart: Duration(6e9), SlowStartShare: 0.3, OverloadWindow: Duration(2e9), OverloadFactor: 3, MaxAttempts: 4, AllowHedging: r.IntN(2) == 0, StartNotices: true, ProgressInterval: Duration(5e8), MaxRetryAfter: Duration(1e9)},
		Clients:      Clients{Rate: 40 + 100*r.Float64(), Retries: r.IntN(4), Backoff: Duration(5e7), RetryAfterShare: 0.5, AffinityKeys: r.IntN(2) * 30, WorkHints: r.IntN(2) == 0, ZoneSkew: r.Float64() / 2},
		Tenants:      []Tenant{{"x", 0.7}, {"y", 0.3}},
		Classes: []Class{
			{Name: "s", Share: 0.5, MeanRuntime: Duration(1e8), Distribution: "exponential", Slots: 1, LatencyObjective: Duration(3e8), ObjectivePerRuntime: 2, Deadline: Duration(3e9), Weight: 1, Idempotency: "repeatable"},
			{Name: "r", Share: 0.3, MeanRuntime: Duration(2e8), Distribution: "exponential", Slots: 1, LatencyObjective: Duration(4e8), ObjectivePerRuntime: 2, Deadline: Duration(4e9), Weight: 2, LateShare: 0.5, Idempotency: "referenced", DedupWindow: Duration(5e9)},
			{Name: "o", Share: 0.2, MeanRuntime: Duration(2e8), Distribution: "exponential", Slots: 1, LatencyObjective: Duration(6e8), ObjectivePerRuntime: 2, Deadline: Duration(6e9), Weight: 5, LateShare: 0.5, Idempotency: "once-only"}}}
	for range 2 + r.IntN(4) {
		f := Fault{Kind: faultKinds[r.IntN(len(faultKinds))], At: Duration(1e9 + r.Int64N(5e9)), For: Duration(5e8 + r.Int64N(4e9)), Part: 0.1 + 0.6*r.Float64(), Strength: 2 + 3*r.Float64(), Interval: Duration(1e9)}
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

// FuzzRules: whatever goes wrong, singly and together, the module keeps the rules, no effect comes twice, and
// no cold executor is pushed over.
func FuzzRules(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := randomScenario(rand.New(rand.NewPCG(seed, 9)))
		_, breaches, r, _ := runScenario(t, s, seed, "module")
		if len(breaches) > 0 || r.DuplicateEffects > 0 || r.Overloads > 0 {
			t.Fatalf("seed %d: %d breaches, %d effects twice, %d fallen: %+v, faults %+v", seed, len(breaches), r.DuplicateEffects, r.Overloads, breaches[:min(len(breaches), 3)], s.Faults)
		}
	})
}

// TestBaselinesAreWorse: on a day of troubles the module serves more than blind choice, and nothing more than
// what sees all on a quiet one.
func TestBaselinesAreWorse(t *testing.T) {
	s := readExample(t, "troubles.toml")
	s.Length = Duration(25e9)
	module, _, _, _ := runScenario(t, s, 3, "module")
	blind, _, _, _ := runScenario(t, s, 3, "random")
	if module.All.Share() < blind.All.Share()+0.05 {
		t.Errorf("module %.3f, random %.3f in time", module.All.Share(), blind.All.Share())
	}
	t.Logf("module %.3f, random %.3f", module.All.Share(), blind.All.Share())
}

// TestBadScenarios: what makes no sense is refused before anything runs, and the place is named.
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
		{`share = 0.6`, `share = 1.6`, "scheme 1: share: 1.6 is no share"},
		{`effect = "referenced"`, `effect = "twice"`, `scheme 2: effect: "twice"`},
		{`sla = "600ms"`, `sla = "600"`, "line"},
		{`cancel = "queued"`, `cancel = "some"`, "kind 1: cancel: "},
		{`[[scheme]]`, "[[fault]]\nkind = \"melt\"\nat = \"3s\"\nfor = \"1s\"\n[[scheme]]", `fault 1: kind: "melt"`},
		{`[[scheme]]`, "[[fault]]\nkind = \"cut\"\nat = \"3s\"\nfor = \"1s\"\nzone = \"north\"\n[[scheme]]", `fault 1: zone: "north"`},
		{`[[scheme]]`, "[[fault]]\nkind = \"slow\"\nat = \"3s\"\nfor = \"1s\"\n[[scheme]]", `fault 1: strength: missing`},
		{`[[scheme]]`, "[[fault]]\nkind = \"hang\"\nat = \"300s\"\nfor = \"1s\"\n[[scheme]]", `fault 1: at: not within the length`},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := Read([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.to, err, c.want)
		}
	}
	if _, err := PolicyOf("best"); err == nil || !strings.Contains(err.Error(), "two-choices") {
		t.Error(err)
	}
}

// TestExamples: every scenario that is kept can be read, and is kept to the rules by the module.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../example/scenarios/*.toml")
	if len(files) < 2 {
		t.Fatal(files)
	}
	for _, file := range files {
		s := readExample(t, filepath.Base(file))
		s.Length, s.Clients.Rate = min(s.Length, Duration(12e9)), min(s.Clients.Rate, 400)
		s.Faults = append([]Fault{}, s.Faults...)
		for i := range s.Faults {
			s.Faults[i].At = min(s.Faults[i].At, Duration(10e9))
		}
		if _, breaches, r, _ := runScenario(t, s, 1, "module"); len(breaches) > 0 || r.DuplicateEffects > 0 {
			t.Errorf("%s: %d effects twice, %+v", file, r.DuplicateEffects, breaches[:min(len(breaches), 3)])
		}
	}
}
