// SPDX-License-Identifier: Apache-2.0

package signals

import (
	"cmp"
	"slices"
)

func (b *OutlierTracker) sortedWitnesses() []*witness {
	all := make([]*witness, 0, len(b.witnesses)+1)
	for _, w := range b.witnesses {
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y *witness) int { return cmp.Compare(x.Node, y.Node) })
	return all
}

// OutlierScore is how bad many say that an executor is, from 0: nothing is said, or by one alone, to 1: a quorum and most of those who saw it
// do. Each witness has one voice, or a part of one that saw little; half of a quorum may be of one zone.
//
// Danger: a node whose own link is bad, or that lies, shuts an executor out for all; or by saying that it is well keeps one in.
func (b *OutlierTracker) OutlierScore(executor string, now int64) float64 {
	t, zones := tally{}, map[string]bool{}
	for _, w := range append(b.sortedWitnesses(), &b.own) {
		zones[w.Zone] = true
		if c := w.outcomes[executor]; c != nil {
			t.add(w.Zone, c.decay(now))
		}
	}
	return t.score(b.quorum, len(zones))
}

// OutlierScores gives how bad each executor is that somebody saw fail of late, but for those of which nothing is said.
func (b *OutlierTracker) OutlierScores(now int64) map[string]float64 {
	tallies, zones := map[string]*tally{}, map[string]bool{}
	for _, w := range append(b.sortedWitnesses(), &b.own) {
		zones[w.Zone] = true
		for name, c := range w.outcomes {
			if tallies[name] == nil {
				tallies[name] = &tally{}
			}
			tallies[name].add(w.Zone, c.decay(now))
		}
	}
	verdicts := map[string]float64{}
	for name, t := range tallies {
		if how := t.score(b.quorum, len(zones)); how > 0 && t.failedRecently {
			verdicts[name] = how
		}
	}
	return verdicts
}

// tally is what witnesses say of one executor, added up in their order.
type tally struct {
	totalWeight, badWeight float64
	zones                  []zoneWeight
	failedRecently         bool // somebody saw it fail of late
}

type zoneWeight struct {
	zone      string
	badWeight float64
}

func (t *tally) add(zone string, c *OutcomeCount) {
	t.failedRecently = t.failedRecently || c.Failures >= negligible
	if c.Attempts < negligible {
		return
	}
	voice := min(c.Attempts/fullWeightAttempts, 1)
	if t.totalWeight += voice; c.Failures <= majority*c.Attempts {
		return
	}
	t.badWeight += voice
	i := slices.IndexFunc(t.zones, func(z zoneWeight) bool { return z.zone == zone })
	if i < 0 {
		i, t.zones = len(t.zones), append(t.zones, zoneWeight{zone: zone})
	}
	t.zones[i].badWeight += voice
}

// score is of so many zones from which anything was heard.
func (t *tally) score(quorum float64, zones int) float64 {
	if t.totalWeight == 0 || t.badWeight/t.totalWeight <= majority {
		return 0
	}
	counted := t.badWeight
	if zones > 1 {
		counted = 0
		for _, z := range t.zones {
			counted += min(z.badWeight, quorum/2)
		}
	}
	return min((t.badWeight/t.totalWeight-majority)/(majority/5), 1) * min(max((counted-1)/(quorum-1), 0), 1)
}
