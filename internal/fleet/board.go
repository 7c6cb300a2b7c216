// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"sync"
	"time"

	"fernrail/internal/config"
	"fernrail/internal/fleet/signals"
)

// gossipState is what nodes told each other of executors.
type gossipState struct {
	clock       Clock
	failureSeen chan struct{} // something failed

	mu      sync.Mutex
	tracker *signals.OutlierTracker
	listed  func(executor string) bool
	scores  map[string]float64 // as it was last handed over
}

// scoreChangeThreshold is by how much what is said of an executor changes before it is handed over again.
const scoreChangeThreshold = 0.02

func newGossipState(name string, plan *config.Fleet, clock Clock) *gossipState {
	// A later process of the node has a larger number, unless the machine's clock was set back meanwhile; it is heard then once its number is.
	return &gossipState{clock: clock, failureSeen: make(chan struct{}, 1), tracker: signals.New(name, plan.Zone, time.Now().UnixNano(), plan.WitnessQuorum),
		listed: func(string) bool { return false }, scores: map[string]float64{}}
}

// reportHandler is what gossip calls with others' news; nil where nodes do not tell of executors.
func (f *Fleet) reportHandler() func([]byte) {
	if f.gossip == nil {
		return nil
	}
	return func(text []byte) {
		b := f.gossip
		var n signals.Report
		err := json.Unmarshal(text, &n)
		b.mu.Lock()
		defer b.mu.Unlock()
		if err != nil {
			b.tracker.RejectedReports++
		} else if b.tracker.MergeReport(&n, b.listed, b.clock()) {
			// Danger: news that goes no further than its node reaches by itself.
			f.broadcast(n.Node, append([]byte(nil), text...))
		}
	}
}

// broadcast has gossip carry a node's news. It may be called by gossip itself.
func (f *Fleet) broadcast(node string, text []byte) {
	f.mu.Lock()
	m := f.membership
	f.mu.Unlock()
	if m != nil {
		m.broadcast(node, text)
	}
}

// RecordOutcome notes how a job of this node's ended.
func (f *Fleet) RecordOutcome(executor string, failed bool) {
	f.gossip.mu.Lock()
	defer f.gossip.mu.Unlock()
	if f.gossip.tracker.RecordOutcome(executor, failed, f.gossip.clock()); failed {
		select {
		case f.gossip.failureSeen <- struct{}{}:
		default:
		}
	}
}

// RunOutlierGossip has this node's news go about until the end, and hands over how bad many say that executors are, all that are said to be, whenever
// that changes. listed says which executors there are.
func (f *Fleet) RunOutlierGossip(ctx context.Context, listed func(executor string) bool, heard func(bad map[string]float64)) {
	b := f.gossip
	b.mu.Lock()
	b.listed = listed
	b.mu.Unlock()
	tick := time.NewTicker(f.cfg.ElectionTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.failureSeen:
		}
		b.mu.Lock()
		now := b.clock()
		b.tracker.RetainServers(listed)
		text := b.encodeReport(now)
		bad := b.tracker.OutlierScores(now)
		changed := !maps.EqualFunc(bad, b.scores, func(x, y float64) bool { return math.Abs(x-y) < scoreChangeThreshold })
		if changed {
			b.scores = bad
		}
		b.mu.Unlock()
		if text != nil {
			f.broadcast(f.name, text)
		}
		if changed {
			heard(bad)
		}
	}
}

// maxReportBytes is in bytes. Danger: gossip never sends what does not fit into one of its packets beside other things.
const maxReportBytes = 900

// encodeReport of this node, as much as fits; nil: there is none. Under mu.
func (b *gossipState) encodeReport(now int64) []byte {
	for most := 64; most > 0; most /= 2 {
		n := b.tracker.NextReport(now, most)
		if n == nil {
			return nil
		}
		if text, err := json.Marshal(n); err == nil && len(text) <= maxReportBytes {
			return text
		}
	}
	return nil
}

// OutlierStatus are what many nodes say of executors, as this one heard.
type OutlierStatus struct {
	Scores          map[string]float64 `json:"bad"`     // how bad those are of which something is said
	RejectedReports int64              `json:"dropped"` // news that was not taken
}

func (b *gossipState) status() *OutlierStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &OutlierStatus{maps.Clone(b.scores), b.tracker.RejectedReports}
}
