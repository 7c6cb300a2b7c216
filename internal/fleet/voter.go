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
	// maxConnections bounds the connections to a voter. Each of at most 4,096 nodes holds one or two.
	maxConnections = 10_000
	// maxHeaderBytes bounds the headers of one HTTP call.
	maxHeaderBytes = 4096
	// handshakeTimeout bounds how long a connection may take to say what it is, and a call to arrive.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long an HTTP connection stays open between two calls.
	idleTimeout = time.Minute
	// trailingLogs is how many entries behind a snapshot are kept, so that a voter that lags is sent entries one by one
	// instead of the snapshot.
	trailingLogs = 4096
	// snapshotThreshold is the number of entries after which a snapshot is made.
	snapshotThreshold = 8192
	// raftMaxPool is the number of idle raft connections that are kept to each other voter.
	raftMaxPool = 3
	// raftLogInterval is the least time between two log lines of the raft library.
	raftLogInterval = time.Second
	// raftLogBurst is how many log lines of the raft library may come at once.
	raftLogBurst = 5
)

// voterConfig is what a voter is started with.
type voterConfig struct {
	name   string // of this node
	fleet  *config.Fleet
	clock  Clock
	client *voterClient // calls the other voters
	log    zerolog.Logger
}

// voter is a member of the raft cluster that grants leases. All voters replicate the ledger; the elected one, the
// leader, answers lease requests.
type voter struct {
	name   string // of this node
	id     string // node name, "/" and a random part that is lost together with the durable state
	cfg    *config.Fleet
	clock  Clock
	client *voterClient
	log    zerolog.Logger

	state    *stateMachine
	raft     *raft.Raft
	store    io.Closer // nil where the state is in memory
	streams  *streamLayer
	server   *http.Server
	pending  chan *pendingRequest
	commands chan *adminCommand

	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	closed     chan struct{} // closed once no bytes leave this voter any more
	quorumLost chan struct{} // closed once the cluster can never elect a leader again

	mu           sync.Mutex         // guards what follows
	skewedClocks map[string]float64 // by node: the rate of its clock by the leader's, where that is beyond the margin
	diskError    string             // of the latest write; empty if that succeeded
	termError    string             // why the latest leader term of this voter ended
	serving      bool               // this voter is the leader and answers lease requests
}

// startVoter opens the voter's state and serves its peers on the listener. If it fails the caller has to close the
// listener.
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
	// Serve ends with the queue that it accepts from, which fails once it is closed and in no other way.
	v.tasks.Go(func() { _ = v.server.Serve(v.streams.httpQueue) })
	v.tasks.Go(v.streams.acceptConnections)
	v.tasks.Go(func() { v.runLeader(ctx) })
	v.tasks.Go(func() { v.discoverCluster(ctx) })
	return v, nil
}

// startRaft opens the durable state and starts the raft library over it.
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
	// The listener is only closed twice at worst, and connections have nothing to flush.
	_ = v.streams.Close()
	close(v.closed)
	// The future waits for the end of the library's goroutines; it never carries an error.
	_ = v.raft.Shutdown().Error()
	v.tasks.Wait()
	v.closeStore()
}

func (v *voter) closeStore() {
	if v.store != nil {
		v.store.Close()
	}
}

// randomID returns an identifier that no process had before.
func randomID() string {
	b := make([]byte, 8)
	rand.Read(b) // never fails: it ends the process instead
	return hex.EncodeToString(b)
}

// newVoterID returns the id of a voter that has no state yet.
func newVoterID(node string) string { return node + "/" + randomID() }

// nodeName returns the node's name in a voter's id.
func nodeName(voterID string) string {
	name, _, _ := strings.Cut(voterID, "/")
	return name
}
