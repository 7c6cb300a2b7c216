// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math/rand/v2"

// serverSet is a set of servers with addition and removal in constant time and random sampling.
type serverSet struct {
	all   []*Server
	index func(*Server) *int // a server's position in the set, counted from one; 0: not in the set
}

func (s *serverSet) add(server *Server) {
	index := s.index(server)
	if *index == 0 {
		s.all = append(s.all, server)
		*index = len(s.all)
	}
}

// remove removes a server. The last one moves to its position, so the order changes.
func (s *serverSet) remove(server *Server) {
	index := s.index(server)
	if *index == 0 {
		return
	}
	last := len(s.all) - 1
	moved := s.all[last]
	s.all[*index-1] = moved
	*s.index(moved) = *index
	s.all[last] = nil
	s.all = s.all[:last]
	*index = 0
}

// retain removes the servers for which keep returns false. The others keep their order.
func (s *serverSet) retain(keep func(*Server) bool) {
	retained := s.all[:0]
	for _, server := range s.all {
		if keep(server) {
			retained = append(retained, server)
			*s.index(server) = len(retained)
		} else {
			*s.index(server) = 0
		}
	}
	clear(s.all[len(retained):])
	s.all = retained
}

// sample calls visit with count servers of the set, chosen uniformly with replacement, or with each server
// once if the set has at most count of them. It removes the servers for which visit returns false.
func (s *serverSet) sample(random *rand.Rand, count int, visit func(*Server) (keep bool)) {
	if len(s.all) <= count {
		s.visitAll(visit)
		return
	}
	for ; count > 0 && len(s.all) > 0; count-- {
		server := s.all[random.IntN(len(s.all))]
		if !visit(server) {
			s.remove(server)
		}
	}
}

// visitAll calls visit with each server of the set. It removes the servers for which visit returns false.
func (s *serverSet) visitAll(visit func(*Server) (keep bool)) {
	for i := 0; i < len(s.all); {
		if visit(s.all[i]) {
			i++
		} else {
			s.remove(s.all[i])
		}
	}
}
