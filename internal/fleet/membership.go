// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log"
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
	// rejoinFactor is the time between two attempts to reach nodes that are not alive, in election timeouts.
	// Without these attempts, two halves of a fleet that declared each other dead during a network partition
	// would never join again.
	rejoinFactor = 10
	// maxAwarenessMultiplier bounds how much a disconnected node lowers its probe rate, so that it still
	// probes the others nearly as often as usual.
	maxAwarenessMultiplier = 2
	// retransmitFactor scales the number of times that each node retransmits a report.
	retransmitFactor = 2
	// gossipLogInterval is the interval at which further log lines of the gossip library are allowed after a
	// burst.
	gossipLogInterval = time.Second
	// gossipLogBurst is the number of log lines of the gossip library that may be logged at once.
	gossipLogBurst = 2
)

// gossipConfig is the configuration of a process's gossip.
type gossipConfig struct {
	name     string // of this node
	fleet    *config.Fleet
	onChange func()       // called after nodes joined or left
	onReport func([]byte) // called with each report on servers; nil: reports are not exchanged
	log      zerolog.Logger
}

// membership tracks by gossip which nodes are alive. No budget depends on it.
type membership struct {
	gossipConfig
	list       *memberlist.Memberlist
	broadcasts memberlist.TransmitLimitedQueue
	tasks      sync.WaitGroup
	cancel     context.CancelFunc

	mu         sync.Mutex        // guards the fields below
	alive      map[string]string // addresses of live nodes by name, from notifications
	departed   map[string]string // addresses of nodes that were alive before, by name
	duplicates map[string]string // by name: the address of another node of the same name
}

// joinGossip starts the process's gossip with the fleet.
func joinGossip(ctx context.Context, c gossipConfig) (*membership, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &membership{
		gossipConfig: c,
		cancel:       cancel,
		alive:        map[string]string{},
		departed:     map[string]string{},
		duplicates:   map[string]string{},
	}
	m.broadcasts.RetransmitMult = retransmitFactor
	m.broadcasts.NumNodes = m.count
	if err := m.create(ctx); err != nil {
		cancel()
		return nil, err
	}
	m.tasks.Go(func() { m.rejoinMissing(ctx) })
	return m, nil
}

// create binds the gossip address and starts the library. Its calls to other nodes end with the context.
func (m *membership) create(ctx context.Context) error {
	settings, err := m.settings()
	if err != nil {
		return err
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{settings.BindAddr},
		BindPort:  settings.BindPort,
		// The transport logs errors of its listeners, and would end the process without a logger.
		Logger: log.New(settings.LogOutput, "", 0),
	})
	if err != nil {
		return err
	}
	settings.Transport = &routedTransport{
		NetTransport: transport,
		ctx:          ctx,
		routes:       m.fleet.AddressOverrides,
		streams:      limitGossipStreams(ctx, transport.StreamCh()),
	}
	m.list, err = memberlist.Create(settings)
	if err != nil {
		// The error of Create is the one to report.
		_ = transport.Shutdown()
	}
	return err
}

// settings returns the library's configuration, with all intervals and timeouts proportional to the election
// timeout.
func (m *membership) settings() (*memberlist.Config, error) {
	host, port, err := net.SplitHostPort(m.fleet.GossipAddress)
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
		// A report reaches most nodes through one or two others, each of which adds up to one gossip interval
		// of delay.
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
				// The next round retries a node that was not reached.
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

// missing returns the configured join addresses and the addresses of departed nodes, without those of nodes
// that are alive.
func (m *membership) missing() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := map[string]bool{}
	for _, address := range m.alive {
		alive[address] = true
	}
	addresses := slices.Clone(m.fleet.GossipSeeds)
	for _, address := range m.departed {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return alive[address] })
}

// leave notifies the other nodes that this one leaves, and ends this process's gossip.
func (m *membership) leave() {
	m.cancel()
	// Nodes that miss the notification detect the departure by their probes.
	_ = m.list.Leave(m.fleet.ElectionTimeout)
	m.shutdown()
}

// shutdown ends this process's gossip without notifying the others, since another process of the node
// continues.
func (m *membership) shutdown() {
	m.cancel()
	// Shutdown fails only if it was called before.
	_ = m.list.Shutdown()
	m.tasks.Wait()
}

// NotifyJoin implements memberlist.EventDelegate.
func (m *membership) NotifyJoin(node *memberlist.Node) {
	m.mu.Lock()
	delete(m.departed, node.Name)
	m.alive[node.Name] = node.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", node.Name).Msg("member joined")
	m.onChange()
}

// NotifyLeave implements memberlist.EventDelegate. It is called for nodes that left and for nodes declared
// dead.
func (m *membership) NotifyLeave(node *memberlist.Node) {
	m.mu.Lock()
	delete(m.alive, node.Name)
	m.departed[node.Name] = node.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", node.Name).Msg("member left")
	m.onChange()
}

// NotifyUpdate implements memberlist.EventDelegate.
func (m *membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict implements memberlist.ConflictDelegate. Two nodes with the same name both use the floors
// that were set aside for one node.
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

// names returns the sorted names of the nodes that are alive.
func (m *membership) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.alive))
}

// MemberStatus is the state of one node according to this node's gossip.
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
	add("gone", m.departed)
	slices.SortFunc(members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return members
}
