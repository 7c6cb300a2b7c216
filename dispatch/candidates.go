// SPDX-License-Identifier: Apache-2.0

package dispatch

// Which servers a draw considers. In a short list, all of them. In a long one, a bounded number, so that the
// cost of a request does not depend on the number of servers:
//
//   - the idle servers with an open connection, which are preferred, and the servers in slow start to which
//     this node may send now; if there are many of either, a random selection of them;
//   - if these are too few, a random sample of sampleSize servers, and further samples of up to maxSample
//     servers in total while there are not enough uncrowded servers;
//   - if the rules permit none of these, all servers: a request that only a few servers can run must find
//     them.
//
// As the sample is uniform, the probability of each server is in proportion to its weight, with a relative
// error of about the relative variance of the weights divided by sampleSize.

const (
	// maxSample is the length of a list up to which all of it is considered, and the largest total sample of
	// a longer list.
	maxSample = 256
	// sampleSize is the number of servers in one sample.
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

// considerSlowStart considers the servers in slow start to which this node may send now: at most maxSample,
// starting at a random position.
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

// considerSample considers servers at random until there are enough candidates. The first sample is
// sufficient only if it yields idle servers; after that, uncrowded ones suffice.
func (d *Dispatcher) considerSample(s *candidateSearch) {
	step := uncrowdedStep
	for remaining := maxSample; remaining > 0 && !d.enoughCandidates(s, step); remaining -= sampleSize {
		d.servers.sample(d.random, sampleSize, func(server *Server) (keep bool) {
			d.consider(s, server)
			return true
		})
		step = crowdedStep
	}
}

// enoughCandidates reports whether a draw has as many healthy candidates as requested, all of them of a
// lower (better) preference step than the given one.
func (d *Dispatcher) enoughCandidates(s *candidateSearch, step float64) bool {
	found := len(d.candidates)
	return s.foundHealthy && found == s.count && d.candidates[found-1].sampleKey < step*preferenceStep
}
