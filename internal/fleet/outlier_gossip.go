// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"fernrail/internal/config"
	"fernrail/internal/fleet/signals"
)

const (
	// scoreChangeThreshold is the smallest change of an outlier score after which onScores is called again.
	scoreChangeThreshold = 0.02
	// maxReportBytes bounds a report's size. The gossip library never sends a report that does not fit into
	// one packet together with other messages.
	maxReportBytes = 900
	// maxReportServers is the maximum number of servers in a report, if they fit into maxReportBytes.
	maxReportServers = 64
)

// gossipState combines the nodes' reports on servers.
type gossipState struct {
	clock       Clock
	failureSeen chan struct{} // wakes the gossip loop

	mu      sync.Mutex // guards the fields below
	tracker *signals.OutlierTracker
	listed  func(server string) bool
	scores  map[string]float64 // as last passed to onScores
}

func newGossipState(name string, cfg *config.Fleet, clock Clock) *gossipState {
	// The incarnation increases with each process of the node, unless the machine's clock was set back in
	// between. In that case other nodes ignore this process's reports, until a process starts with a Unix
	// time after that of the earlier process.
	incarnation := time.Now().UnixNano()
	return &gossipState{
		clock:       clock,
		failureSeen: make(chan struct{}, 1),
		tracker:     signals.NewOutlierTracker(name, cfg.Zone, incarnation, cfg.WitnessQuorum),
		listed:      func(string) bool { return false },
		scores:      map[string]float64{},
	}
}

// reportHandler returns the handler for reports of other nodes, or nil if nodes don't exchange reports.
func (f *Fleet) reportHandler() func([]byte) {
	if f.gossip == nil {
		return nil
	}
	return func(text []byte) {
		// New reports are forwarded, since the gossip library delivers a report only to nodes that its sender
		// reaches directly. The library reuses the buffer after this call, so the text is copied.
		if node, isNew := f.gossip.merge(text); isNew {
			f.broadcast(node, slices.Clone(text))
		}
	}
}

// merge merges a report into the tracker. It returns the node that sent the report and whether the report was
// new.
func (g *gossipState) merge(text []byte) (node string, isNew bool) {
	var report signals.Report
	err := json.Unmarshal(text, &report)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.tracker.RejectedReports++
		return "", false
	}
	return report.Node, g.tracker.MergeReport(&report, g.listed, g.clock())
}

// broadcast queues a node's report for gossip. It may be called from a callback of the gossip library.
func (f *Fleet) broadcast(node string, text []byte) {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m != nil {
		m.broadcast(node, text)
	}
}

// RecordOutcome records the outcome of an attempt of this node at a server.
func (f *Fleet) RecordOutcome(server string, failed bool) {
	g := f.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.RecordOutcome(server, failed, g.clock())
	if !failed {
		return
	}
	select {
	case g.failureSeen <- struct{}{}:
	default:
	}
}

// RunOutlierGossip sends this node's reports until the context ends. It calls onScores with all outlier
// scores above 0 whenever a score has changed. Scores range from 0 for a healthy server to 1. listed reports
// whether a server is in the endpoint list.
func (f *Fleet) RunOutlierGossip(
	ctx context.Context, listed func(server string) bool, onScores func(scores map[string]float64),
) {
	g := f.gossip
	g.mu.Lock()
	g.listed = listed
	g.mu.Unlock()
	ticker := time.NewTicker(f.cfg.ElectionTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.failureSeen:
		}
		report, scores, changed := g.update()
		if report != nil {
			f.broadcast(f.name, report)
		}
		if changed {
			onScores(scores)
		}
	}
}

// update returns this node's next report, nil if there is none, the current scores, and whether they have
// changed.
func (g *gossipState) update() (report []byte, scores map[string]float64, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.tracker.RetainServers(g.listed)
	report = g.encodeReport(now)
	scores = g.tracker.OutlierScores(now)
	unchanged := func(x, y float64) bool { return math.Abs(x-y) < scoreChangeThreshold }
	changed = !maps.EqualFunc(scores, g.scores, unchanged)
	if changed {
		g.scores = scores
	}
	return report, scores, changed
}

// encodeReport encodes a report on as many servers as fit into maxReportBytes. It returns nil if there is
// nothing to report. The caller holds g.mu.
func (g *gossipState) encodeReport(now int64) []byte {
	for servers := maxReportServers; servers > 0; servers /= 2 {
		report := g.tracker.NextReport(now, servers)
		if report == nil {
			return nil
		}
		text, err := json.Marshal(report)
		if err == nil && len(text) <= maxReportBytes {
			return text
		}
	}
	return nil
}

// OutlierStatus summarizes the nodes' reports on servers, as received by this node.
type OutlierStatus struct {
	Scores          map[string]float64 `json:"bad"`     // by server, from 0 to 1; only those with a score
	RejectedReports int64              `json:"dropped"` // invalid reports, or invalid entries of reports
}

func (g *gossipState) status() *OutlierStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &OutlierStatus{Scores: maps.Clone(g.scores), RejectedReports: g.tracker.RejectedReports}
}
