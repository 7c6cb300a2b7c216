// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math/rand/v2"

// serverSet is a set of servers that is added to and removed from in constant time, and from which some are
// drawn at random.
type serverSet struct {
	all   []*Server
	index func(*Server) *int // where a server keeps its place in the set, counted from one; 0: it is not in it
}

func (s *serverSet) add(server *Server) {
	index := s.index(server)
	if *index == 0 {
		s.all = append(s.all, server)
		*index = len(s.all)
	}
}

// remove takes a server out. The last one takes its place, so the order changes.
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

// retain takes out the servers that keep says no to, and leaves the others in order.
func (s *serverSet) retain(keep func(*Server) bool) {
	kept := s.all[:0]
	for _, server := range s.all {
		if keep(server) {
			kept = append(kept, server)
			*s.index(server) = len(kept)
		} else {
			*s.index(server) = 0
		}
	}
	clear(s.all[len(kept):])
	s.all = kept
}

// sample calls visit with count servers of the set, drawn evenly, of which some may be the same; with each once
// if there are no more. Those that visit does not want to keep are taken out.
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

// visitAll calls visit with each server of the set, and takes out those that it does not want to keep.
func (s *serverSet) visitAll(visit func(*Server) (keep bool)) {
	for i := 0; i < len(s.all); {
		if visit(s.all[i]) {
			i++
		} else {
			s.remove(s.all[i])
		}
	}
}
