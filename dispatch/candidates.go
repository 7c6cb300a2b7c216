// SPDX-License-Identifier: Apache-2.0

package dispatch

// Which servers a draw looks at. Of a short list all; of a long one a bounded number, so that a request costs the same whatever the
// size of the fleet:
//
//   - the idle servers with a kept connection, which go first by the design's exceptions, and those in slow start that this node may
//     send to now; if there are many, sampleMost of them at random;
//   - where these do not do, sampleFew of all at random, and if there is no uncrowded one among them, up to sampleMost;
//   - where none of these may be sent to at all, all of them: a request that may only go to a few servers has to find them.
//
// The draw among them is the same as ever. As the sample is drawn evenly and without bias, each server's chance is in proportion to
// its weight, but for a part of about the relative variance of weights over sampleFew.

const (
	// maxSample is the length of a list up to which all of it is looked at. The share of healthy servers may be as small as one in
	// fifty and a sample still holds one but for one time in a hundred and seventy.
	maxSample = 256
	// sampleSize is how many are looked at where any of them will do. Of a long list each is likely to be out of the processor's cache.
	sampleSize = 64
)

// findCandidates considers the candidates of a draw.
func (d *Dispatcher) findCandidates(s *candidateSearch) {
	if len(d.servers.all) <= maxSample {
		for _, server := range d.servers.all {
			d.consider(s, server)
		}
		return
	}
	d.withIdleConnection.sample(d.random, sampleSize, func(server *Server) bool {
		if !server.listed || d.now >= server.idleUntil {
			return false
		}
		if server.slotsInFlight == 0 {
			d.consider(s, server)
		}
		return true
	})
	d.considerSlowStart(s)
	use := func(server *Server) bool {
		d.consider(s, server)
		return true
	}
	for left := maxSample; left > 0 && !d.enoughCandidates(s, left == maxSample); left -= sampleSize {
		d.servers.sample(d.random, sampleSize, use)
	}
	for _, server := range d.servers.all {
		if s.foundAllowed {
			break
		}
		d.consider(s, server)
	}
}

// enoughCandidates says whether a draw needs to look at no more: all that it found are idle ones with a connection, or, once others were looked
// at, uncrowded ones.
func (d *Dispatcher) enoughCandidates(s *candidateSearch, kept bool) bool {
	steps := 2.0
	if kept {
		steps = 1
	}
	found := len(d.candidates)
	return s.foundHealthy && found == s.count && d.candidates[found-1].sampleKey < steps*preferenceStep
}

// considerSlowStart considers the servers in slow start that this node may send to now, sampleMost at most, from a random place on.
func (d *Dispatcher) considerSlowStart(s *candidateSearch) {
	for i := 0; i < len(d.inSlowStart.all); {
		if server := d.inSlowStart.all[i]; server.listed && d.settings.warmUpFactor(server, d.now) < 1 {
			i++
		} else {
			d.inSlowStart.remove(server)
		}
	}
	count := len(d.inSlowStart.all)
	if count == 0 {
		return
	}
	first, considered := d.random.IntN(count), 0
	for i := 0; i < count && considered < maxSample; i++ {
		if server := d.inSlowStart.all[(first+i)%count]; d.inSlowStartTurn(server) {
			d.consider(s, server)
			considered++
		}
	}
}
