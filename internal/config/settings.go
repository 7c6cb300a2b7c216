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

// valueReader reads settings. The first fault is kept and names its key; later reads give what stands for absent.
type valueReader struct {
	lookup    Lookup
	keyPrefix string // before each key in errors, such as "settings."
	err       error
}

func (r *valueReader) fail(key, value, want string) {
	if r.err == nil {
		r.err = keyErrorf(r.keyPrefix+key, "%q is not %s", value, want)
	}
}

func (r *valueReader) text(key string) string { v, _ := r.lookup(key); return v }

func (r *valueReader) boolean(key string) bool {
	v := r.text(key)
	if v != "" && v != "true" && v != "1" && v != "false" && v != "0" {
		r.fail(key, v, "true or false")
	}
	return v == "true" || v == "1"
}

// choice reads a word out of a few; the first stands for absent.
func (r *valueReader) choice(key string, words ...string) string {
	v := r.text(key)
	if v != "" && !slices.Contains(words, v) {
		r.fail(key, v, "one of "+strings.Join(words, ", "))
	}
	return cmp.Or(v, words[0])
}

func (r *valueReader) float(key string, absent float64) float64 {
	return r.parseFloat(key, r.text(key), absent)
}

func (r *valueReader) parseFloat(key, v string, absent float64) float64 {
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

// integer reads a count or a time; where none below zero makes sense, least is 0.
func (r *valueReader) integer(key string, absent, least int64) int64 {
	v := r.text(key)
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

func (r *valueReader) list(key string) []string {
	if v := r.text(key); v != "" {
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
	r := &valueReader{lookup: find, keyPrefix: "settings."}
	whole := max(r.float("ScoreParts.Whole", 1), 0.01)
	t := &dispatch.Settings{
		Zone: int(r.integer("MyZone", 0, 0)), Nodes: int(r.integer("ReplicasOfMe", 1, 0)), NodeIndex: int(r.integer("Me", 0, 0)), Tick: r.integer("Tick", 1e6, 0),
		WeightByWork: r.text("BillingValueBasis") == "work", OverQuotaWeight: r.float("OverageBillingValue", 1),
		PollForChanges: r.choice("Discovery", "automatic", "subscribe") == "subscribe",
		LiveCapacity:   r.choice("Weights", "silent", "nominal", "rough", "live") == "live",
		LoadReports:    r.choice("Report.Source", "silent", "piggyback", "pull") == "piggyback",
		PeerMessages:   r.boolean("Limits.MayTell"),
		CapacityProbes: r.boolean("Limits.MayProbe") && r.text("Report.Source") == "pull" && DecodeLoadReportKeys(find).FreeSlots != "",
		StartNotices:   r.boolean("Extra.TellsStart"), ProgressInterval: r.integer("Extra.Progress", 0, 0),
		MaxAttempts: int(r.integer("Limits.MostPostings", 1, 0)),
		AllowCancel: r.boolean("Limits.MayCancel"), AllowHedging: r.boolean("Limits.MayDuplicate"),
		MaxRetryAfter: r.integer("Limits.MaxRetryAfter", 0, 0), CrossZoneCost: r.float("Prices.CrossZone", 0), FetchCost: r.float("Prices.Origin", 0),
		IdleTimeout:      r.integer("Limits.IdleClose", 0, 0),
		SlowStartShare:   r.float("Rules.ColdShare", 0),
		SlowStart:        r.integer("Rules.Cold", 0, 0),
		OverloadWindow:   r.integer("Rules.Fall", 0, 0),
		WorstClassWeight: r.float("ScoreParts.WorstClass", 0) / whole,
		MissedObjectiveCost: r.float("ScoreParts.Punctual", 0) / (4 * max(r.float("ScoreParts.MissAllowed", 1), 0.001)) /
			whole,
		OverloadFactor: r.float("Rules.FallMultiple", 1), UnpolledEventAge: r.integer("Rules.AskWithin", 1e9, 0),
		DrainGrace: r.integer("Rules.DrainGrace", 0, 0), DeadlineMargin: r.integer("Rules.LeftMargin", 0, 0),
		StartTimeError: r.integer("Rules.BootStampError", 0, 0),
	}
	t.MaxPollInterval = t.UnpolledEventAge / 4 * 3
	if !r.boolean("Limits.RetryAfter") {
		t.MaxRetryAfter = 0
	}
	kinds, stretches := r.list("Extra.ClassKind"), r.list("Extra.ClassStretch")
	listed := func(key string, values []string, i int, absent float64) float64 {
		if i >= len(values) {
			return absent
		}
		return r.parseFloat(key, values[i], absent)
	}
	if _, found := find("Schemes.count"); !found {
		r.fail("Schemes", "", "a list")
	}
	count := int(r.integer("Schemes.count", 0, 0))
	for i := 0; i < count && r.err == nil; i++ {
		at := "Schemes." + strconv.Itoa(i) + "."
		s := &dispatch.Class{Index: i, LatencyObjective: r.integer(at+"SlaTime", -1, 0), Weight: r.float(at+"BillingValue", 1),
			MaxDeadline: r.integer(at+"Expiry", 0, 1),
			LateShare:   r.float(at+"LateBillingValue", 0), DedupWindow: r.integer(at+"MemorySpan", 0, 0),
			MachineType:      int(listed("Extra.ClassKind", kinds, i, -1)),
			ObjectivePerWork: r.float(at+"AimStretch", listed("Extra.ClassStretch", stretches, i, 0))}
		if s.LatencyObjective < 0 {
			r.fail(at+"SlaTime", r.text(at+"SlaTime"), "a time")
		}
		switch v := r.text(at + "Idempotency"); v {
		case "idempotent":
		case "deduplicated":
			s.Idempotency = dispatch.IdempotentInGroup
		case "at_most_once":
			s.Idempotency = dispatch.NonIdempotent
		default:
			r.fail(at+"Idempotency", v, "a known kind of scheme")
		}
		switch r.text(at + "Group") {
		case "zone":
			s.DedupScope = dispatch.DedupZone
		case "cell":
			s.DedupScope = dispatch.DedupCell
		}
		t.Classes = append(t.Classes, s)
	}
	tenants := int(r.integer("Tenants.count", 0, 0))
	for i := 0; i < tenants && r.err == nil; i++ {
		at := "Tenants." + strconv.Itoa(i) + "."
		t.Tenants = append(t.Tenants, &dispatch.Tenant{Tag: r.text(at + "Name"), Quota: r.float(at+"Share", 0)})
	}
	return t, r.err
}
