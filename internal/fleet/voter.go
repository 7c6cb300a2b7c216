// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

const (
	// maxConnections bounds the connections to a voter. Each of at most 4,096 nodes opens one or two.
	maxConnections = 10_000
	// maxHeaderBytes bounds the headers of one HTTP call.
	maxHeaderBytes = 4096
	// handshakeTimeout bounds the handshake of a connection and the receipt of one HTTP call.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long an HTTP connection stays open between two calls.
	idleTimeout = time.Minute
	// trailingLogs is the number of log entries kept after a snapshot, so that a voter that lags receives log
	// entries instead of the snapshot.
	trailingLogs = 4096
	// snapshotThreshold is the number of log entries after which a snapshot is taken.
	snapshotThreshold = 8192
	// raftMaxPool is the number of idle raft connections that are kept to each other voter.
	raftMaxPool = 3
	// raftLogInterval is the interval at which further log lines of the raft library are allowed after a
	// burst.
	raftLogInterval = time.Second
	// raftLogBurst is the number of log lines of the raft library that may be logged at once.
	raftLogBurst = 5
)

// voterConfig is the configuration of a voter.
type voterConfig struct {
	name   string // of this node
	fleet  *config.Fleet
	clock  Clock
	client *voterClient // calls the other voters
	log    zerolog.Logger
}

// voter is a member of the raft cluster that grants leases. All voters replicate the ledger; the elected one,
// the leader, answers lease requests.
type voter struct {
	name   string // of this node
	id     string // node name, "/" and a random part, which is lost together with the durable state
	cfg    *config.Fleet
	clock  Clock
	client *voterClient
	log    zerolog.Logger

	state    *stateMachine
	raft     *raft.Raft
	store    io.Closer // nil if the state is in memory
	streams  *streamLayer
	server   *http.Server
	pending  chan *pendingRequest
	commands chan *adminCommand

	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	closed     chan struct{} // closed once this voter's connections are closed and it sends no more data
	quorumLost chan struct{} // closed once the cluster can never elect a leader again

	mu           sync.Mutex         // guards the fields below
	skewedClocks map[string]float64 // clock rates relative to the leader's, by node, if beyond the margin
	diskError    string             // of the latest write; empty if it succeeded
	termError    string             // why the latest leader term of this voter ended
	serving      bool               // this voter is the leader and answers lease requests
}

// startVoter opens the voter's state and serves nodes and voters on the listener. If it fails, the caller
// must close the listener.
func startVoter(ctx context.Context, listener net.Listener, c voterConfig) (*voter, error) {
	ctx, cancel := context.WithCancel(ctx)
	v := &voter{
		name:         c.name,
		cfg:          c.fleet,
		clock:        c.clock,
		client:       c.client,
		log:          c.log,
		state:        &stateMachine{ledger: budget.NewLedger()},
		pending:      make(chan *pendingRequest, maxPending),
		commands:     make(chan *adminCommand),
		cancel:       cancel,
		closed:       make(chan struct{}),
		quorumLost:   make(chan struct{}),
		skewedClocks: map[string]float64{},
	}
	if err := v.startRaft(listener); err != nil {
		cancel()
		v.closeStore()
		return nil, fmt.Errorf("fleet.dir: %w", err)
	}
	v.server = v.newServer()
	// Serve returns only after the queue is closed; the queue's Accept has no other error.
	v.tasks.Go(func() { _ = v.server.Serve(v.streams.httpQueue) })
	v.tasks.Go(v.streams.acceptConnections)
	v.tasks.Go(func() { v.runLeader(ctx) })
	v.tasks.Go(func() { v.discoverCluster(ctx) })
	return v, nil
}

// startRaft opens the durable state and starts the raft library with it.
func (v *voter) startRaft(listener net.Listener) error {
	storage, err := v.openStore()
	if err != nil {
		return err
	}
	v.streams = newStreamLayer(netutil.LimitListener(listener, maxConnections), v.id, v.cfg, v.client, v.log)
	settings := v.raftConfig()
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  v.streams,
		MaxPool: raftMaxPool,
		Timeout: 4 * v.cfg.ElectionTimeout,
		Logger:  settings.Logger,
	})
	v.raft, err = raft.NewRaft(settings, v.state, storage.logs, storage.stable, storage.snapshots, transport)
	return err
}

func (v *voter) raftConfig() *raft.Config {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(v.id)
	settings.HeartbeatTimeout = v.cfg.ElectionTimeout
	settings.ElectionTimeout = v.cfg.ElectionTimeout
	settings.LeaderLeaseTimeout = v.cfg.ElectionTimeout / 2
	settings.CommitTimeout = max(v.cfg.ElectionTimeout/10, time.Millisecond)
	settings.SnapshotThreshold = snapshotThreshold
	settings.TrailingLogs = trailingLogs
	settings.Logger = hclog.New(&hclog.LoggerOptions{
		Output:      newLibraryLogWriter("raft", raftLogInterval, raftLogBurst, v.log),
		Level:       hclog.Warn,
		DisableTime: true,
	})
	return settings
}

// close ends the voter and waits for its goroutines.
func (v *voter) close() {
	v.cancel()
	v.server.Close()
	// The only possible error is that the listener is already closed; connections have nothing to flush.
	_ = v.streams.Close()
	close(v.closed)
	// The future waits for the library's goroutines to end; it never returns an error.
	_ = v.raft.Shutdown().Error()
	v.tasks.Wait()
	v.closeStore()
}

func (v *voter) closeStore() {
	if v.store != nil {
		v.store.Close()
	}
}

// randomID returns a random 64-bit identifier. It identifies a process or a voter, so none may be used twice.
func randomID() string {
	b := make([]byte, 8)
	rand.Read(b) // never returns an error: it crashes the process instead
	return hex.EncodeToString(b)
}

// newVoterID returns an id for a voter without state.
func newVoterID(node string) string { return node + "/" + randomID() }

// nodeName returns the name of the node from a voter's id.
func nodeName(voterID string) string {
	name, _, _ := strings.Cut(voterID, "/")
	return name
}
