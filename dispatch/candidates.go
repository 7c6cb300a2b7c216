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

// serverSet is a set of servers that is added to in any order, and from which some are drawn at random.
type serverSet struct {
	servers []*Server
	index   func(*Server) *int // where a server keeps its place in the set, counted from one; 0: it is not in it
}

func (s *serverSet) add(server *Server) {
	if at := s.index(server); *at == 0 {
		s.servers = append(s.servers, server)
		*at = len(s.servers)
	}
}

func (s *serverSet) remove(server *Server) {
	at := s.index(server)
	if *at == 0 {
		return
	}
	last := len(s.servers) - 1
	s.swap(*at-1, last)
	s.servers[last] = nil
	s.servers, *at = s.servers[:last], 0
}

func (s *serverSet) swap(i, j int) {
	server, b := s.servers[i], s.servers[j]
	s.servers[i], s.servers[j] = b, server
	*s.index(server), *s.index(b) = j+1, i+1
}

// sample calls use with count servers of the set, drawn evenly, of which some may be the same; with each once if there are no more.
// Those that use does not want are taken out.
func (d *Dispatcher) sample(s *serverSet, count int, use func(*Server) (keep bool)) {
	if len(s.servers) <= count {
		for i := 0; i < len(s.servers); {
			if server := s.servers[i]; use(server) {
				i++
			} else {
				s.remove(server)
			}
		}
		return
	}
	for ; count > 0 && len(s.servers) > 0; count-- {
		if server := s.servers[d.random.IntN(len(s.servers))]; !use(server) {
			s.remove(server)
		}
	}
}

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

// findCandidates considers the candidates of a draw.
func (d *Dispatcher) findCandidates(s *candidateSearch) {
	if len(d.servers.servers) <= maxSample {
		for _, server := range d.servers.servers {
			d.consider(s, server)
		}
		return
	}
	d.sample(&d.withIdleConnection, sampleSize, func(server *Server) bool {
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
		d.sample(&d.servers, sampleSize, use)
	}
	for _, server := range d.servers.servers {
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
	for i := 0; i < len(d.inSlowStart.servers); {
		if server := d.inSlowStart.servers[i]; server.listed && d.settings.warmUpFactor(server, d.now) < 1 {
			i++
		} else {
			d.inSlowStart.remove(server)
		}
	}
	count := len(d.inSlowStart.servers)
	if count == 0 {
		return
	}
	first, considered := d.random.IntN(count), 0
	for i := 0; i < count && considered < maxSample; i++ {
		if server := d.inSlowStart.servers[(first+i)%count]; d.inSlowStartTurn(server) {
			d.consider(s, server)
			considered++
		}
	}
}

// inSlowStartTurn says whether it may be this node's turn at a server in slow start. It is worked out once a turn; what is sent is held to
// the budget by warmEnough.
func (d *Dispatcher) inSlowStartTurn(server *Server) bool {
	if d.settings.Quotas != nil {
		return true
	}
	if d.now >= server.turnUntil {
		_, since, turn, _ := d.quotaShare(server)
		server.inTurn, server.turnUntil = turn, since+max(d.settings.OverloadWindow/turnsPerWindow, 1)
	}
	return server.inTurn
}
