// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	// crowdedMargin is the number of slots in flight over the mean of all servers that make a server crowded.
	crowdedMargin = 1.0
	// minScore is the least score that a server's weight is worked out with.
	minScore = 0.01
	// requiredTypeFactor is the factor on the weight of servers of a machine type that other classes can't do
	// without.
	requiredTypeFactor = 0.5
	// localZoneCost is the price of crossing zones from which a node prefers its own zone.
	localZoneCost = 0.02
)

// Steps of preference: a server of a lower step comes before all of a higher one.
const (
	idleStep      = 0.0 // has an idle connection, or is in slow start, and nothing in flight
	uncrowdedStep = 1.0
	crowdedStep   = 2.0
	zoneSteps     = 3.0 // added for another zone
	distanceSteps = 6.0 // added for each unit of distance
	// preferenceStep is the distance of two steps as sample keys. It is more than any draw gives.
	preferenceStep = 1e9
)

// candidateSearch is a draw under way.
type candidateSearch struct {
	request      *Request
	count        int   // of servers that are wanted
	runtime      int64 // expected of the request, ns
	meanInFlight float64
	anyZone      bool // the own zone is not preferred
	foundHealthy bool // a server that is no outlier may be sent to
	foundAllowed bool // a server may be sent to
	draw         int  // number of the draw
}

// draw picks up to count servers at random, in proportion to their weights: idle ones with a connection before
// uncrowded ones before any others with capacity, and those of the own zone first where crossing zones is
// expensive.
func (d *Dispatcher) draw(request *Request, count int) []*Server {
	d.drawCount++
	d.candidates = d.candidates[:0]
	s := &candidateSearch{
		request:      request,
		count:        count,
		runtime:      d.expectedRuntime(request, medianQuantile),
		meanInFlight: d.slotsInFlight / float64(len(d.servers.all)),
		draw:         d.drawCount,
	}
	if request.keyState.exceeded(request.Slots, d.now, s.runtime) {
		return nil
	}
	// By chance, since a zone may have more traffic than its servers can take.
	s.anyZone = d.settings.CrossZoneCost < localZoneCost ||
		d.random.Float64()*d.promptShare(otherZone) > d.promptShare(ownZone)
	if request.AffinityKey == 0 {
		d.findCandidates(s)
	} else {
		d.considerPreferred(s)
	}
	return d.candidates[:min(count, len(d.candidates))]
}

// consider adds a server to the candidates of a draw if it may be sent to, has capacity and is drawn; each
// server once a draw. Outliers are candidates only if no other server may be sent to, with or without capacity.
func (d *Dispatcher) consider(s *candidateSearch, server *Server) {
	if server.lastDraw == s.draw {
		return
	}
	server.lastDraw = s.draw
	outlier := d.outlier(server)
	if outlier && s.foundHealthy || !d.allowed(s.request, server) {
		return
	}
	s.foundAllowed = true
	if !outlier && !s.foundHealthy {
		s.foundHealthy = true
		d.candidates = d.candidates[:0]
	}
	if server.exceeded(s.request.Slots, d.now, s.runtime) || d.reportedFull(s.request, server) {
		return
	}
	// The least of samples that are exponential at the rates of weights is a draw in proportion to weights.
	step := d.preferenceOf(s, server)
	server.sampleKey = step*preferenceStep - math.Log(1-d.random.Float64())/d.weight(s.request, server)
	i, _ := slices.BinarySearchFunc(d.candidates, server, bySampleKey)
	if i < s.count {
		d.candidates = slices.Insert(d.candidates, i, server)
	}
}

func bySampleKey(a, b *Server) int { return cmp.Compare(a.sampleKey, b.sampleKey) }

// preferenceOf is the step of preference of a server for a draw.
func (d *Dispatcher) preferenceOf(s *candidateSearch, server *Server) float64 {
	step := uncrowdedStep
	if d.idle(server) {
		step = idleStep
	} else if server.slotsInFlight >= crowdedMargin+s.meanInFlight {
		step = crowdedStep
	}
	if !s.anyZone && server.zone != d.settings.Zone {
		step += zoneSteps
	}
	return step + distanceSteps*float64(d.distanceFor(s.request, server))
}

// idle says whether a server is likely to start a request at once, without a handshake: nothing is in flight
// there, and the last request ended well so lately that its connection is still open. One in slow start has no
// connection yet and would never be drawn otherwise.
func (d *Dispatcher) idle(server *Server) bool {
	if server.slotsInFlight != 0 || server.limit < 1 {
		return false
	}
	return d.now < server.idleUntil || d.settings.warmUpFactor(server, d.now) < 1
}

// distanceFor is a server's distance from this node for a request. It does not count for requests with an
// affinity key, which have preferred servers, nor in slow start, when only few nodes may send to a server.
func (d *Dispatcher) distanceFor(request *Request, server *Server) int {
	if request.AffinityKey != 0 || server.Distance == 0 || d.settings.warmUpFactor(server, d.now) < 1 {
		return 0
	}
	return server.Distance
}

// weight is a server's weight in the draw: its mean score times its reliability times its spare capacity.
func (d *Dispatcher) weight(request *Request, server *Server) float64 {
	// Each of many nodes meets most servers seldom or never. Until then the mean of their machine type stands
	// in.
	score := server.scores.mean(server.typeStats.meanScore())
	if warm := d.settings.warmUpFactor(server, d.now); warm < 1 {
		score *= warm * d.settings.slowStartShareFactor(server, d.currentTurn(server).groups)
	}
	// Other requests would crowd out a class that one machine type alone can run.
	if request.Class.MachineType < 0 && server.typeStats.required {
		score *= requiredTypeFactor
	}
	return max(score, minScore) * d.effectiveReliability(server) * server.spareFactor
}
