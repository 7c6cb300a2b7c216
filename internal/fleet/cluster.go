// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// statusResponse is what a seat says of itself.
type statusResponse struct {
	Name  string `json:"name"`
	ID    string `json:"id"`
	Blank bool   `json:"blank"`
}

// discoverCluster sees to it that the seat is part of the group. A group is founded once, when all seats are there and none has any
// memory; after that whoever has lost its memory is let in by the others, under its new id.
func (s *voter) discoverCluster(ctx context.Context) {
	tick := time.NewTicker(max(s.cfg.ElectionTimeout, 50*time.Millisecond))
	defer tick.Stop()
	since := s.clock()
	for {
		if !s.isBlank() && s.isMember() {
			if !s.clusterLost(ctx) {
				since = s.clock()
			} else if s.clock()-since > s.cfg.Agreement.Lease {
				s.log.Error().Msg("most seats have lost their memory: this one forgets as well, and the group is founded anew")
				close(s.quorumLost)
				return
			}
		} else if !s.bootstrapCluster(ctx) {
			s.joinCluster(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// clusterLost says whether the group can never decide again: nobody is elected, and most seats are there without the memory that
// was theirs. Only where seats have no directory, for what is on a disk may come back.
// Danger: two of three that start anew while the third goes on; nobody can let them in, and all live on floors for good.
func (s *voter) clusterLost(ctx context.Context) bool {
	if _, id := s.raft.LeaderWithID(); s.cfg.DataDir != "" || id != "" {
		return false
	}
	blanks := 0
	for _, x := range s.cfg.Voters {
		if x.Name == s.name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		var w statusResponse
		if s.client.post(call, x.Address, "/who", &statusResponse{s.name, s.id, false}, &w) == nil && w.Blank && w.Name == x.Name {
			blanks++
		}
		cancel()
	}
	return 2*blanks > len(s.cfg.Voters)
}

// isBlank says whether the seat remembers no group.
func (s *voter) isBlank() bool {
	c := s.raft.GetConfiguration()
	return c.Error() != nil || len(c.Configuration().Servers) == 0
}

func (s *voter) isMember() bool {
	c := s.raft.GetConfiguration()
	if c.Error() != nil {
		return true
	}
	for _, x := range c.Configuration().Servers {
		if string(x.ID) == s.id {
			return true
		}
	}
	return false
}

// bootstrapCluster founds the group if this seat is the one that does.
func (s *voter) bootstrapCluster(ctx context.Context) bool {
	var servers []raft.Server
	first := s.name
	for _, x := range s.cfg.Voters {
		w := statusResponse{s.name, s.id, s.isBlank()}
		if x.Name != s.name {
			call, cancel := context.WithTimeout(ctx, time.Second)
			err := s.client.post(call, x.Address, "/who", &statusResponse{s.name, s.id, s.isBlank()}, &w)
			cancel()
			if err != nil || w.Name != x.Name || nodeName(w.ID) != x.Name {
				return false
			}
		}
		if !w.Blank {
			return false
		}
		first = min(first, x.Name)
		servers = append(servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(w.ID), Address: raft.ServerAddress(w.ID)})
	}
	if first != s.name {
		return true // another one does
	}
	err := s.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	s.log.Info().Err(err).Int("seats", len(servers)).Msg("the group is founded")
	return true
}

// joinCluster asks the others to let this seat in.
func (s *voter) joinCluster(ctx context.Context) {
	for _, x := range s.cfg.Voters {
		if x.Name == s.name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		var done statusResponse
		err := s.client.post(call, x.Address, "/admit", &statusResponse{s.name, s.id, true}, &done)
		cancel()
		if err == nil {
			s.log.Info().Str("by", x.Name).Msg("this seat is let in")
			return
		}
	}
}

// addVoter puts a seat's new id in the place of the one that it had.
func (s *voter) addVoter(w *statusResponse) error {
	if s.cfg.Voter(w.Name) == nil || nodeName(w.ID) != w.Name {
		return fmt.Errorf("%.60q has no seat", w.Name)
	}
	c := s.raft.GetConfiguration()
	if err := c.Error(); err != nil {
		return err
	}
	index := c.Index()
	for _, x := range c.Configuration().Servers {
		if string(x.ID) == w.ID {
			return nil
		}
	}
	for _, x := range c.Configuration().Servers {
		if nodeName(string(x.ID)) == w.Name {
			f := s.raft.RemoveServer(x.ID, index, time.Second)
			if err := f.Error(); err != nil {
				return err
			}
			index = f.Index()
		}
	}
	s.log.Warn().Str("seat", w.Name).Msg("a seat that lost its memory is let in anew")
	return s.raft.AddVoter(raft.ServerID(w.ID), raft.ServerAddress(w.ID), index, time.Second).Error()
}
