// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func testRules() Rules {
	return Rules{Slack: 10, DrainGrace: 100, OverloadWindow: 1e9, OverloadFactor: 2, SlowStart: 10e9,
		SlowStartShare: 0.25,
		Classes: map[string]Class{"free": {Idempotency: "repeatable"}, "once": {Idempotency: "once-only"},
			"cell": {Idempotency: "referenced", DedupScope: "cell",
				DedupWindow: 500}, "zone": {Idempotency: "referenced", DedupScope: "zone", DedupWindow: 500},
			"all": {Idempotency: "referenced", DedupScope: "all", DedupWindow: 500}},
		Servers: map[string]ServerPlace{"a": {"z1", "c1", 4}, "b": {"z1", "c1", 4}, "c": {"z1", "c2", 4},
			"d": {"z2", "c3", 4}}}
}

// parse decodes events separated by semicolons, each with its time, its kind and the fields of that kind.
func parse(t *testing.T, text string) (events []Event) {
	t.Helper()
	for part := range strings.SplitSeq(text, ";") {
		f := strings.Fields(part)
		e := Event{Kind: EventKind(f[1]), Node: "n1"}
		fmt.Sscan(f[0], &e.At)
		switch e.Kind {
		case RequestAccepted:
			e.Request, e.Class, e.Deadline = f[2], f[3], 1000
		case AttemptSent:
			e.Request, e.Server = f[2], f[3]
			fmt.Sscan(f[4], &e.Attempt)
		case AttemptEnded:
			e.Request, e.Result = f[2], f[4]
			fmt.Sscan(f[3], &e.Attempt)
		case RequestAnswered:
			e.Request, e.Result = f[2], f[3]
		case ClientLeft:
			e.Request = f[2]
		case EndpointNotified:
			e.Server, e.Result = f[2], f[3]
		}
		events = append(events, e)
	}
	return events
}

// TestViolationsAreReported checks that logs that violate a rule are reported with the event that proves it,
// and that lawful logs are not reported.
func TestViolationsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		log         string
		rule, event int // 0: no violation
	}{
		"served":                    {"0 taken x once; 1 posted x a 0; 9 ended x 0 settled; 9 answered x settled", 0, 0},
		"answered within the slack": {"0 taken x once; 1010 answered x declined", 0, 0},
		"client left":               {"0 taken x once; 5 left x; 2000 told a up", 0, 0},
		"node killed":               {"0 taken x once; 5 killed; 2000 told a up", 0, 0},
		"two answers":               {"0 taken x free; 3 answered x declined; 4 answered x declined", 1, 2},
		"answer after client left":  {"0 taken x free; 3 left x; 4 answered x declined", 1, 2},
		"no answer at deadline":     {"0 taken x free; 500 told a up; 1011 told a up", 1, 2},
		"no answer at log end":      {"0 taken x free", 1, 1},
		"attempt after the answer":  {"0 taken x free; 3 answered x declined; 4 posted x a 0", 1, 2},
		"retry after rejection": {
			"0 taken x once; 1 posted x a 0; 2 ended x 0 full; 3 posted x b 1; 9 ended x 1 settled; 9 answered x settled",
			0, 0},
		"retry after connection loss": {
			"0 taken x once; 1 posted x a 0; 2 ended x 0 broken; 3 posted x b 1; 9 answered x reversed", 2, 3},
		"retry after time-out": {
			"0 taken x once; 1 posted x a 0; 2 ended x 0 late; 3 posted x a 1; 9 answered x reversed", 2, 3},
		"shed after it may have run": {
			"0 taken x once; 1 posted x a 0; 2 ended x 0 broken; 3 answered x declined", 2, 3},
		"shed with attempt in flight": {"0 taken x cell; 1 posted x a 0; 3 answered x declined", 2, 2},
		"shed, never ran": {
			"0 taken x once; 1 posted x a 0; 2 ended x 0 undialed; 3 answered x declined", 0, 0},
		"shed, all servers deduplicate": {
			"0 taken x all; 1 posted x a 0; 2 ended x 0 broken; 3 answered x declined", 0, 0},
		"retry in the cell": {
			"0 taken x cell; 1 posted x a 0; 2 ended x 0 broken; 3 posted x b 1; 9 answered x reversed", 0, 0},
		"retry in another cell": {
			"0 taken x cell; 1 posted x a 0; 2 ended x 0 broken; 3 posted x c 1; 9 answered x reversed", 2, 3},
		"retry in the zone": {
			"0 taken x zone; 1 posted x a 0; 2 ended x 0 broken; 3 posted x c 1; 9 answered x reversed", 0, 0},
		"retry in another zone": {
			"0 taken x zone; 1 posted x a 0; 2 ended x 0 broken; 3 posted x d 1; 9 answered x reversed", 2, 3},
		"retry after dedup window": {
			"0 taken x all; 1 posted x a 0; 2 ended x 0 broken; 502 posted x b 1; 510 answered x reversed", 2, 3},
		"two attempts in flight": {
			"0 taken x free; 1 posted x a 0; 2 posted x b 1; 9 answered x settled", 2, 2},
		"drained within the grace": {
			"0 told a draining; 1 taken x free; 100 posted x a 0; 200 answered x settled", 0, 0},
		"drained beyond the grace": {
			"0 told a draining; 1 taken x free; 101 posted x a 0; 200 answered x settled", 3, 2},
		"draining, then gone": {
			"0 told a draining; 90 told a gone; 91 taken x free; 101 posted x a 0; 200 answered x settled", 3, 3},
		"drained, then up again": {
			"0 told a draining; 90 told a up; 91 taken x free; 300 posted x a 0; 400 answered x settled", 0, 0},
	} {
		checker := New(testRules())
		for _, e := range parse(t, c.log) {
			if err := checker.Add(e); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		violations := checker.Violations(3000)
		if c.rule == 0 && len(violations) > 0 || c.rule > 0 && (len(violations) != 1 ||
			violations[0].Rule != c.rule || violations[0].Event != c.event) {
			t.Errorf("%s: got violations %+v, want rule %d at event %d (0: none)", name, violations, c.rule,
				c.event)
		}
	}
}

