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

// board is what nodes told each other of executors.
type board struct {
	clock Clock
	kick  chan struct{} // something failed

	mu     sync.Mutex
	seen   *signals.OutlierTracker
	listed func(executor string) bool
	bad    map[string]float64 // as it was last handed over
}

// apart is by how much what is said of an executor changes before it is handed over again.
const apart = 0.02

func newBoard(name string, plan *config.Fleet, clock Clock) *board {
	// A later process of the node has a larger number, unless the machine's clock was set back meanwhile; it is heard then once its number is.
	return &board{clock: clock, kick: make(chan struct{}, 1), seen: signals.New(name, plan.Zone, time.Now().UnixNano(), plan.WitnessQuorum),
		listed: func(string) bool { return false }, bad: map[string]float64{}}
}

// hear is what gossip calls with others' news; nil where nodes do not tell of executors.
func (f *Fleet) hear() func([]byte) {
	if f.board == nil {
		return nil
	}
	return func(text []byte) {
		b := f.board
		var n signals.Report
		err := json.Unmarshal(text, &n)
		b.mu.Lock()
		defer b.mu.Unlock()
		if err != nil {
			b.seen.RejectedReports++
		} else if b.seen.MergeReport(&n, b.listed, b.clock()) {
			// Danger: news that goes no further than its node reaches by itself.
			f.pass(n.Node, append([]byte(nil), text...))
		}
	}
}

// pass has gossip carry a node's news. It may be called by gossip itself.
func (f *Fleet) pass(node string, text []byte) {
	f.mu.Lock()
	m := f.members
	f.mu.Unlock()
	if m != nil {
		m.say(node, text)
	}
}

// RecordOutcome notes how a job of this node's ended.
func (f *Fleet) RecordOutcome(executor string, failed bool) {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	if f.board.seen.RecordOutcome(executor, failed, f.board.clock()); failed {
		select {
		case f.board.kick <- struct{}{}:
		default:
		}
	}
}

// RunOutlierGossip has this node's news go about until the end, and hands over how bad many say that executors are, all that are said to be, whenever
// that changes. listed says which executors there are.
func (f *Fleet) RunOutlierGossip(ctx context.Context, listed func(executor string) bool, heard func(bad map[string]float64)) {
	b := f.board
	b.mu.Lock()
	b.listed = listed
	b.mu.Unlock()
	tick := time.NewTicker(f.plan.ElectionTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.kick:
		}
		b.mu.Lock()
		now := b.clock()
		b.seen.RetainServers(listed)
		text := b.news(now)
		bad := b.seen.OutlierScores(now)
		changed := !maps.EqualFunc(bad, b.bad, func(x, y float64) bool { return math.Abs(x-y) < apart })
		if changed {
			b.bad = bad
		}
		b.mu.Unlock()
		if text != nil {
			f.pass(f.name, text)
		}
		if changed {
			heard(bad)
		}
	}
}

// mostNews is in bytes. Danger: gossip never sends what does not fit into one of its packets beside other things.
const mostNews = 900

// news of this node, as much as fits; nil: there is none. Under mu.
func (b *board) news(now int64) []byte {
	for most := 64; most > 0; most /= 2 {
		n := b.seen.NextReport(now, most)
		if n == nil {
			return nil
		}
		if text, err := json.Marshal(n); err == nil && len(text) <= mostNews {
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

func (b *board) read() *OutlierStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &OutlierStatus{maps.Clone(b.bad), b.seen.RejectedReports}
}
