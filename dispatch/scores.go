// SPDX-License-Identifier: Apache-2.0

package dispatch

import "slices"

var rankScores = [4]uint8{10, 6, 2, 0} // scores by rank and for a loss; the design's start

// recentResult is how a recent job of one scheme and slot count went at one executor.
type recentResult struct {
	server   *Server
	duration float64
	lost     bool
}

// rankGroup is what jobs have in common that are ranked together.
type rankGroup struct {
	class *Class
	slots float64
}

// recordRank scores a job against the last two of its family at other executors.
func (d *Dispatcher) recordRank(attempt *Attempt, time float64, lost bool) {
	server, key := attempt.Server, rankGroup{attempt.Request.Class, attempt.Request.Slots}
	marks := slices.DeleteFunc(d.recentResults[key], func(m recentResult) bool { return m.server == server })
	d.recentResults[key] = append(marks[max(len(marks)-2, 0):], recentResult{server, time, lost})
	place, lostToo := 0, 0
	for _, m := range marks[max(len(marks)-2, 0):] {
		if m.lost {
			lostToo++
		} else if m.duration < time {
			place++
		}
	}
	if len(marks) < 2 || lost && lostToo == 2 {
		return
	}
	if lost {
		place = 3
	}
	score := rankScores[place]
	server.typeStats.scores.decay(d.now).total++
	server.typeStats.scores.hits += float64(score) / topScore
	server.scoreCount, server.scoreSum = min(server.scoreCount+1, scoreWindow), server.scoreSum+int(score)-int(server.scores[server.nextScore])
	server.scores[server.nextScore], server.nextScore = score, (server.nextScore+1)%scoreWindow
}