// flood sends work in slots times seconds to a server that has just started, from many nodes with one request
// each.
func flood(nodes int, each float64) []Violation {
	checker := New(testRules())
	checker.Add(Event{Kind: ServerStarted, Server: "a"})
	for i := range nodes {
		at, id := int64(i)*1e6, fmt.Sprint(i)
		checker.Add(Event{At: at, Kind: RequestAccepted, Node: id, Request: id, Class: "free",
			Deadline: 1e12})
		checker.Add(Event{At: at, Kind: AttemptSent, Request: id, Server: "a", Work: each})
		checker.Add(Event{At: at, Kind: AttemptEnded, Request: id, Result: "full"})
		checker.Add(Event{At: at, Kind: RequestAnswered, Request: id, Result: "declined"})
	}
	return checker.Violations(2e9)
}

// TestSlowStartIsCountedOverNodes checks that the work for a server in slow start is summed over all nodes,
// rejected attempts included.
func TestSlowStartIsCountedOverNodes(t *testing.T) {
	// The limit is twice a quarter of four slots over 1 s: 2 slots times s of work, and 2.3 at 0.2 s.
	if b := flood(200, 0.01); len(b) > 0 {
		t.Errorf("2 slots times s of work: got violation %+v, want none", b[0])
	}
	if b := flood(200, 0.03); len(b) == 0 || b[0].Rule != 4 {
		t.Errorf("6 slots times s of work: got violations %+v, want rule 4", b)
	}
}

// TestInvalidLogIsNoViolation checks that an invalid log is an error and not a violation.
func TestInvalidLogIsNoViolation(t *testing.T) {
	for _, log := range []string{"5 told a up; 4 told a up", "0 posted x a 0", "0 taken x odd",
		"0 taken x free; 1 taken x free",
		"0 taken x free; 1 posted x e 0", "0 taken x free; 1 posted x a 1", "0 taken x free; 1 ended x 0 full",
		"0 odd"} {
		checker, failed := New(testRules()), false
		for _, e := range parse(t, log) {
			failed = failed || checker.Add(e) != nil
		}
		if !failed || len(checker.violations) > 0 {
			t.Errorf("%s: got error %v and violations %+v, want an error and no violation", log, failed,
				checker.violations)
		}
	}
}

