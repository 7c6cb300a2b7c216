// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
)

// lineCounter counts the lines that are written to it.
type lineCounter struct {
	mu    sync.Mutex
	lines int
}

func (c *lineCounter) Write(text []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += bytes.Count(text, []byte("\n"))
	return len(text), nil
}

// count returns the number of lines written.
func (c *lineCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines
}

// joinTestGossip starts the gossip of one node with short intervals.
func joinTestGossip(t *testing.T, name, address string, seeds []string, log zerolog.Logger) *membership {
	t.Helper()
	m, err := joinGossip(context.Background(), gossipConfig{
		name: name,
		fleet: &config.Fleet{
			GossipAddress:   address,
			GossipSeeds:     seeds,
			Secret:          "a secret of the test",
			ElectionTimeout: 300 * time.Millisecond,
		},
		onChange: func() {},
		log:      log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.shutdown)
	return m
}

func freeGossipAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestGossipSurvivesGarbage sends empty, short and random datagrams and streams, which need no secret, to the
// gossip address. The library logs each one; without a logger, one empty datagram ended the process. The node
// must stay a member, a new node must be able to join, and the log lines must be bounded.
func TestGossipSurvivesGarbage(t *testing.T) {
	const datagrams, streams = 50000, 300
	logged := &lineCounter{}
	address := freeGossipAddress(t)
	m := joinTestGossip(t, "a", address, nil, zerolog.New(logged))
	start := time.Now()
	random := rand.New(rand.NewPCG(66, 1))
	garbage := func() []byte {
		text := make([]byte, random.IntN(1400)*random.IntN(2))
		for i := range text {
			text[i] = byte(random.Uint32())
		}
		return text
	}
	socket, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for range datagrams {
		socket.Write(garbage())
	}
	for range streams {
		stream, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(garbage())
		stream.Close()
	}
	other := joinTestGossip(t, "b", freeGossipAddress(t), []string{address}, zerolog.Nop())
	for waitStart := time.Now(); len(m.names()) < 2 || len(other.names()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(waitStart) > 10*time.Second {
			t.Fatalf("got members %v and %v after garbage, want a and b at both", m.names(), other.names())
		}
	}
	if names := m.names(); !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("got members %s, want a and b", strings.Join(names, ", "))
	}
	seconds := time.Since(start)/gossipLogInterval + 1
	// Besides the library's lines there is one for each node that joins.
	if limit := gossipLogBurst + int(seconds) + 2; logged.count() > limit {
		t.Errorf("got %d log lines in %d s, want at most %d", logged.count(), seconds, limit)
	}
}

// silentPeer listens at an address and accepts connections, but never sends a byte, as a suspended process.
func silentPeer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// TestGossipShutdownBesideSilentPeers checks that the end of gossip does not wait for calls to peers that do not
// answer. A shutdown of the node that waits for it answers its clients late.
func TestGossipShutdownBesideSilentPeers(t *testing.T) {
	const limit = 300 * time.Millisecond // the library waits for each peer for 4 election timeouts, 1.2 s
	peers := []string{silentPeer(t), silentPeer(t), silentPeer(t), silentPeer(t), silentPeer(t), silentPeer(t)}
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond} {
		m := joinTestGossip(t, "a", freeGossipAddress(t), peers, zerolog.Nop())
		time.Sleep(after)
		start := time.Now()
		if m.shutdown(); time.Since(start) > limit {
			t.Errorf("shutdown after %v took %v, want at most %v", after, time.Since(start), limit)
		}
	}
}
