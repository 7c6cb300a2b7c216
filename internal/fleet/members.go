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

// members is who is there, as nodes tell each other. It is a hint: nothing that has to hold rests on it.
type members struct {
	name string
	plan *config.Fleet
	log  zerolog.Logger
	list *memberlist.Memberlist
	all  sync.WaitGroup
	stop context.CancelFunc
	told func()       // of each change
	hear func([]byte) // what others say of executors; nil: that is off
	says memberlist.TransmitLimitedQueue

	mu        sync.Mutex
	there     map[string]string // by name: the addresses of those that are there, copied as the library tells of them
	gone      map[string]string // of those that were
	conflicts map[string]string // names that two nodes have: the other one's address
}

// rejoin is between two looks for those that are not there, in paces. Danger: two halves of a fleet that took each other for
// dead during a split never call each other again.
const rejoin = 10

// meet takes part in the gossip.
func meet(ctx context.Context, name string, plan *config.Fleet, told func(), hear func([]byte), log zerolog.Logger) (*members, error) {
	ctx, stop := context.WithCancel(ctx)
	m := &members{name: name, plan: plan, log: log, stop: stop, told: told, hear: hear, there: map[string]string{}, gone: map[string]string{}, conflicts: map[string]string{}}
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
	c.GossipInterval, c.PushPullInterval = plan.ElectionTimeout, rejoin*plan.ElectionTimeout
	c.TCPTimeout = 4 * plan.ElectionTimeout
	c.LogOutput = &libraryLogWriter{log, "gossip", rate.NewLimiter(1, 2)}
	c.Events, c.Conflict = m, m
	if hear != nil {
		c.Delegate, c.GossipInterval = m, plan.ElectionTimeout/3 // news of failures goes two or three nodes far, each in its turn
	}
	m.says.RetransmitMult, m.says.NumNodes = 2, func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return max(len(m.there), 1)
	}
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: c.BindPort, Logger: nil})
	if err != nil {
		stop()
		return nil, err
	}
	c.Transport = &routes{inner, plan.Routes}
	if m.list, err = memberlist.Create(c); err != nil {
		inner.Shutdown()
		stop()
		return nil, err
	}
	m.all.Go(func() { m.seek(ctx) })
	return m, nil
}

// seek calls those that are not there: the ones to join at, and those that were there before.
func (m *members) seek(ctx context.Context) {
	tick := time.NewTicker(rejoin * m.plan.ElectionTimeout)
	defer tick.Stop()
	for {
		there := map[string]bool{}
		var missing []string
		m.mu.Lock()
		for _, address := range m.there {
			there[address] = true
		}
		for _, address := range m.gone {
			missing = append(missing, address)
		}
		m.mu.Unlock()
		for _, address := range slices.Compact(slices.Sorted(slices.Values(append(missing, m.plan.Join...)))) {
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
func (m *members) leave(told bool) {
	m.stop()
	if told {
		m.list.Leave(m.plan.ElectionTimeout)
	}
	m.list.Shutdown()
	m.all.Wait()
}

// NotifyJoin implements memberlist.EventDelegate, as do the two after it.
func (m *members) NotifyJoin(n *memberlist.Node) { m.heard(n, true) }

// NotifyLeave is told of nodes that left, or are taken for dead.
func (m *members) NotifyLeave(n *memberlist.Node) { m.heard(n, false) }

// NotifyUpdate is told of nodes that have changed.
func (m *members) NotifyUpdate(*memberlist.Node) {}

func (m *members) heard(n *memberlist.Node, there bool) {
	m.mu.Lock()
	from, to := m.there, m.gone
	if there {
		from, to = to, from
	}
	delete(from, n.Name)
	to[n.Name] = n.Address()
	m.mu.Unlock()
	m.log.Info().Str("member", n.Name).Bool("there", there).Msg("members")
	m.told()
}

// said is one piece of news of a node; it takes the place of the one before, told or not.
type said struct {
	node string
	text []byte
}

func (s said) Invalidates(memberlist.Broadcast) bool { return false }
func (s said) Name() string                          { return s.node }
func (s said) Message() []byte                       { return s.text }
func (s said) Finished()                             {}

// say has a node's news go about with gossip, in place of its older ones. Danger: news without bound; what does not fit into gossip's
// packets waits, and is overtaken.
func (m *members) say(node string, text []byte) { m.says.QueueBroadcast(said{node, text}) }

// NodeMeta implements memberlist.Delegate, as do the four after it.
func (m *members) NodeMeta(int) []byte   { return nil }
func (m *members) NotifyMsg(text []byte) { m.hear(text) }
func (m *members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.says.GetBroadcasts(overhead, limit)
}
func (m *members) LocalState(bool) []byte                    { return nil }
func (m *members) MergeRemoteState(text []byte, joined bool) {}

// names of those that are there.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.there))
}

// NotifyConflict implements memberlist.ConflictDelegate.
// Danger: two nodes of one name have one node's floors together, each all of them.
func (m *members) NotifyConflict(existing, other *memberlist.Node) {
	m.mu.Lock()
	_, was := m.conflicts[existing.Name]
	m.conflicts[existing.Name] = other.Address()
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

func (m *members) read() (out []MemberStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for state, of := range map[string]map[string]string{"alive": m.there, "gone": m.gone} {
		for name, address := range of {
			out = append(out, MemberStatus{name, address, state, m.conflicts[name]})
		}
	}
	slices.SortFunc(out, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// routes is a transport that reaches some addresses by others.
type routes struct {
	*memberlist.NetTransport
	to map[string]string
}

func (r *routes) way(address string) string {
	if to, is := r.to[address]; is {
		return to
	}
	return address
}

func (r *routes) WriteTo(b []byte, address string) (time.Time, error) {
	return r.NetTransport.WriteTo(b, r.way(address))
}

func (r *routes) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = r.way(a.Addr)
	return r.NetTransport.WriteToAddress(b, a)
}

func (r *routes) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return r.NetTransport.DialTimeout(r.way(address), timeout)
}

func (r *routes) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = r.way(a.Addr)
	return r.NetTransport.DialAddressTimeout(a, timeout)
}
