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
	"golang.org/x/time/rate"

	"fernrail/internal/config"
)

// membership is who is there, as nodes tell each other. It is a hint: nothing that has to hold rests on it.
type membership struct {
	name       string
	cfg        *config.Fleet
	log        zerolog.Logger
	list       *memberlist.Memberlist
	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	onChange   func()       // of each change
	onReport   func([]byte) // what others say of executors; nil: that is off
	broadcasts memberlist.TransmitLimitedQueue

	mu         sync.Mutex
	alive      map[string]string // by name: the addresses of those that are there, copied as the library tells of them
	gone       map[string]string // of those that were
	duplicates map[string]string // names that two nodes have: the other one's address
}

// rejoinIntervals is between two looks for those that are not there, in paces. Danger: two halves of a fleet that took each other for
// dead during a split never call each other again.
const rejoinIntervals = 10

// joinGossip takes part in the gossip.
func joinGossip(ctx context.Context, name string, plan *config.Fleet, told func(), hear func([]byte), log zerolog.Logger) (*membership, error) {
	ctx, stop := context.WithCancel(ctx)
	m := &membership{name: name, cfg: plan, log: log, cancel: stop, onChange: told, onReport: hear, alive: map[string]string{}, gone: map[string]string{}, duplicates: map[string]string{}}
	host, port, err := net.SplitHostPort(plan.Gossip)
	if err != nil {
		stop()
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.AdvertiseAddr = name, host, host
	if c.BindPort, err = strconv.Atoi(port); err != nil {
		stop()
		return nil, err
	}
	c.AdvertisePort = c.BindPort
	key := sha256.Sum256(fmt.Appendf(nil, "fernrail gossip %d %s", protocolVersion, plan.Secret))
	c.SecretKey = key[:]
	c.ProbeInterval, c.ProbeTimeout = 2*plan.ElectionTimeout, plan.ElectionTimeout
	c.AwarenessMaxMultiplier = 2 // a node that is cut off looks at the others as often, or nearly
	c.GossipInterval, c.PushPullInterval = plan.ElectionTimeout, rejoinIntervals*plan.ElectionTimeout
	c.TCPTimeout = 4 * plan.ElectionTimeout
	c.LogOutput = &libraryLogWriter{log, "gossip", rate.NewLimiter(1, 2)}
	c.Events, c.Conflict = m, m
	if hear != nil {
		c.Delegate, c.GossipInterval = m, plan.ElectionTimeout/3 // news of failures goes two or three nodes far, each in its turn
	}
	m.broadcasts.RetransmitMult, m.broadcasts.NumNodes = 2, func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return max(len(m.alive), 1)
	}
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: c.BindPort, Logger: nil})
	if err != nil {
		stop()
		return nil, err
	}
	c.Transport = &routedTransport{inner, plan.Routes}
	if m.list, err = memberlist.Create(c); err != nil {
		inner.Shutdown()
		stop()
		return nil, err
	}
	m.tasks.Go(func() { m.rejoinMissing(ctx) })
	return m, nil
}

