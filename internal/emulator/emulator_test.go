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

func example(t testing.TB, name string) *Scenario {
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

// play runs a scenario and gives its figures, its breaches and its log.
func play(t testing.TB, s *Scenario, seed uint64, policy string) (*invariants.Summary, []invariants.Violation, Report, string) {
	t.Helper()
	p, err := PolicyOf(policy)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	encoder := json.NewEncoder(&log)
	j, c, last := invariants.New(s.Held()), invariants.NewCollector(), int64(0)
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

// record gives the rules that a policy broke.
func record(t testing.TB, s *Scenario, policy Policy) (rules []int) {
	t.Helper()
	j, last := invariants.New(s.Held()), int64(0)
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

// queueing is one node before c servers that share one queue: what theory has an answer for.
func queueing(servers int, load float64, shape string) *Scenario {
	s := &Scenario{Length: Span(400e9), Warm: Span(20e9),
		Fleet: Fleet{Nodes: 1, Executors: 1, Zones: []string{"a"}, Tick: Span(1)},
		Kinds: []Kind{{Share: 1, Slots: servers, Cores: float64(servers), Speed: 1, Queue: 1e6, Connections: 1e6, Cancel: "none"}},
		Net:   Net{Dial: Span(1e9), Idle: Span(1e12)},
		Rules: Rules{Postings: 1, Slack: Span(2e7)},
		Crowd: Crowd{Rate: load * float64(servers) * 10, Backoff: 1},
		Scheme: []Scheme{{Name: "s", Share: 1, Run: Span(1e8), Shape: shape, Slots: 1, Sla: Span(1000e9), Expiry: Span(2000e9), Value: 1,
			Effect: "repeatable"}}}
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
			f, breaches, r, _ := play(t, queueing(c.servers, c.load, c.shape), seed, "random")
			if len(breaches) > 0 {
				t.Fatal(breaches[0])
			}
			for _, w := range f.Latencies {
				mean += float64(w) / 1e8
			}
			n += len(f.Latencies)
			busy += r.Work / 400 / 4
			if math.Abs(r.Work-r.Offered) > 1e-3*r.Offered {
				t.Errorf("work is not conserved: %v done of %v", r.Work, r.Offered)
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
	s := example(t, "troubles.toml")
	s.Length = Span(10e9)
	_, _, _, one := play(t, s, 7, "module")
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	_, _, _, again := play(t, s, 7, "module")
	_, _, _, other := play(t, s, 8, "module")
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

// random makes a world with some of everything that goes wrong.
func random(r *rand.Rand) *Scenario {
	s := &Scenario{Length: Span(9e9), Warm: Span(1e9),
		Fleet:  Fleet{Nodes: 2 + r.IntN(6), Executors: 3 + r.IntN(10), Zones: []string{"a", "b"}, Tick: Span(2e6), Decision: Span(r.IntN(50000))},
		Kinds:  []Kind{{Share: 1, Slots: 1 + r.IntN(6), Cores: 3, Speed: 1, Spread: 0.3, Queue: 5 + r.IntN(30), Connections: 40, Handshake: Span(1e6), Cancel: []string{"none", "queued", "all"}[r.IntN(3)]}},
		Net:    Net{Same: Span(2e5), Cross: Span(3e6), Jitter: 0.3, Dial: Span(2e8), Idle: Span(2e9)},
		Lists:  Lists{Notice: Span(1e9), Spread: Span(3e8), Loss: 0.1},
		Rules:  Rules{Slack: Span(2e7), Grace: Span(1e9), Cold: Span(6e9), ColdShare: 0.3, Fall: Span(2e9), FallMultiple: 3, Postings: 4, Doubles: r.IntN(2) == 0, Started: true, Progress: Span(5e8), Return: Span(1e9)},
		Crowd:  Crowd{Rate: 40 + 100*r.Float64(), Retries: r.IntN(4), Backoff: Span(5e7), Follow: 0.5, Keys: r.IntN(2) * 30, Hints: r.IntN(2) == 0, Skew: r.Float64() / 2},
		Tenant: []Tenant{{"x", 0.7}, {"y", 0.3}},
		Scheme: []Scheme{
			{Name: "s", Share: 0.5, Run: Span(1e8), Shape: "exponential", Slots: 1, Sla: Span(3e8), Stretch: 2, Expiry: Span(3e9), Value: 1, Effect: "repeatable"},
			{Name: "r", Share: 0.3, Run: Span(2e8), Shape: "exponential", Slots: 1, Sla: Span(4e8), Stretch: 2, Expiry: Span(4e9), Value: 2, Late: 0.5, Effect: "referenced", Memory: Span(5e9)},
			{Name: "o", Share: 0.2, Run: Span(2e8), Shape: "exponential", Slots: 1, Sla: Span(6e8), Stretch: 2, Expiry: Span(6e9), Value: 5, Late: 0.5, Effect: "once-only"}}}
	for range 2 + r.IntN(4) {
		f := Fault{Kind: faultKinds[r.IntN(len(faultKinds))], At: Span(1e9 + r.Int64N(5e9)), For: Span(5e8 + r.Int64N(4e9)), Part: 0.1 + 0.6*r.Float64(), Strength: 2 + 3*r.Float64(), Again: Span(1e9)}
		if f.Kind == "errors" {
			f.Strength = r.Float64()
		}
		if f.Kind == "loss" {
			f.Part /= 5
		}
		s.Faults = append(s.Faults, f)
	}
	if r.IntN(2) == 0 {
		s.Subset = Subset{Size: 1 + r.IntN(s.Fleet.Executors), Cover: 1, Notice: Span(5e8)}
	}
	return s
}

// FuzzRules: whatever goes wrong, singly and together, the module keeps the rules, no effect comes twice, and no cold executor
// is pushed over.
func FuzzRules(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := random(rand.New(rand.NewPCG(seed, 9)))
		_, breaches, r, _ := play(t, s, seed, "module")
		if len(breaches) > 0 || r.Twice > 0 || r.Fallen > 0 {
			t.Fatalf("seed %d: %d breaches, %d effects twice, %d fallen: %+v, faults %+v", seed, len(breaches), r.Twice, r.Fallen, breaches[:min(len(breaches), 3)], s.Faults)
		}
	})
}

// TestBaselinesAreWorse: on a day of troubles the module serves more than blind choice, and nothing more than what sees all
// on a quiet one.
func TestBaselinesAreWorse(t *testing.T) {
	s := example(t, "troubles.toml")
	s.Length = Span(25e9)
	module, _, _, _ := play(t, s, 3, "module")
	blind, _, _, _ := play(t, s, 3, "random")
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
		s := example(t, filepath.Base(file))
		s.Length, s.Crowd.Rate = min(s.Length, Span(12e9)), min(s.Crowd.Rate, 400)
		s.Faults = append([]Fault{}, s.Faults...)
		for i := range s.Faults {
			s.Faults[i].At = min(s.Faults[i].At, Span(10e9))
		}
		if _, breaches, r, _ := play(t, s, 1, "module"); len(breaches) > 0 || r.Twice > 0 {
			t.Errorf("%s: %d effects twice, %+v", file, r.Twice, breaches[:min(len(breaches), 3)])
		}
	}
}
