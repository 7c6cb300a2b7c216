// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"fernrail/internal/config"
)

const (
	// rejoinFactor is the time between two attempts to reach nodes that are not there, in election timeouts. Without
	// them two halves of a fleet that took each other for dead during a network split would never join again.
	rejoinFactor = 10
	// maxAwarenessMultiplier lets a node that is cut off probe the others nearly as often as it does otherwise.
	maxAwarenessMultiplier = 2
	// retransmitFactor scales how many times a report is sent on by each node.
	retransmitFactor = 2
	// gossipLogInterval is the least time between two log lines of the gossip library.
	gossipLogInterval = time.Second
	// gossipLogBurst is how many log lines of the gossip library may come at once.
	gossipLogBurst = 2
)

// gossipConfig is what a process takes part in gossip with.
type gossipConfig struct {
	name     string // of this node
	fleet    *config.Fleet
	onChange func()       // called after nodes joined or left
	onReport func([]byte) // called with each report on servers; nil: nodes don't send any
	log      zerolog.Logger
}

// membership is which nodes are alive, as they tell each other. No budget depends on it.
type membership struct {
	gossipConfig
	list       *memberlist.Memberlist
	broadcasts memberlist.TransmitLimitedQueue
	tasks      sync.WaitGroup
	cancel     context.CancelFunc

	mu         sync.Mutex        // guards what follows
	alive      map[string]string // addresses by node, copied as the library notifies of them
	gone       map[string]string // addresses by node of those that were alive
	duplicates map[string]string // by node: the address of another node of the same name
}

// joinGossip takes part in the gossip of the fleet.
func joinGossip(ctx context.Context, c gossipConfig) (*membership, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &membership{
		gossipConfig: c,
		cancel:       cancel,
		alive:        map[string]string{},
		gone:         map[string]string{},
		duplicates:   map[string]string{},
	}
	m.broadcasts.RetransmitMult = retransmitFactor
	m.broadcasts.NumNodes = m.count
	if err := m.create(); err != nil {
		cancel()
		return nil, err
	}
	m.tasks.Go(func() { m.rejoinMissing(ctx) })
	return m, nil
}

// create opens the address of gossip.
func (m *membership) create() error {
	settings, err := m.settings()
	if err != nil {
		return err
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{settings.BindAddr},
		BindPort:  settings.BindPort,
	})
	if err != nil {
		return err
	}
	settings.Transport = &routedTransport{NetTransport: transport, routes: m.fleet.Routes}
	m.list, err = memberlist.Create(settings)
	if err != nil {
		// The error above is the one to report.
		_ = transport.Shutdown()
	}
	return err
}

// settings returns the library's configuration, with all times in proportion to the election timeout.
func (m *membership) settings() (*memberlist.Config, error) {
	host, port, err := net.SplitHostPort(m.fleet.Gossip)
	if err != nil {
		return nil, err
	}
	settings := memberlist.DefaultLANConfig()
	settings.Name = m.name
	settings.BindAddr = host
	settings.AdvertiseAddr = host
	settings.BindPort, err = strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	settings.AdvertisePort = settings.BindPort
	key := sha256.Sum256(fmt.Appendf(nil, "fernrail gossip %d %s", protocolVersion, m.fleet.Secret))
	settings.SecretKey = key[:]
	electionTimeout := m.fleet.ElectionTimeout
	settings.ProbeInterval = 2 * electionTimeout
	settings.ProbeTimeout = electionTimeout
	settings.AwarenessMaxMultiplier = maxAwarenessMultiplier
	settings.GossipInterval = electionTimeout
	settings.PushPullInterval = rejoinFactor * electionTimeout
	settings.TCPTimeout = 4 * electionTimeout
	settings.LogOutput = newLibraryLogWriter("gossip", gossipLogInterval, gossipLogBurst, m.log)
	settings.Events = m
	settings.Conflict = m
	if m.onReport != nil {
		settings.Delegate = m
		// A report reaches most nodes by way of one or two others, each of which sends it in its own turn.
		settings.GossipInterval = electionTimeout / 3
	}
	return settings, nil
}

// count returns the number of nodes that are alive, at least one.
func (m *membership) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.alive), 1)
}

// rejoinMissing tries to reach nodes that are not alive, until the context ends.
func (m *membership) rejoinMissing(ctx context.Context) {
	ticker := time.NewTicker(rejoinFactor * m.fleet.ElectionTimeout)
	defer ticker.Stop()
	for {
		for _, address := range m.missing() {
			if ctx.Err() == nil {
				// A node that is not reached is tried again in the next round.
				_, _ = m.list.Join([]string{address})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// missing returns the addresses to join at, and those of nodes that were alive once, without those that are alive.
func (m *membership) missing() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := map[string]bool{}
	for _, address := range m.alive {
		alive[address] = true
	}
	addresses := slices.Clone(m.fleet.Join)
	for _, address := range m.gone {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return alive[address] })
}

// leave tells the other nodes that this one leaves, and ends its part.
func (m *membership) leave() {
	m.cancel()
	// Nodes that this was not told to find out by their health checks.
	_ = m.list.Leave(m.fleet.ElectionTimeout)
	m.shutdown()
}

// shutdown ends this process's part without telling the others, as another process of the node continues.
func (m *membership) shutdown() {
	m.cancel()
	// It fails only if it was called before.
	_ = m.list.Shutdown()
	m.tasks.Wait()
}

// NotifyJoin implements memberlist.EventDelegate.
func (m *membership) NotifyJoin(node *memberlist.Node) {
	m.mu.Lock()
	delete(m.gone, node.Name)
	m.alive[node.Name] = node.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", node.Name).Msg("member joined")
	m.onChange()
}

// NotifyLeave implements memberlist.EventDelegate. It is called for nodes that left and for those taken for dead.
func (m *membership) NotifyLeave(node *memberlist.Node) {
	m.mu.Lock()
	delete(m.alive, node.Name)
	m.gone[node.Name] = node.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", node.Name).Msg("member left")
	m.onChange()
}

// NotifyUpdate implements memberlist.EventDelegate.
func (m *membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict implements memberlist.ConflictDelegate. Two nodes of one name both use the floors that were set aside
// for one.
func (m *membership) NotifyConflict(existing, other *memberlist.Node) {
	m.mu.Lock()
	_, known := m.duplicates[existing.Name]
	m.duplicates[existing.Name] = other.Address()
	m.mu.Unlock()
	if known {
		return
	}
	m.log.Error().
		Str("name", existing.Name).
		Str("at", existing.Address()).
		Str("and_at", other.Address()).
		Msg("two nodes have the same name; rename one of them")
}

// names returns the nodes that are alive, in order.
func (m *membership) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.alive))
}

// MemberStatus is one node as this one knows it.
type MemberStatus struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	State            string `json:"state"`              // alive or gone
	DuplicateAddress string `json:"twice_at,omitempty"` // of another node of the same name
}

func (m *membership) status() []MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []MemberStatus
	add := func(state string, addresses map[string]string) {
		for name, address := range addresses {
			members = append(members, MemberStatus{
				Name:             name,
				Address:          address,
				State:            state,
				DuplicateAddress: m.duplicates[name],
			})
		}
	}
	add("alive", m.alive)
	add("gone", m.gone)
	slices.SortFunc(members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return members
}