// rejoinMissing calls those that are not there: the ones to join at, and those that were there before.
func (m *membership) rejoinMissing(ctx context.Context) {
	tick := time.NewTicker(rejoinIntervals * m.cfg.ElectionTimeout)
	defer tick.Stop()
	for {
		there := map[string]bool{}
		var missing []string
		m.mu.Lock()
		for _, address := range m.alive {
			there[address] = true
		}
		for _, address := range m.gone {
			missing = append(missing, address)
		}
		m.mu.Unlock()
		for _, address := range slices.Compact(slices.Sorted(slices.Values(append(missing, m.cfg.Join...)))) {
			if !there[address] && ctx.Err() == nil {
				m.list.Join([]string{address})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// leave ends it; told says that the others are to hear of it, which they are not where another process of the node goes on.
func (m *membership) leave(told bool) {
	m.cancel()
	if told {
		m.list.Leave(m.cfg.ElectionTimeout)
	}
	m.list.Shutdown()
	m.tasks.Wait()
}

// NotifyJoin implements memberlist.EventDelegate, as do the two after it.
func (m *membership) NotifyJoin(n *memberlist.Node) { m.recordMember(n, true) }

// NotifyLeave is told of nodes that left, or are taken for dead.
func (m *membership) NotifyLeave(n *memberlist.Node) { m.recordMember(n, false) }

// NotifyUpdate is told of nodes that have changed.
func (m *membership) NotifyUpdate(*memberlist.Node) {}

func (m *membership) recordMember(n *memberlist.Node, there bool) {
	m.mu.Lock()
	from, to := m.alive, m.gone
	if there {
		from, to = to, from
	}
	delete(from, n.Name)
	to[n.Name] = n.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", n.Name).Bool("there", there).Msg("members")
	m.onChange()
}

// reportBroadcast is one piece of news of a node; it takes the place of the one before, told or not.
type reportBroadcast struct {
	node    string
	payload []byte
}

func (s reportBroadcast) Invalidates(memberlist.Broadcast) bool { return false }
func (s reportBroadcast) Name() string                          { return s.node }
func (s reportBroadcast) Message() []byte                       { return s.payload }
func (s reportBroadcast) Finished()                             {}

// broadcast has a node's news go about with gossip, in place of its older ones. Danger: news without bound; what does not fit into gossip's
// packets waits, and is overtaken.
func (m *membership) broadcast(node string, text []byte) {
	m.broadcasts.QueueBroadcast(reportBroadcast{node, text})
}

// NodeMeta implements memberlist.Delegate, as do the four after it.
func (m *membership) NodeMeta(int) []byte   { return nil }
func (m *membership) NotifyMsg(text []byte) { m.onReport(text) }
func (m *membership) GetBroadcasts(overhead, limit int) [][]byte {
	return m.broadcasts.GetBroadcasts(overhead, limit)
}
func (m *membership) LocalState(bool) []byte                    { return nil }
func (m *membership) MergeRemoteState(text []byte, joined bool) {}

// names of those that are there.
func (m *membership) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.alive))
}

// NotifyConflict implements memberlist.ConflictDelegate.
// Danger: two nodes of one name have one node's floors together, each all of them.
func (m *membership) NotifyConflict(existing, other *memberlist.Node) {
	m.mu.Lock()
	_, was := m.duplicates[existing.Name]
	m.duplicates[existing.Name] = other.Address()
	m.mu.Unlock()
	if !was {
		m.log.Error().Str("name", existing.Name).Str("at", existing.Address()).Str("and_at", other.Address()).Msg("two nodes have one name: rename one of them")
	}
}

// MemberStatus is one node as this one believes.
type MemberStatus struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	State            string `json:"state"`              // alive, suspect, gone
	DuplicateAddress string `json:"twice_at,omitempty"` // another node of the same name
}

func (m *membership) status() (out []MemberStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for state, of := range map[string]map[string]string{"alive": m.alive, "gone": m.gone} {
		for name, address := range of {
			out = append(out, MemberStatus{name, address, state, m.duplicates[name]})
		}
	}
	slices.SortFunc(out, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// routedTransport is a transport that reaches some addresses by others.
type routedTransport struct {
	*memberlist.NetTransport
	routes map[string]string
}

func (r *routedTransport) route(address string) string {
	if to, is := r.routes[address]; is {
		return to
	}
	return address
}

func (r *routedTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return r.NetTransport.WriteTo(b, r.route(address))
}

func (r *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = r.route(a.Addr)
	return r.NetTransport.WriteToAddress(b, a)
}

func (r *routedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return r.NetTransport.DialTimeout(r.route(address), timeout)
}

func (r *routedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = r.route(a.Addr)
	return r.NetTransport.DialAddressTimeout(a, timeout)
}
