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
	// scoreChangeThreshold is by how much an outlier score has to change before scores are handed over again.
	scoreChangeThreshold = 0.02
	// maxReportBytes bounds a report's size. Gossip never sends what does not fit into one packet beside other
	// messages.
	maxReportBytes = 900
	// maxReportServers is how many servers a report names if they fit.
	maxReportServers = 64
)

// gossipState is what the nodes' reports say of servers.
type gossipState struct {
	clock       Clock
	failureSeen chan struct{} // wakes the gossip loop

	mu      sync.Mutex // guards what follows
	tracker *signals.OutlierTracker
	listed  func(server string) bool
	scores  map[string]float64 // as last handed over
}

func newGossipState(name string, cfg *config.Fleet, clock Clock) *gossipState {
	// The incarnation rises with each process of the node, unless the machine's clock was set back in between. Other
	// nodes then take no reports of this process until its Unix time is past that of the process before.
	incarnation := time.Now().UnixNano()
	return &gossipState{
		clock:       clock,
		failureSeen: make(chan struct{}, 1),
		tracker:     signals.New(name, cfg.Zone, incarnation, cfg.WitnessQuorum),
		listed:      func(string) bool { return false },
		scores:      map[string]float64{},
	}
}

// reportHandler returns what gossip calls with the reports of other nodes; nil where nodes don't report on servers.
func (f *Fleet) reportHandler() func([]byte) {
	if f.gossip == nil {
		return nil
	}
	return func(text []byte) {
		// A report is passed on, as gossip alone carries it no further than to the nodes that its sender reaches. The
		// text is gossip's own and changes after this call.
		if node, isNew := f.gossip.merge(text); isNew {
			f.broadcast(node, slices.Clone(text))
		}
	}
}

// merge adds a report to what is known, and returns whose it is and whether it said anything new.
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

// broadcast has gossip carry a node's report. Gossip itself may call it.
func (f *Fleet) broadcast(node string, text []byte) {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m != nil {
		m.broadcast(node, text)
	}
}

// RecordOutcome counts an attempt of this node at a server.
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

// RunOutlierGossip sends this node's reports until the context ends, and calls onScores with the outlier scores of all
// servers that have one whenever these change. A score goes from 0, for a healthy server, to 1. listed reports which
// servers there are.
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

// update returns this node's next report, nil if there is none, and the scores with whether they changed.
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

// encodeReport returns a report on as many servers as fit, nil if there is nothing to report. The caller holds g.mu.
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

// OutlierStatus is what the nodes' reports say of servers, as this one heard them.
type OutlierStatus struct {
	Scores          map[string]float64 `json:"bad"`     // by server, from 0 to 1; only those with a score
	RejectedReports int64              `json:"dropped"` // reports, or parts of them, that were not valid
}

func (g *gossipState) status() *OutlierStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &OutlierStatus{Scores: maps.Clone(g.scores), RejectedReports: g.tracker.RejectedReports}
}
