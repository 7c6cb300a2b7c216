// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// weight is the design's: mean score over the top score, times H; a cold executor counts by its age.
func (d *Dispatcher) weight(request *Request, server *Server) float64 {
	// Danger: one of many nodes meets most executors seldom or never; until then their kind's mean stands in.
	score := (server.typeStats.scores.hits + initialScore) / (server.typeStats.scores.total + 1)
	score = (float64(server.scores.sum)/topScore + score*typeScoreWeight) / (float64(server.scores.count) + typeScoreWeight)
	if warmth := d.settings.warmUpFactor(server, d.now); warmth < 1 {
		_, _, _, groups := d.quotaShare(server) // seldom in turn, it is taken as much likelier then
		score *= warmth * d.settings.slowStartShareFactor(server, groups)
	}
	// Danger: the rest crowd out a scheme that one kind alone can run.
	if request.Class.MachineType < 0 && server.typeStats.required {
		score *= requiredTypeFactor
	}
	return max(score, 0.01) * d.effectiveReliability(server) * server.spareFactor
}

// draw picks executors by chance and weight, idle and prompt ones before uncrowded ones before any with room,
// home first where crossing is dear. The least of waits drawn at rates of weights is a draw by weight.
func (d *Dispatcher) draw(request *Request, count int) []*Server {
	mean := d.slotsInFlight / float64(len(d.servers.all))
	d.drawCount++
	s := &candidateSearch{request: request, count: count, runtime: d.expectedRuntime(request, 0.5), meanInFlight: mean, draw: d.drawCount}
	if d.candidates = d.candidates[:0]; request.keyState.exceeded(request.Slots, d.now, s.runtime) {
		return nil
	}
	// Danger: a zone with more traffic than its machines can carry drowns while others idle.
	s.anyZone = d.settings.CrossZoneCost < localZoneCost || d.random.Float64()*d.promptShare(otherZone) > d.promptShare(ownZone)
	if request.AffinityKey == 0 {
		d.findCandidates(s)
		return d.candidates[:min(count, len(d.candidates))]
	}
	// Danger: what has homes in each zone is fetched as many times more, and others' make room.
	s.anyZone = s.anyZone || d.settings.CrossZoneCost < d.settings.FetchCost
	for _, server := range d.preferredServers(request, s.anyZone) {
		d.consider(s, server)
	}
	return d.candidates[:min(count, len(d.candidates))]
}

// consider draws a wait for a server, if it may be sent to, and keeps it if that is among the least; each server once a draw.
func (d *Dispatcher) consider(s *candidateSearch, server *Server) {
	if server.lastDraw == s.draw {
		return
	}
	server.lastDraw = s.draw
	request, sick := s.request, d.outlier(server)
	if sick && s.foundHealthy || !d.allowed(request, server) {
		return
	}
	s.foundAllowed = true
	// The sick count only if none else remains, with or without room.
	if !sick && !s.foundHealthy {
		s.foundHealthy, d.candidates = true, d.candidates[:0]
	}
	if server.exceeded(request.Slots, d.now, s.runtime) || d.reportedFull(request, server) {
		return
	}
	// One that was prompt and has a connection open still is likelier to have room, without a handshake.
	step := 1.0
	if server.slotsInFlight == 0 && server.limit >= 1 && (d.now < server.idleUntil || d.settings.warmUpFactor(server, d.now) < 1) {
		step = 0
	} else if server.slotsInFlight >= crowdedMargin+s.meanInFlight {
		step = 2
	}
	if !s.anyZone && server.zone != d.settings.Zone {
		step += 3
	}
	// Danger: of many nodes each holds connections to all. What is beyond this one's part comes after the rest.
	step += 6 * float64(d.settings.distanceFor(request, server, d.now))
	server.sampleKey = step*preferenceStep - math.Log(1-d.random.Float64())/d.weight(request, server)
	if i, _ := slices.BinarySearchFunc(d.candidates, server, bySampleKey); i < s.count {
		d.candidates = slices.Insert(d.candidates, i, server)
	}
}

func bySampleKey(server, b *Server) int { return cmp.Compare(server.sampleKey, b.sampleKey) }

// candidateSearch is one draw under way.
type candidateSearch struct {
	request      *Request
	count        int
	runtime      int64
	meanInFlight float64 // load per server
	anyZone      bool    // zones are alike
	foundHealthy bool    // one that is not sick may be sent to
	foundAllowed bool    // one may be sent to
	draw         int     // of the draw
}
