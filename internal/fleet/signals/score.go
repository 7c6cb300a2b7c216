// SPDX-License-Identifier: Apache-2.0

package signals

import "slices"

const (
	// fullWeightAttempts is the decayed number of attempts from which a witness has its full weight of 1.
	fullWeightAttempts = 1
	// majority is the fraction of a witness's attempts that must be exceeded by failures for the witness to
	// vote a server an outlier. It is also the fraction of the witnesses' weight that such votes must exceed.
	majority = 0.5
	// fullScoreExcess is the excess of the outlier votes over the majority that gives a score of 1.
	fullScoreExcess = majority / 5
)

// OutlierScore returns the outlier score of a server: 0 if at most one witness votes it an outlier, 1 if a
// quorum and a clear majority of the witnesses with recent attempts do. The weight of a witness is at most 1,
// however many attempts it made, and a single zone contributes at most half of a quorum. Therefore a node
// with bad links of its own, or with false reports, can neither have a server ejected nor prevent an
// ejection.
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

// OutlierScores returns the scores above 0 of all servers for which any witness recorded recent failures.
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

// tally sums up the witnesses' votes on one server.
type tally struct {
	totalWeight    float64
	outlierWeight  float64 // of the witnesses that vote it an outlier
	zones          []zoneWeight
	failedRecently bool // any witness recorded recent failures
}

// zoneWeight is the weight of the witnesses of a zone that vote the server an outlier.
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

// score returns the outlier score, given the quorum and the number of zones with witnesses.
func (t *tally) score(quorum float64, zones int) float64 {
	if t.totalWeight == 0 || t.outlierWeight/t.totalWeight <= majority {
		return 0
	}
	agreement := min((t.outlierWeight/t.totalWeight-majority)/fullScoreExcess, 1)
	support := min(max((t.quorumWeight(quorum, zones)-1)/(quorum-1), 0), 1)
	return agreement * support
}

// quorumWeight returns the weight that counts towards the quorum. With several zones, each zone counts for at
// most half of the quorum.
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
