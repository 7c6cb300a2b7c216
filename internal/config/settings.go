// SPDX-License-Identifier: Apache-2.0

// Package config reads, checks and completes the configuration of a node. No other package contains the names
// of the settings and of the file's keys: the node decodes its file here, and the simulator's adapter decodes
// the same settings from its wire protocol.
package config

import (
	"cmp"
	"strconv"
	"strings"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Lower bounds of divisors, so that a file cannot make them zero.
const (
	minTotalScoreWeight  = 0.01
	minTolerableMissRate = 0.001
)

// missedObjectiveSpan is a multiple of the tolerated rate of missed objectives. The score for punctuality
// falls linearly to zero at that multiple, as the documentation of the settings defines it.
const missedObjectiveSpan = 4

const (
	defaultTick             = 1_000_000     // ns
	defaultUnpolledEventAge = 1_000_000_000 // ns
)

// DecodeSettings decodes the settings of the dispatcher. Unknown settings are ignored, and an absent one gets
// the most restrictive value. Any error is a KeyError.
func DecodeSettings(lookup Lookup) (*dispatch.Settings, error) {
	r := &valueReader{lookup: lookup, keyPrefix: "settings."}
	settings := decodeSite(r)
	settings.Classes = decodeClasses(r)
	settings.Tenants = decodeTenants(r)
	if r.err != nil {
		return nil, r.err
	}
	return settings, nil
}

// decodeSite decodes the settings that apply to the site, not to one class or tenant.
func decodeSite(r *valueReader) *dispatch.Settings {
	totalWeight := max(r.float("ScoreParts.Whole", 1), minTotalScoreWeight)
	settings := &dispatch.Settings{
		Zone:                int(r.integer("MyZone", 0, 0)),
		Nodes:               int(r.integer("ReplicasOfMe", 1, 0)),
		NodeIndex:           int(r.integer("Me", 0, 0)),
		Tick:                r.integer("Tick", defaultTick, 0),
		WeightByWork:        r.text("BillingValueBasis") == "work",
		OverQuotaWeight:     r.float("OverageBillingValue", 1),
		PollForChanges:      r.choice("Discovery", "automatic", "subscribe") == "subscribe",
		LiveCapacity:        r.choice("Weights", "silent", "nominal", "rough", "live") == "live",
		LoadReports:         r.choice("Report.Source", "silent", "piggyback", "pull") == "piggyback",
		PeerMessages:        r.boolean("Limits.MayTell"),
		CapacityProbes:      decodeCapacityProbes(r),
		StartNotices:        r.boolean("Extra.TellsStart"),
		ProgressInterval:    r.integer("Extra.Progress", 0, 0),
		MaxAttempts:         int(r.integer("Limits.MostPostings", 1, 0)),
		AllowCancel:         r.boolean("Limits.MayCancel"),
		AllowHedging:        r.boolean("Limits.MayDuplicate"),
		MaxRetryAfter:       r.integer("Limits.MaxRetryAfter", 0, 0),
		CrossZoneCost:       r.float("Prices.CrossZone", 0),
		FetchCost:           r.float("Prices.Origin", 0),
		IdleTimeout:         r.integer("Limits.IdleClose", 0, 0),
		SlowStartShare:      r.float("Rules.ColdShare", 0),
		SlowStart:           r.integer("Rules.Cold", 0, 0),
		OverloadWindow:      r.integer("Rules.Fall", 0, 0),
		WorstClassWeight:    r.float("ScoreParts.WorstClass", 0) / totalWeight,
		MissedObjectiveCost: decodeMissedObjectiveCost(r) / totalWeight,
		OverloadFactor:      r.float("Rules.FallMultiple", 1),
		UnpolledEventAge:    r.integer("Rules.AskWithin", defaultUnpolledEventAge, 0),
		DrainGrace:          r.integer("Rules.DrainGrace", 0, 0),
		DeadlineMargin:      r.integer("Rules.LeftMargin", 0, 0),
		StartTimeError:      r.integer("Rules.BootStampError", 0, 0),
	}
	settings.MaxPollInterval = settings.UnpolledEventAge / 4 * 3
	if !r.boolean("Limits.RetryAfter") {
		settings.MaxRetryAfter = 0
	}
	return settings
}

// decodeCapacityProbes reports whether probes can request the free slots of a server.
func decodeCapacityProbes(r *valueReader) bool {
	return r.boolean("Limits.MayProbe") &&
		r.text("Report.Source") == "pull" &&
		DecodeLoadReportKeys(r.lookup).FreeSlots != ""
}

// decodeMissedObjectiveCost returns the cost of a missed latency objective in addition to the weight of its
// class.
func decodeMissedObjectiveCost(r *valueReader) float64 {
	weight := r.float("ScoreParts.Punctual", 0)
	missRate := max(r.float("ScoreParts.MissAllowed", 1), minTolerableMissRate)
	return weight / (missedObjectiveSpan * missRate)
}

// classLists are the settings of classes that the file stores in separate lists, with one element for each
// class.
type classLists struct{ machineTypes, stretches []string }

// decodeClasses decodes the request classes.
func decodeClasses(r *valueReader) []*dispatch.Class {
	lists := classLists{
		machineTypes: r.list("Extra.ClassKind"),
		stretches:    r.list("Extra.ClassStretch"),
	}
	if _, found := r.lookup("Schemes.count"); !found {
		r.fail("Schemes", "", "a list")
	}
	count := int(r.integer("Schemes.count", 0, 0))
	var classes []*dispatch.Class
	for i := 0; i < count && r.err == nil; i++ {
		classes = append(classes, decodeClass(r, i, lists))
	}
	return classes
}

// classKey returns the key of a setting of one class.
func classKey(class int, name string) string { return "Schemes." + strconv.Itoa(class) + "." + name }

// tenantKey returns the key of a setting of one tenant.
func tenantKey(tenant int, name string) string { return "Tenants." + strconv.Itoa(tenant) + "." + name }

// decodeClass decodes the settings of one class.
func decodeClass(r *valueReader, index int, lists classLists) *dispatch.Class {
	class := &dispatch.Class{
		Index:            index,
		LatencyObjective: r.integer(classKey(index, "SlaTime"), -1, 0),
		Weight:           r.float(classKey(index, "BillingValue"), 1),
		MaxDeadline:      r.integer(classKey(index, "Expiry"), 0, 1),
		LateShare:        r.float(classKey(index, "LateBillingValue"), 0),
		DedupWindow:      r.integer(classKey(index, "MemorySpan"), 0, 0),
		MachineType:      int(r.listElement("Extra.ClassKind", lists.machineTypes, index, -1)),
		DedupScope:       decodeDedupScope(r, index),
	}
	stretch := r.listElement("Extra.ClassStretch", lists.stretches, index, 0)
	class.ObjectivePerWork = r.float(classKey(index, "AimStretch"), stretch)
	if class.LatencyObjective < 0 {
		key := classKey(index, "SlaTime")
		r.fail(key, r.text(key), "a time of at least 0 ns")
	}
	class.Idempotency = decodeIdempotency(r, index)
	return class
}

// decodeIdempotency decodes whether a request of the class may run more than once, and on which servers.
func decodeIdempotency(r *valueReader, class int) dispatch.Idempotency {
	key := classKey(class, "Idempotency")
	switch value := r.text(key); value {
	case "idempotent":
	case "deduplicated":
		return dispatch.IdempotentInGroup
	case "at_most_once":
		return dispatch.NonIdempotent
	default:
		r.fail(key, value, "idempotent, deduplicated or at_most_once")
	}
	return dispatch.Idempotent
}

// decodeDedupScope decodes the group of servers that deduplicates requests together.
func decodeDedupScope(r *valueReader, class int) dispatch.DedupScope {
	switch r.text(classKey(class, "Group")) {
	case "zone":
		return dispatch.DedupZone
	case "cell":
		return dispatch.DedupCell
	}
	return dispatch.DedupAll
}

// decodeTenants decodes the tenants. A site may have none.
func decodeTenants(r *valueReader) []*dispatch.Tenant {
	count := int(r.integer("Tenants.count", 0, 0))
	var tenants []*dispatch.Tenant
	for i := 0; i < count && r.err == nil; i++ {
		tenants = append(tenants, &dispatch.Tenant{
			Tag:   r.text(tenantKey(i, "Name")),
			Quota: r.float(tenantKey(i, "Share"), 0),
		})
	}
	return tenants
}

// DecodeLoadReportKeys returns the keys of a load report that hold the free slots and, if requests use
// memory, the free memory.
func DecodeLoadReportKeys(lookup Lookup) (keys protocol.LoadReportKeys) {
	fields, _ := lookup("Report.Fields")
	_, usesMemory := lookup("Extra.MemoryUnit")
	for _, name := range strings.Split(cmp.Or(fields, "x0,x1"), ",") {
		meaning, _ := lookup("Extra.Report" + strings.ToUpper(name))
		switch strings.ReplaceAll(meaning, "_", " ") {
		case "free slots":
			keys.FreeSlots = name
		case "free memory":
			if usesMemory {
				keys.FreeMemory = name
			}
		}
	}
	return keys
}
