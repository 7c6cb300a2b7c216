// SPDX-License-Identifier: Apache-2.0

package signals

import "slices"

const (
	// fullWeightAttempts is how many attempts lately make a witness count in full.
	fullWeightAttempts = 1
	// majority is the part of a witness's attempts that have to fail for it to hold a server for an outlier, and the
	// part of the witnesses that have to hold it for one.
	majority = 0.5
	// fullScoreExcess is by how much the witnesses have to exceed the majority for a score of 1.
	fullScoreExcess = majority / 5
)

// OutlierScore returns how much of an outlier the witnesses hold a server for: 0 if none does or a single one alone, 1
// if a quorum and most of those who sent there do. A witness counts once however much it saw, and a single zone makes
// up half of a quorum at most. So a node whose own links are bad, or that reports what is not true, neither has a
// server ejected nor keeps one from being ejected.
func (t *OutlierTracker) OutlierScore(server string, now int64) float64 {
	var votes tally
	zones := map[string]bool{}
	for _, w := range t.allWitnesses() {
		zones[w.Zone] = true
		if count := w.outcomes[server]; count != nil {
			count.decay(now)
			votes.add(w.Zone, count)
		}
	}
	return votes.score(t.quorum, len(zones))
}

// OutlierScores returns the scores above 0 of all servers that somebody saw fail lately.
func (t *OutlierTracker) OutlierScores(now int64) map[string]float64 {
	tallies, zones := map[string]*tally{}, map[string]bool{}
	for _, w := range t.allWitnesses() {
		zones[w.Zone] = true
		for name, count := range w.outcomes {
			if tallies[name] == nil {
				tallies[name] = &tally{}
			}
			count.decay(now)
			tallies[name].add(w.Zone, count)
		}
	}
	scores := map[string]float64{}
	for name, votes := range tallies {
		score := votes.score(t.quorum, len(zones))
		if score > 0 && votes.failedRecently {
			scores[name] = score
		}
	}
	return scores
}

// tally adds up what witnesses say of one server.
type tally struct {
	totalWeight    float64
	outlierWeight  float64 // of the witnesses that hold it for an outlier
	zones          []zoneWeight
	failedRecently bool // somebody saw it fail
}

// zoneWeight is the weight of the witnesses of a zone that hold the server for an outlier.
type zoneWeight struct {
	zone   string
	weight float64
}

func (t *tally) add(zone string, count *OutcomeCount) {
	t.failedRecently = t.failedRecently || count.Failures >= negligible
	if count.Attempts < negligible {
		return
	}
	weight := min(count.Attempts/fullWeightAttempts, 1)
	t.totalWeight += weight
	if count.Failures <= majority*count.Attempts {
		return
	}
	t.outlierWeight += weight
	t.addToZone(zone, weight)
}

func (t *tally) addToZone(zone string, weight float64) {
	i := slices.IndexFunc(t.zones, func(z zoneWeight) bool { return z.zone == zone })
	if i < 0 {
		t.zones = append(t.zones, zoneWeight{zone: zone, weight: weight})
		return
	}
	t.zones[i].weight += weight
}

// score returns the outlier score, given the quorum and from how many zones anything was heard.
func (t *tally) score(quorum float64, zones int) float64 {
	if t.totalWeight == 0 || t.outlierWeight/t.totalWeight <= majority {
		return 0
	}
	agreement := min((t.outlierWeight/t.totalWeight-majority)/fullScoreExcess, 1)
	support := min(max((t.quorumWeight(quorum, zones)-1)/(quorum-1), 0), 1)
	return agreement * support
}

// quorumWeight returns the weight that counts towards the quorum.
func (t *tally) quorumWeight(quorum float64, zones int) float64 {
	if zones <= 1 {
		return t.outlierWeight
	}
	weight := 0.0
	for _, z := range t.zones {
		weight += min(z.weight, quorum/2)
	}
	return weight
}
