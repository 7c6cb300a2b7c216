// SPDX-License-Identifier: Apache-2.0

package dispatch

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
