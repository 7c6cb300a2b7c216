// SPDX-License-Identifier: Apache-2.0

package invariants

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// testRules has a class of each idempotency and scope, and servers in two zones and three cells.
func testRules() Rules {
	return Rules{
		Slack:          10,
		DrainGrace:     100,
		OverloadWindow: 1e9,
		OverloadFactor: 2,
		SlowStart:      10e9,
		SlowStartShare: 0.25,
		Classes: map[string]Class{
			"free": {Idempotency: "repeatable"},
			"once": {Idempotency: "once-only"},
			"cell": {Idempotency: "referenced", DedupScope: "cell", DedupWindow: 500},
			"zone": {Idempotency: "referenced", DedupScope: "zone", DedupWindow: 500},
			"all":  {Idempotency: "referenced", DedupScope: "all", DedupWindow: 500},
		},
		Servers: map[string]ServerPlace{
			"a": {Zone: "z1", Cell: "c1", Slots: 4},
			"b": {Zone: "z1", Cell: "c1", Slots: 4},
			"c": {Zone: "z1", Cell: "c2", Slots: 4},
			"d": {Zone: "z2", Cell: "c3", Slots: 4},
		},
	}
}

// parse makes events of text: for each its time, kind and what belongs to that, apart by semicolons.
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

// TestEachRuleIsCaught: each violation is found, with the event that proves it, and nothing else is. A checker that no
// wrong policy could fail would prove nothing.
func TestEachRuleIsCaught(t *testing.T) {
	for name, c := range map[string]struct {
		log         string
		rule, event int // of the only violation; rule 0: there is none
	}{
		"served":                      {"0 taken x once; 1 posted x a 0; 9 ended x 0 settled; 9 answered x settled", 0, 0},
		"just in time":                {"0 taken x once; 1010 answered x declined", 0, 0},
		"client left":                 {"0 taken x once; 5 left x; 2000 told a up", 0, 0},
		"node killed":                 {"0 taken x once; 5 killed; 2000 told a up", 0, 0},
		"answers twice":               {"0 taken x free; 3 answered x declined; 4 answered x declined", 1, 2},
		"answers one who left":        {"0 taken x free; 3 left x; 4 answered x declined", 1, 2},
		"forgets at expiry":           {"0 taken x free; 500 told a up; 1011 told a up", 1, 2},
		"forgets to the end":          {"0 taken x free", 1, 1},
		"sends after the answer":      {"0 taken x free; 3 answered x declined; 4 posted x a 0", 1, 2},
		"repeats after a refusal":     {"0 taken x once; 1 posted x a 0; 2 ended x 0 full; 3 posted x b 1; 9 ended x 1 settled; 9 answered x settled", 0, 0},
		"repeats after a break":       {"0 taken x once; 1 posted x a 0; 2 ended x 0 broken; 3 posted x b 1; 9 answered x reversed", 2, 3},
		"repeats after a time-out":    {"0 taken x once; 1 posted x a 0; 2 ended x 0 late; 3 posted x a 1; 9 answered x reversed", 2, 3},
		"declines what may have run":  {"0 taken x once; 1 posted x a 0; 2 ended x 0 broken; 3 answered x declined", 2, 3},
		"declines what is out":        {"0 taken x cell; 1 posted x a 0; 3 answered x declined", 2, 2},
		"declines what never ran":     {"0 taken x once; 1 posted x a 0; 2 ended x 0 undialed; 3 answered x declined", 0, 0},
		"declines where all remember": {"0 taken x all; 1 posted x a 0; 2 ended x 0 broken; 3 answered x declined", 0, 0},
		"stays in the cell":           {"0 taken x cell; 1 posted x a 0; 2 ended x 0 broken; 3 posted x b 1; 9 answered x reversed", 0, 0},
		"leaves the cell":             {"0 taken x cell; 1 posted x a 0; 2 ended x 0 broken; 3 posted x c 1; 9 answered x reversed", 2, 3},
		"stays in the zone":           {"0 taken x zone; 1 posted x a 0; 2 ended x 0 broken; 3 posted x c 1; 9 answered x reversed", 0, 0},
		"leaves the zone":             {"0 taken x zone; 1 posted x a 0; 2 ended x 0 broken; 3 posted x d 1; 9 answered x reversed", 2, 3},
		"after it is forgotten":       {"0 taken x all; 1 posted x a 0; 2 ended x 0 broken; 502 posted x b 1; 510 answered x reversed", 2, 3},
		"two out at once":             {"0 taken x free; 1 posted x a 0; 2 posted x b 1; 9 answered x settled", 2, 2},
		"drained within the grace":    {"0 told a draining; 1 taken x free; 100 posted x a 0; 200 answered x settled", 0, 0},
		"drained beyond it":           {"0 told a draining; 1 taken x free; 101 posted x a 0; 200 answered x settled", 3, 2},
		"gone, told twice":            {"0 told a draining; 90 told a gone; 91 taken x free; 101 posted x a 0; 200 answered x settled", 3, 3},
		"drained and back":            {"0 told a draining; 90 told a up; 91 taken x free; 300 posted x a 0; 400 answered x settled", 0, 0},
	} {
		checker := New(testRules())
		for _, e := range parse(t, c.log) {
			if err := checker.Add(e); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		violations := checker.End(3000)
		isExpected := len(violations) == 0
		if c.rule > 0 {
			isExpected = len(violations) == 1 && violations[0].Rule == c.rule && violations[0].Event == c.event
		}
		if !isExpected {
			t.Errorf("%s: %+v, want rule %d at event %d", name, violations, c.rule, c.event)
		}
	}
}

// flood sends work to a server that has just started, from many nodes, a little each.
func flood(nodes int, each float64) []Violation {
	checker := New(testRules())
	checker.Add(Event{Kind: ServerStarted, Server: "a"})
	for i := range nodes {
		at, id := int64(i)*1e6, fmt.Sprint(i)
		checker.Add(Event{At: at, Kind: RequestAccepted, Node: id, Request: id, Class: "free", Deadline: 1e12})
		checker.Add(Event{At: at, Kind: AttemptSent, Request: id, Server: "a", Work: each})
		checker.Add(Event{At: at, Kind: AttemptEnded, Request: id, Result: "full"})
		checker.Add(Event{At: at, Kind: RequestAnswered, Request: id, Result: "declined"})
	}
	return checker.End(2e9)
}

// TestSlowStartIsCountedOverNodes: no node sends much, and all of it is rejected; together it is too much all the same.
func TestSlowStartIsCountedOverNodes(t *testing.T) {
	// At the start a quarter of four slots, twice that for a second: 2 s of work, 2.3 at 0.2 s.
	if b := flood(200, 0.01); len(b) > 0 {
		t.Errorf("%+v", b[0])
	}
	if b := flood(200, 0.03); len(b) == 0 || b[0].Rule != 4 {
		t.Errorf("%+v", b)
	}
}

// TestInvalidLog: a log that makes no sense is an error, and no violation.
func TestInvalidLog(t *testing.T) {
	for _, log := range []string{
		"5 told a up; 4 told a up",
		"0 posted x a 0",
		"0 taken x odd",
		"0 taken x free; 1 taken x free",
		"0 taken x free; 1 posted x e 0",
		"0 taken x free; 1 posted x a 1",
		"0 taken x free; 1 ended x 0 full",
		"0 odd",
	} {
		checker, failed := New(testRules()), false
		for _, e := range parse(t, log) {
			failed = failed || checker.Add(e) != nil
		}
		if !failed || len(checker.violations) > 0 {
			t.Errorf("%s: %v %+v", log, failed, checker.violations)
		}
	}
}

// FuzzLawful: random histories that keep the rules have no violation; with one wrong event more they have one.
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
		if b := checker.End(at + 5000); len(b) > 0 {
			t.Fatalf("a violation is reported: %+v", b[0])
		}
		at += 5000
		add(last)
		if len(checker.End(at)) != 1 {
			t.Fatal("a second answer is not seen")
		}
	})
}

