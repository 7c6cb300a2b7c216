// SPDX-License-Identifier: Apache-2.0

// Package config is the one place where configuration is read, checked and given defaults. Bench and node share
// the decoder of the settings; the node's file stands around them.
package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Lookup looks up a setting by its dotted name, such as Limits.IdleClose or Schemes.0.SlaTime.
type Lookup func(name string) (string, bool)

// reader reads settings. The first fault is kept and names its key; later reads give what stands for absent.
type reader struct {
	find    Lookup
	section string // before each key in errors, such as "settings."
	err     error
}

func (r *reader) fail(key, value, want string) {
	if r.err == nil {
		r.err = keyErrorf(r.section+key, "%q is not %s", value, want)
	}
}

func (r *reader) word(key string) string { v, _ := r.find(key); return v }

func (r *reader) flag(key string) bool {
	v := r.word(key)
	if v != "" && v != "true" && v != "1" && v != "false" && v != "0" {
		r.fail(key, v, "true or false")
	}
	return v == "true" || v == "1"
}

// choice reads a word out of a few; the first stands for absent.
func (r *reader) choice(key string, words ...string) string {
	v := r.word(key)
	if v != "" && !slices.Contains(words, v) {
		r.fail(key, v, "one of "+strings.Join(words, ", "))
	}
	return cmp.Or(v, words[0])
}

func (r *reader) real(key string, absent float64) float64 { return r.number(key, r.word(key), absent) }

func (r *reader) number(key, v string, absent float64) float64 {
	if v == "" {
		return absent
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		r.fail(key, v, "a number")
		return absent
	}
	return x
}

// whole reads a count or a time; where none below zero makes sense, least is 0.
func (r *reader) whole(key string, absent, least int64) int64 {
	v := r.word(key)
	if v == "" {
		return absent
	}
	x, err := strconv.ParseInt(v, 10, 64)
	if err != nil || x < least {
		r.fail(key, v, fmt.Sprintf("a whole number of at least %d", least))
		return absent
	}
	return x
}

