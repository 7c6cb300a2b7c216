// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	// crowdedMargin is the number of slots in flight above the mean of all servers from which on a server is
	// crowded.
	crowdedMargin = 1.0
	// minScore is the lower bound on the score in a server's weight.
	minScore = 0.01
	// requiredTypeFactor is the factor on the weight of servers whose machine type is required by some
	// class, for requests of the other classes.
	requiredTypeFactor = 0.5
	// localZoneCost is the price of crossing zones from which on a node prefers its own zone.
	localZoneCost = 0.02
)

// Preference steps: a server of a lower step comes before all servers of a higher one.
const (
	idleStep      = 0.0 // nothing in flight, and an idle connection or in slow start
	uncrowdedStep = 1.0
	crowdedStep   = 2.0
	zoneSteps     = 3.0 // added for a server in another zone
	distanceSteps = 6.0 // added for each unit of distance
	// preferenceStep is the difference of the sample keys of adjacent steps. It exceeds any random part of a
	// sample key.
	preferenceStep = 1e9
)

// candidateSearch is the state of one draw.
type candidateSearch struct {
	request      *Request
	count        int   // number of servers requested
	runtime      int64 // expected running time of the request, ns
	meanInFlight float64
	anyZone      bool // this node's zone is not preferred
	foundHealthy bool // the rules permit a server that is not an outlier
	foundAllowed bool // the rules permit some server
	draw         int  // sequence number of the draw
}

// draw picks up to count servers at random, in proportion to their weights. Idle servers with a connection
// come before uncrowded ones, and those before any others with capacity. If crossing zones is expensive,
// servers in this node's zone come first.
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
	// The decision is random, since a zone may have more traffic than its servers can handle.
	s.anyZone = d.settings.CrossZoneCost < localZoneCost ||
		d.random.Float64()*d.promptShare(otherZone) > d.promptShare(ownZone)
	if request.AffinityKey == 0 {
		d.findCandidates(s)
	} else {
		d.considerPreferred(s)
	}
	return d.candidates[:min(count, len(d.candidates))]
}

// consider adds a server to the candidates of a draw if the rules permit it, it has capacity and its sample
// key is low enough. Each server is considered once per draw. Outliers are candidates only if the rules
// permit no other server, whether that has capacity or not.
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
	// The smallest of exponentially distributed samples whose rates are the weights is a draw in proportion
	// to the weights.
	step := d.preferenceOf(s, server)
	server.sampleKey = step*preferenceStep - math.Log(1-d.random.Float64())/d.weight(s.request, server)
	i, _ := slices.BinarySearchFunc(d.candidates, server, bySampleKey)
	if i < s.count {
		d.candidates = slices.Insert(d.candidates, i, server)
	}
}

func bySampleKey(a, b *Server) int { return cmp.Compare(a.sampleKey, b.sampleKey) }

// preferenceOf is the preference step of a server in a draw.
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

// idle reports whether a server is likely to start a request at once and without a handshake: nothing is in
// flight there, and the last success is recent enough that its connection is still open. A server in slow
// start counts as idle too: it has no connection yet and would otherwise never be drawn.
func (d *Dispatcher) idle(server *Server) bool {
	if server.slotsInFlight != 0 || server.limit < 1 {
		return false
	}
	return d.now < server.idleUntil || d.settings.warmUpFactor(server, d.now) < 1
}

// distanceFor is a server's distance from this node for a request. It is 0 for requests with an affinity
// key, since the key selects the preferred servers, and in slow start, since only few nodes may send to the
// server.
func (d *Dispatcher) distanceFor(request *Request, server *Server) int {
	if request.AffinityKey != 0 || server.Distance == 0 || d.settings.warmUpFactor(server, d.now) < 1 {
		return 0
	}
	return server.Distance
}

// weight is a server's weight in the draw: the product of its mean score, its reliability and its spare
// capacity.
func (d *Dispatcher) weight(request *Request, server *Server) float64 {
	// With many nodes, each one sends to most servers rarely or never. Until it has results, the mean of the
	// machine type is used.
	score := server.scores.mean(server.typeStats.meanScore())
	if warm := d.settings.warmUpFactor(server, d.now); warm < 1 {
		score *= warm * d.settings.slowStartWeightFactor(server, d.currentTurn(server).groups)
	}
	// Requests of other classes would crowd out a class that only one machine type can run.
	if request.Class.MachineType < 0 && server.typeStats.required {
		score *= requiredTypeFactor
	}
	return max(score, minScore) * d.effectiveReliability(server) * server.spareFactor
}