// TestTotals: quotas in force never sum to more than the total.
func TestTotals(t *testing.T) {
	held := func(at int64, node string, units, until int64) Event {
		return Event{At: at, Kind: QuotaHeld, Node: node, Budget: "b", Units: units, Until: until}
	}
	for name, c := range map[string]struct {
		events     []Event
		violations int
	}{
		"within":                 {[]Event{held(1, "a", 4, 10), held(2, "b", 6, 10)}, 0},
		"over":                   {[]Event{held(1, "a", 4, 10), held(2, "b", 7, 10)}, 1},
		"one that ended":         {[]Event{held(1, "a", 4, 10), held(10, "b", 7, 20)}, 0},
		"one moment before":      {[]Event{held(1, "a", 4, 10), held(9, "b", 7, 20)}, 1},
		"in place of before":     {[]Event{held(1, "a", 10, 10), held(2, "a", 3, 12), held(3, "b", 7, 12)}, 0},
		"given back":             {[]Event{held(1, "a", 10, 10), held(2, "a", 0, 10), held(2, "b", 10, 10)}, 0},
		"for good":               {[]Event{held(1, "a", 4, 0), held(1000, "b", 7, 2000)}, 1},
		"dead":                   {[]Event{held(1, "a", 4, 0), {At: 2, Kind: NodeKilled, Node: "a"}, held(3, "b", 10, 9)}, 0},
		"told once for as long":  {[]Event{held(1, "a", 11, 90), held(2, "b", 1, 90), held(3, "b", 2, 90)}, 1},
		"and again after a time": {[]Event{held(1, "a", 11, 5), held(6, "b", 1, 90), held(7, "a", 10, 90)}, 2},
	} {
		checker := New(Rules{Totals: map[string]int64{"b": 10}})
		for _, e := range c.events {
			if err := checker.Add(e); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if got := checker.End(2000); len(got) != c.violations || len(got) > 0 && got[0].Rule != 5 {
			t.Errorf("%s: %v", name, got)
		}
	}
	if err := New(Rules{}).Add(held(1, "a", 1, 2)); err == nil {
		t.Error("a quota of an unknown budget is no error")
	}
}
