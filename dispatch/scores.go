// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

const (
	// scoreWindowSize is the number of latest scores over which a server's mean is computed.
	scoreWindowSize = 50
	// topScore is the score of the first rank. Means are relative to it.
	topScore = 10.0
	// initialScore is the mean score, relative to the top score, of a machine type without scores.
	initialScore = 0.5
	// typeScoreWeight is the weight, in scores, of the machine type's mean in a server's mean.
	typeScoreWeight = 3.0
	// rankedAgainst is the number of other servers' results that a result is ranked against.
	rankedAgainst = 2
)

// rankScores are the scores of the ranks from first to last, followed by that of a failed request.
var rankScores = [rankedAgainst + 2]uint8{topScore, 6, 2, 0}

const failedRank = rankedAgainst + 1

// scoreWindow holds a server's latest scores.
type scoreWindow struct {
	scores     [scoreWindowSize]uint8
	count, sum int
	next       int // index of the oldest score, which the next one replaces
}

func (w *scoreWindow) add(score uint8) {
	w.count = min(w.count+1, scoreWindowSize)
	w.sum += int(score) - int(w.scores[w.next])
	w.scores[w.next] = score
	w.next = (w.next + 1) % scoreWindowSize
}

// mean is the mean score relative to the top score. With few scores it is pulled towards a prior mean.
func (w *scoreWindow) mean(prior float64) float64 {
	return (float64(w.sum)/topScore + prior*typeScoreWeight) / (float64(w.count) + typeScoreWeight)
}

// rankGroup identifies the requests whose results are ranked against each other.
type rankGroup struct {
	class *Class
	slots float64
}

// recentResult is the result of a request of a rank group at a server.
type recentResult struct {
	server   *Server
	duration float64 // running time divided by the request's work unit
	failed   bool
}

// recordRank ranks a result against the latest ones of its group at two other servers, and scores its server
// by the rank. If all three failed nothing is scored, since that does not distinguish the servers.
func (d *Dispatcher) recordRank(request *Request, result recentResult) {
	group := rankGroup{request.Class, request.Slots}
	others := slices.DeleteFunc(d.recentResults[group],
		func(r recentResult) bool { return r.server == result.server })
	others = others[max(len(others)-rankedAgainst, 0):]
	d.recentResults[group] = append(others, result)
	if len(others) < rankedAgainst {
		return
	}
	rank, failures := 0, 0
	for _, other := range others {
		if other.failed {
			failures++
		} else if other.duration < result.duration {
			rank++
		}
	}
	if result.failed {
		rank = failedRank
		if failures == rankedAgainst {
			return
		}
	}
	score := rankScores[rank]
	stats := &result.server.typeStats.scores
	stats.decay(d.now).total++
	stats.hits += float64(score) / topScore
	result.server.scores.add(score)
}
