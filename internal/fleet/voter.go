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
	"golang.org/x/time/rate"

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

const (
	batchWindow       = 5 * time.Millisecond // in which requests are taken down together; one write to disk serves them all
	maxBatch          = 512                  // requests taken down at once, at most
	maxPending        = 4096                 // requests that wait at a seat; more are turned away
	expiryInterval    = 25 * time.Millisecond
	maxConnections    = 10000 // connections to a seat at most; each of the 4,096 nodes that any fleet may have has one or two
	handshakeTimeout  = 2 * time.Second
	trailingLogs      = 4096 // entries behind a snapshot that a seat which lags can still be sent one by one
	snapshotThreshold = 8192 // entries after which one is made
)

// voter is a member of the group that grants.
type voter struct {
	name, id   string // id: of this seat's memory; another one once that is lost
	cfg        *config.Fleet
	clock      Clock
	client     *voterClient
	log        zerolog.Logger
	state      *stateMachine
	raft       *raft.Raft
	store      io.Closer // nil: in memory
	streams    *streamLayer
	server     *http.Server
	pending    chan *pendingRequest
	commands   chan *adminCommand
	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	closed     chan struct{} // closed once nothing goes out any more
	quorumLost chan struct{} // closed once the group can never decide again, and this seat has to forget it

	mu           sync.Mutex
	skewedClocks map[string]float64 // beyond the margin: their rates by ours
	diskError    string             // its fault, while the seat waits for it
	termError    string             // why it does not grant, though it was elected
	serving      bool
	rejected     int64
}

// startVoter opens the seat's memory and its door, on a listener that the caller closes if this fails.
func startVoter(ctx context.Context, name string, l net.Listener, plan *config.Fleet, clock Clock, c *voterClient, log zerolog.Logger) (*voter, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &voter{name: name, cfg: plan, clock: clock, client: c, log: log, state: &stateMachine{ledger: budget.NewLedger()}, skewedClocks: map[string]float64{}, pending: make(chan *pendingRequest, maxPending), commands: make(chan *adminCommand), cancel: stop, closed: make(chan struct{}), quorumLost: make(chan struct{})}
	fail := func(err error) (*voter, error) {
		stop()
		if s.store != nil {
			s.store.Close()
		}
		return nil, err
	}
	logs, stable, snaps, err := s.openStore()
	if err != nil {
		return fail(fmt.Errorf("fleet.dir: %w", err))
	}
	s.streams = newStreamLayer(netutil.LimitListener(l, maxConnections), s.id, plan, c, log)
	c0 := raft.DefaultConfig()
	c0.LocalID = raft.ServerID(s.id)
	c0.HeartbeatTimeout, c0.ElectionTimeout, c0.LeaderLeaseTimeout = plan.ElectionTimeout, plan.ElectionTimeout, plan.ElectionTimeout/2
	c0.CommitTimeout = max(plan.ElectionTimeout/10, time.Millisecond)
	c0.SnapshotThreshold, c0.TrailingLogs = snapshotThreshold, trailingLogs
	c0.Logger = hclog.New(&hclog.LoggerOptions{Output: &libraryLogWriter{log, "raft", rate.NewLimiter(1, 5)}, Level: hclog.Warn, DisableTime: true})
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.streams, MaxPool: 3, Timeout: 4 * plan.ElectionTimeout, Logger: c0.Logger})
	if s.raft, err = raft.NewRaft(c0, s.state, logs, stable, snaps, transport); err != nil {
		return fail(fmt.Errorf("fleet.dir: %w", err))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ask", s.handleLease)
	mux.HandleFunc("POST /who", s.handleStatus)
	mux.HandleFunc("POST /admit", s.handleJoin)
	mux.HandleFunc("POST /whole", s.handleSetTotal)
	s.server = &http.Server{Handler: s.authenticate(mux), ReadTimeout: handshakeTimeout, WriteTimeout: handshakeTimeout + time.Duration(plan.Agreement.Lease), IdleTimeout: time.Minute,
		MaxHeaderBytes: 4096, ErrorLog: nil}
	s.tasks.Go(func() { s.server.Serve(s.streams.httpQueue) })
	s.tasks.Go(s.streams.acceptConnections)
	s.tasks.Go(func() { s.runLeader(ctx) })
	s.tasks.Go(func() { s.discoverCluster(ctx) })
	return s, nil
}

// close ends the seat's part.
func (s *voter) close() {
	s.cancel()
	s.server.Close()
	s.streams.Close()
	close(s.closed)
	s.raft.Shutdown().Error()
	s.tasks.Wait()
	if s.store != nil {
		s.store.Close()
	}
}

// nodeName is the node's name in a seat's id.
func nodeName(id string) string { name, _, _ := strings.Cut(id, "/"); return name }

// randomID is a name that no process before this one had.
func randomID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}
