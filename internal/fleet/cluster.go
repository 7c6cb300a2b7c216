// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"fernrail/internal/config"
)

const (
	// peerCallTimeout bounds a call to another voter, and a change of the cluster's members.
	peerCallTimeout = time.Second
	// minDiscoveryInterval is the minimum time between two checks of the cluster's state.
	minDiscoveryInterval = 50 * time.Millisecond
)

// voterIdentity identifies a voter in status and join calls and in the responses to them.
type voterIdentity struct {
	Name  string `json:"name"`  // of its node
	ID    string `json:"id"`    // of the voter
	Blank bool   `json:"blank"` // it has no cluster configuration
}

// discoverCluster makes this voter a member of the cluster and checks periodically that it still is. A
// cluster is founded once, when all voters are up and none has any state. Afterwards its members add each
// voter that has lost its state, under that voter's new id.
func (v *voter) discoverCluster(ctx context.Context) {
	ticker := time.NewTicker(max(v.cfg.ElectionTimeout, minDiscoveryInterval))
	defer ticker.Stop()
	lastUsable := v.clock()
	for {
		switch {
		case v.isBlank() || !v.isMember():
			if !v.bootstrapCluster(ctx) {
				v.joinCluster(ctx)
			}
		case !v.clusterLost(ctx):
			lastUsable = v.clock()
		case v.clock()-lastUsable > v.cfg.Agreement.Lease:
			v.log.Error().Msg("quorum lost its durable state; founding a new cluster")
			close(v.quorumLost)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// clusterLost reports whether the cluster can never elect a leader again: it has no leader, and most voters
// are up but have lost their state. Without a leader no voter can be added, and all nodes would be limited to
// their floors permanently.
//
// It always returns false with data directories, since a disk may become available again. Operators decide
// then.
func (v *voter) clusterLost(ctx context.Context) bool {
	if v.cfg.DataDir != "" {
		return false
	}
	if _, leader := v.raft.LeaderWithID(); leader != "" {
		return false
	}
	blank := 0
	for _, peer := range v.cfg.Voters {
		if peer.Name == v.name {
			continue
		}
		identity, err := v.identify(ctx, peer, voterIdentity{Name: v.name, ID: v.id})
		if err == nil && identity.Blank && identity.Name == peer.Name {
			blank++
		}
	}
	return 2*blank > len(v.cfg.Voters)
}

// isBlank reports whether this voter has no cluster configuration.
func (v *voter) isBlank() bool {
	members := v.raft.GetConfiguration()
	return members.Error() != nil || len(members.Configuration().Servers) == 0
}

// isMember reports whether this voter is listed in its own cluster configuration.
func (v *voter) isMember() bool {
	members := v.raft.GetConfiguration()
	if members.Error() != nil {
		return true
	}
	return hasServer(members.Configuration(), v.id)
}

func hasServer(members raft.Configuration, id string) bool {
	for _, server := range members.Servers {
		if string(server.ID) == id {
			return true
		}
	}
	return false
}

// identity returns this voter's identity.
func (v *voter) identity() voterIdentity {
	return voterIdentity{Name: v.name, ID: v.id, Blank: v.isBlank()}
}

// identify requests another voter's identity.
func (v *voter) identify(ctx context.Context, peer config.Voter, own voterIdentity) (voterIdentity, error) {
	return v.callPeer(ctx, peer, statusPath, own)
}

// callPeer makes a status or join call to another voter.
func (v *voter) callPeer(
	ctx context.Context, peer config.Voter, path string, own voterIdentity,
) (voterIdentity, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var identity voterIdentity
	err := v.client.post(ctx, peer.Address, path, &own, &identity)
	return identity, err
}

// bootstrapCluster founds the cluster if all voters are up and blank, and if this voter's name is the first
// in sorted order. It reports whether all voters are up and blank. If it returns true, this voter has tried
// to found the cluster or waits for the first voter to do so.
func (v *voter) bootstrapCluster(ctx context.Context) bool {
	var servers []raft.Server
	first := v.name
	for _, peer := range v.cfg.Voters {
		identity := v.identity()
		if peer.Name != v.name {
			var err error
			identity, err = v.identify(ctx, peer, identity)
			if err != nil || identity.Name != peer.Name || nodeName(identity.ID) != peer.Name {
				return false
			}
		}
		if !identity.Blank {
			return false
		}
		first = min(first, peer.Name)
		servers = append(servers, raftServer(identity.ID))
	}
	if first != v.name {
		return true
	}
	err := v.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	v.log.Info().Err(err).Int("voters", len(servers)).Msg("cluster bootstrap finished")
	return true
}

// raftServer returns the raft member with a voter's id. The id is also its raft address: the stream layer
// resolves it.
func raftServer(id string) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(id), Address: raft.ServerAddress(id)}
}

// joinCluster requests each of the other voters in turn to add this one, until one succeeds.
func (v *voter) joinCluster(ctx context.Context) {
	own := voterIdentity{Name: v.name, ID: v.id, Blank: true}
	for _, peer := range v.cfg.Voters {
		if peer.Name == v.name {
			continue
		}
		if _, err := v.callPeer(ctx, peer, joinPath, own); err == nil {
			v.log.Info().Str("by", peer.Name).Msg("joined the cluster")
			return
		}
	}
}

// addVoter adds a voter to the cluster and removes the earlier voter of the same node.
func (v *voter) addVoter(joining *voterIdentity) error {
	if v.cfg.Voter(joining.Name) == nil || nodeName(joining.ID) != joining.Name {
		return fmt.Errorf("%.60q has no seat", joining.Name)
	}
	members := v.raft.GetConfiguration()
	if err := members.Error(); err != nil {
		return err
	}
	if hasServer(members.Configuration(), joining.ID) {
		return nil
	}
	index, err := v.removeVoters(joining.Name, members)
	if err != nil {
		return err
	}
	v.log.Warn().Str("voter", joining.Name).Msg("adding a voter that lost its state, under its new id")
	server := raftServer(joining.ID)
	return v.raft.AddVoter(server.ID, server.Address, index, peerCallTimeout).Error()
}

// removeVoters removes a node's voters from the cluster. It returns the log index of the latest configuration
// change.
func (v *voter) removeVoters(node string, members raft.ConfigurationFuture) (index uint64, err error) {
	index = members.Index()
	for _, server := range members.Configuration().Servers {
		if nodeName(string(server.ID)) != node {
			continue
		}
		future := v.raft.RemoveServer(server.ID, index, peerCallTimeout)
		if err := future.Error(); err != nil {
			return 0, err
		}
		index = future.Index()
	}
	return index, nil
}