func (r *reader) list(key string) []string {
	if v := r.word(key); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// DecodeLoadReportKeys names the values of load reports that tell free slots and, where jobs count memory, free memory.
func DecodeLoadReportKeys(find Lookup) (v protocol.LoadReportKeys) {
	fields, _ := find("Report.Fields")
	for _, name := range strings.Split(cmp.Or(fields, "x0,x1"), ",") {
		meaning, _ := find("Extra.Report" + strings.ToUpper(name))
		switch strings.ReplaceAll(meaning, "_", " ") {
		case "free slots":
			v.FreeSlots = name
		case "free memory":
			if _, counted := find("Extra.MemoryUnit"); counted {
				v.FreeMemory = name
			}
		}
	}
	return v
}

// DecodeSettings reads the settings that the module uses; what it does not know is skipped, what is absent gets the value
// that permits least.
func DecodeSettings(find Lookup) (*dispatch.Settings, error) {
	r := &reader{find: find, section: "settings."}
	whole := max(r.real("ScoreParts.Whole", 1), 0.01)
	t := &dispatch.Settings{
		Zone: int(r.whole("MyZone", 0, 0)), Nodes: int(r.whole("ReplicasOfMe", 1, 0)), NodeIndex: int(r.whole("Me", 0, 0)), Tick: r.whole("Tick", 1e6, 0),
		WeightByWork: r.word("BillingValueBasis") == "work", OverQuotaWeight: r.real("OverageBillingValue", 1),
		PollForChanges: r.choice("Discovery", "automatic", "subscribe") == "subscribe",
		LiveCapacity:   r.choice("Weights", "silent", "nominal", "rough", "live") == "live",
		LoadReports:    r.choice("Report.Source", "silent", "piggyback", "pull") == "piggyback",
		PeerMessages:   r.flag("Limits.MayTell"),
		CapacityProbes: r.flag("Limits.MayProbe") && r.word("Report.Source") == "pull" && DecodeLoadReportKeys(find).FreeSlots != "",
		StartNotices:   r.flag("Extra.TellsStart"), ProgressInterval: r.whole("Extra.Progress", 0, 0),
		MaxAttempts: int(r.whole("Limits.MostPostings", 1, 0)),
		AllowCancel: r.flag("Limits.MayCancel"), AllowHedging: r.flag("Limits.MayDuplicate"),
		MaxRetryAfter: r.whole("Limits.MaxRetryAfter", 0, 0), CrossZoneCost: r.real("Prices.CrossZone", 0), FetchCost: r.real("Prices.Origin", 0),
		IdleTimeout:      r.whole("Limits.IdleClose", 0, 0),
		SlowStartShare:   r.real("Rules.ColdShare", 0),
		SlowStart:        r.whole("Rules.Cold", 0, 0),
		OverloadWindow:   r.whole("Rules.Fall", 0, 0),
		WorstClassWeight: r.real("ScoreParts.WorstClass", 0) / whole,
		MissedObjectiveCost: r.real("ScoreParts.Punctual", 0) / (4 * max(r.real("ScoreParts.MissAllowed", 1), 0.001)) /
			whole,
		OverloadFactor: r.real("Rules.FallMultiple", 1), UnpolledEventAge: r.whole("Rules.AskWithin", 1e9, 0),
		DrainGrace: r.whole("Rules.DrainGrace", 0, 0), DeadlineMargin: r.whole("Rules.LeftMargin", 0, 0),
		StartTimeError: r.whole("Rules.BootStampError", 0, 0),
	}
	t.MaxPollInterval = t.UnpolledEventAge / 4 * 3
	if !r.flag("Limits.RetryAfter") {
		t.MaxRetryAfter = 0
	}
	kinds, stretches := r.list("Extra.ClassKind"), r.list("Extra.ClassStretch")
	listed := func(key string, values []string, i int, absent float64) float64 {
		if i >= len(values) {
			return absent
		}
		return r.number(key, values[i], absent)
	}
	if _, found := find("Schemes.count"); !found {
		r.fail("Schemes", "", "a list")
	}
	count := int(r.whole("Schemes.count", 0, 0))
	for i := 0; i < count && r.err == nil; i++ {
		at := "Schemes." + strconv.Itoa(i) + "."
		s := &dispatch.Class{Index: i, LatencyObjective: r.whole(at+"SlaTime", -1, 0), Weight: r.real(at+"BillingValue", 1),
			MaxDeadline: r.whole(at+"Expiry", 0, 1),
			LateShare:   r.real(at+"LateBillingValue", 0), DedupWindow: r.whole(at+"MemorySpan", 0, 0),
			MachineType:      int(listed("Extra.ClassKind", kinds, i, -1)),
			ObjectivePerWork: r.real(at+"AimStretch", listed("Extra.ClassStretch", stretches, i, 0))}
		if s.LatencyObjective < 0 {
			r.fail(at+"SlaTime", r.word(at+"SlaTime"), "a time")
		}
		switch v := r.word(at + "Idempotency"); v {
		case "idempotent":
		case "deduplicated":
			s.Idempotency = dispatch.IdempotentInGroup
		case "at_most_once":
			s.Idempotency = dispatch.NonIdempotent
		default:
			r.fail(at+"Idempotency", v, "a known kind of scheme")
		}
		switch r.word(at + "Group") {
		case "zone":
			s.DedupScope = dispatch.DedupZone
		case "cell":
			s.DedupScope = dispatch.DedupCell
		}
		t.Classes = append(t.Classes, s)
	}
	tenants := int(r.whole("Tenants.count", 0, 0))
	for i := 0; i < tenants && r.err == nil; i++ {
		at := "Tenants." + strconv.Itoa(i) + "."
		t.Tenants = append(t.Tenants, &dispatch.Tenant{Tag: r.word(at + "Name"), Quota: r.real(at+"Share", 0)})
	}
	return t, r.err
}