// FuzzLawful checks that random lawful logs have no violation, and that a second answer at their end is one.
func FuzzLawful(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 3))
		checker, at := New(testRules()), int64(0)
		add := func(e Event) {
			at += r.Int64N(5)
			e.At = at
			if err := checker.Add(e); err != nil {
				t.Fatal(err)
			}
		}
		classes, servers := []string{"free", "once", "cell", "zone", "all"}, []string{"a", "b", "c", "d"}
		var last Event
		for i := range 200 {
			id, class := fmt.Sprint(i), classes[r.IntN(len(classes))]
			add(Event{Kind: RequestAccepted, Node: "n", Request: id, Class: class, Deadline: at + 1000})
			result := "declined"
			for n := range r.IntN(4) {
				add(Event{Kind: AttemptSent, Request: id, Server: servers[r.IntN(4)], Attempt: n})
				if r.IntN(2) == 0 {
					add(Event{Kind: AttemptEnded, Request: id, Attempt: n, Result: "settled"})
					result = "settled"
					break
				}
				add(Event{Kind: AttemptEnded, Request: id, Attempt: n, Result: "full"})
			}
			last = Event{Kind: RequestAnswered, Request: id, Result: result}
			add(last)
		}
		if b := checker.Violations(at + 5000); len(b) > 0 {
			t.Fatalf("lawful log: got violation %+v, want none", b[0])
		}
		at += 5000
		if add(last); len(checker.Violations(at)) != 1 {
			t.Fatal("second answer: got no single violation, want one")
		}
	})
}

// TestSharedBudgets checks the sum of the quotas in force against the total of 10 units.
func TestSharedBudgets(t *testing.T) {
	quotaEvent := func(at int64, node string, units, until int64) Event {
		return Event{At: at, Kind: QuotaHeld, Node: node, Budget: "b", Units: units, Until: until}
	}
	for name, c := range map[string]struct {
		events     []Event
		violations int
	}{
		"within":             {[]Event{quotaEvent(1, "a", 4, 10), quotaEvent(2, "b", 6, 10)}, 0},
		"over":               {[]Event{quotaEvent(1, "a", 4, 10), quotaEvent(2, "b", 7, 10)}, 1},
		"after expiry":       {[]Event{quotaEvent(1, "a", 4, 10), quotaEvent(10, "b", 7, 20)}, 0},
		"just before expiry": {[]Event{quotaEvent(1, "a", 4, 10), quotaEvent(9, "b", 7, 20)}, 1},
		"quota replaced": {[]Event{quotaEvent(1, "a", 10, 10), quotaEvent(2, "a", 3, 12),
			quotaEvent(3, "b", 7, 12)}, 0},
		"quota returned": {[]Event{quotaEvent(1, "a", 10, 10), quotaEvent(2, "a", 0, 10),
			quotaEvent(2, "b", 10, 10)}, 0},
		"without expiry": {[]Event{quotaEvent(1, "a", 4, 0), quotaEvent(1000, "b", 7, 2000)}, 1},
		"node killed": {[]Event{quotaEvent(1, "a", 4, 0), {At: 2, Kind: NodeKilled, Node: "a"},
			quotaEvent(3, "b", 10, 9)}, 0},
		"reported once while above": {[]Event{quotaEvent(1, "a", 11, 90), quotaEvent(2, "b", 1, 90),
			quotaEvent(3, "b", 2, 90)}, 1},
		"reported again later": {[]Event{quotaEvent(1, "a", 11, 5), quotaEvent(6, "b", 1, 90), quotaEvent(7, "a", 10, 90)}, 2},
	} {
		checker := New(Rules{Totals: map[string]int64{"b": 10}})
		for _, e := range c.events {
			if err := checker.Add(e); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if got := checker.Violations(2000); len(got) != c.violations || len(got) > 0 && got[0].Rule != 5 {
			t.Errorf("%s: got violations %v, want %d of rule 5", name, got, c.violations)
		}
	}
	if err := New(Rules{}).Add(quotaEvent(1, "a", 1, 2)); err == nil {
		t.Error("quota of an unknown budget: got no error, want one")
	}
}
