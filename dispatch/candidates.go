// SPDX-License-Identifier: Apache-2.0

package dispatch

// Which servers a draw considers. Of a short list all; of a long one a bounded number, so that a request costs
// the same whatever the number of servers:
//
//   - the idle servers with an open connection, which are preferred, and those in slow start that this node may
//     send to now; if there are many, some of them at random;
//   - if these are too few, sampleSize of all at random, and if there is no uncrowded one among them, up to maxSample;
//   - where none of these may be sent to at all, all: a request that may only go to a few servers has to find them.
//
// As the sample is drawn evenly, each server's chance is in proportion to its weight, but for a part of about
// the relative variance of weights over sampleSize.

const (
	// maxSample is the length of a list up to which all of it is considered.
	maxSample = 256
	// sampleSize is the number of servers that are considered where any of them will do.
	sampleSize = 64
)

// findCandidates considers the servers for a draw.
func (d *Dispatcher) findCandidates(s *candidateSearch) {
	if len(d.servers.all) <= maxSample {
		for _, server := range d.servers.all {
			d.consider(s, server)
		}
		return
	}
	d.considerIdle(s)
	d.considerSlowStart(s)
	d.considerSample(s)
	for _, server := range d.servers.all {
		if s.foundAllowed {
			break
		}
		d.consider(s, server)
	}
}

// considerIdle considers some of the servers with an idle connection.
func (d *Dispatcher) considerIdle(s *candidateSearch) {
	d.withIdleConnection.sample(d.random, sampleSize, func(server *Server) (keep bool) {
		if !server.listed || d.now >= server.idleUntil {
			return false
		}
		if server.slotsInFlight == 0 {
			d.consider(s, server)
		}
		return true
	})
}

// considerSlowStart considers the servers in slow start that this node may send to now, maxSample at most, from
// a random place on.
func (d *Dispatcher) considerSlowStart(s *candidateSearch) {
	d.inSlowStart.visitAll(func(server *Server) (keep bool) {
		return server.listed && d.settings.warmUpFactor(server, d.now) < 1
	})
	count := len(d.inSlowStart.all)
	if count == 0 {
		return
	}
	first, considered := d.random.IntN(count), 0
	for i := 0; i < count && considered < maxSample; i++ {
		server := d.inSlowStart.all[(first+i)%count]
		if d.inSlowStartTurn(server) {
			d.consider(s, server)
			considered++
		}
	}
}

// considerSample considers servers at random until there are enough candidates: idle ones, or once others were
// considered, uncrowded ones.
func (d *Dispatcher) considerSample(s *candidateSearch) {
	step := uncrowdedStep
	for left := maxSample; left > 0 && !d.enoughCandidates(s, step); left -= sampleSize {
		d.servers.sample(d.random, sampleSize, func(server *Server) (keep bool) {
			d.consider(s, server)
			return true
		})
		step = crowdedStep
	}
}

// enoughCandidates says whether a draw has as many candidates as it needs, all of a preference before a step.
func (d *Dispatcher) enoughCandidates(s *candidateSearch, step float64) bool {
	found := len(d.candidates)
	return s.foundHealthy && found == s.count && d.candidates[found-1].sampleKey < step*preferenceStep
}
