// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
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

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	budget.LeaseRequest
	response chan *budget.LeaseResponse // nil comes: not granted here
}

// adminCommand is an operators' change of a whole.
type adminCommand struct {
	totals map[string]int64
	done   chan error
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

// openStore opens what the seat has agreed to. Without a directory it begins anew, under another id, at each start.
// Danger: a seat that has lost its memory and answers as before would vote twice in one election, and forget what it had
// agreed to have granted. The id is lost with the memory, and whoever has another id is not part of the group.
func (s *voter) openStore() (logs raft.LogStore, stable raft.StableStore, snaps raft.SnapshotStore, err error) {
	if s.cfg.DataDir == "" {
		s.id = s.name + "/" + randomID()
		store := raft.NewInmemStore()
		return store, store, raft.NewInmemSnapshotStore(), nil
	}
	if err := os.MkdirAll(s.cfg.DataDir, 0o700); err != nil {
		return nil, nil, nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(s.cfg.DataDir, "seat.db"))
	if err != nil {
		return nil, nil, nil, err
	}
	s.store = store
	id, err := store.Get([]byte("fernrail id"))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil, nil, nil, err
	}
	if len(id) == 0 {
		id = []byte(s.name + "/" + randomID())
		if err := store.Set([]byte("fernrail id"), id); err != nil {
			return nil, nil, nil, err
		}
	}
	// Danger: a directory that was another seat's.
	if s.id = string(id); nodeName(s.id) != s.name {
		return nil, nil, nil, fmt.Errorf("%s is the memory of %s", s.cfg.DataDir, nodeName(s.id))
	}
	snaps, err = raft.NewFileSnapshotStoreWithLogger(s.cfg.DataDir, 2, hclog.NewNullLogger())
	own := &retryingStore{store, s}
	return own, own, snaps, err
}

// retryingStore is what the group needs to have written before it goes on: terms and votes. The library ends the whole process if
// that fails. Here it waits: a seat whose disk takes nothing is silent, as a dead one is, and goes on once it does.
type retryingStore struct {
	*raftboltdb.BoltStore
	voter *voter
}

func (d *retryingStore) Set(key, value []byte) error {
	return d.voter.retryWrite(func() error { return d.BoltStore.Set(key, value) })
}

func (d *retryingStore) SetUint64(key []byte, value uint64) error {
	return d.voter.retryWrite(func() error { return d.BoltStore.SetUint64(key, value) })
}

// StoreLog and StoreLogs may fail: the library then lets go of the grant, or leaves the step to the others.
func (d *retryingStore) StoreLog(l *raft.Log) error {
	return d.voter.recordDiskError(d.BoltStore.StoreLog(l))
}

func (d *retryingStore) StoreLogs(l []*raft.Log) error {
	return d.voter.recordDiskError(d.BoltStore.StoreLogs(l))
}

// recordDiskError keeps what the disk said last, for operators.
func (s *voter) recordDiskError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError = ""; err != nil {
		s.diskError = err.Error()
	}
	return err
}

// retryWrite tries until it is written, or the seat is left; then its door is shut, so that nobody hears of what was not.
func (s *voter) retryWrite(write func() error) error {
	for {
		err := s.recordDiskError(write())
		if err == nil {
			return nil
		}
		s.log.Error().Err(err).Msg("the seat's disk takes nothing: it is silent until it does")
		select {
		case <-s.closed:
			return nil
		case <-time.After(time.Second):
		}
	}
}

// nodeName is the node's name in a seat's id.
func nodeName(id string) string { name, _, _ := strings.Cut(id, "/"); return name }

// libraryLogWriter takes a library's log over, by the line and at a bounded rate: a seat that is cut off tells of each try.
type libraryLogWriter struct {
	zerolog.Logger
	library string
	limiter *rate.Limiter
}

func (l *libraryLogWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.Contains(line, "[DEBUG]") || strings.Contains(line, "[INFO]") || !l.limiter.Allow() {
		return len(b), nil
	}
	l.Warn().Str("says", line).Msg(l.library)
	return len(b), nil
}

// stateMachine are the replicated state; raft alone changes it.
type stateMachine struct {
	mu     sync.Mutex
	ledger *budget.Ledger
}

type applyResult struct {
	responses []*budget.LeaseResponse
	err       error
}

func (b *stateMachine) Apply(l *raft.Log) any {
	var e budget.LogEntry
	if err := json.Unmarshal(l.Data, &e); err != nil {
		return applyResult{err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, err := b.ledger.Apply(&e)
	return applyResult{answers, err}
}

func (b *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(b.ledger)
	return ledgerSnapshot(text), err
}

func (b *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	fresh := budget.NewLedger()
	if err := json.NewDecoder(r).Decode(fresh); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger = fresh
	return nil
}

type ledgerSnapshot []byte

func (i ledgerSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (i ledgerSnapshot) Release() {}

// commit has a step agreed on by most seats, and gives what came of it.
// Danger: a seat that was stopped and goes on believes that it is still the one that grants. Nothing is answered before
// most seats have written the step down under its reign, and that proves that no other reign had begun when they did.
func (s *voter) commit(e *budget.LogEntry) ([]*budget.LeaseResponse, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(text, time.Duration(s.cfg.Agreement.Lease))
	if err := f.Error(); err != nil {
		return nil, err
	}
	done := f.Response().(applyResult)
	return done.responses, done.err
}

// runLeader grants for as long as this seat is the elected one.
func (s *voter) runLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case elected := <-s.raft.LeaderCh():
			if !elected {
				continue
			}
		}
		err := s.serveLeases(ctx)
		s.mu.Lock()
		s.serving, s.termError = false, ""
		if err != nil {
			s.termError = err.Error()
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(err).Msg("this seat grants no more")
		s.rejectPending()
		// Danger: a seat with a full disk that stays elected, and grants nothing. The others go on without it.
		if s.raft.State() == raft.Leader {
			s.raft.LeadershipTransfer().Error()
		}
	}
}

// serveLeases is one reign, up to its end.
func (s *voter) serveLeases(ctx context.Context) error {
	if err := s.raft.Barrier(time.Duration(s.cfg.Agreement.Lease)).Error(); err != nil {
		return err
	}
	epoch := s.raft.CurrentTerm()
	if _, err := s.commit(&budget.LogEntry{NewTerm: true, Epoch: epoch, Agreement: &s.cfg.Agreement, ClusterID: randomID()}); err != nil {
		return err
	}
	s.state.mu.Lock()
	reign := budget.NewLeaderTerm(s.state.ledger, epoch, s.clock())
	s.state.mu.Unlock()
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	s.log.Info().Uint64("epoch", epoch).Msg("this seat grants")
	var names []string
	for _, x := range s.cfg.Voters {
		names = append(names, x.Name)
	}
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for s.raft.State() == raft.Leader {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if reign.Unreachable(names, s.clock()) {
				return errors.New("most nodes with seats get no answers of this one")
			}
			s.state.mu.Lock()
			due := reign.DueExpirations(s.clock())
			s.state.mu.Unlock()
			if due != nil {
				if _, err = s.commit(due); err == nil {
					s.state.mu.Lock()
					reign.RecordApplied(s.state.ledger, due, nil, s.clock())
					s.state.mu.Unlock()
				}
			}
		case o := <-s.commands:
			_, err = s.commit(&budget.LogEntry{Epoch: epoch, Totals: o.totals})
			o.done <- err
		case first := <-s.pending:
			err = s.answerBatch(reign, s.collectBatch(first))
		}
		if err != nil {
			return err
		}
	}
	return errors.New("another seat was elected")
}

// recordClockRate keeps the nodes that say their clocks are beyond the margin, and names each as it turns out to be so.
func (s *voter) recordClockRate(node string, of float64) {
	s.mu.Lock()
	_, was := s.skewedClocks[node]
	if of != 0 {
		s.skewedClocks[node] = of
	} else {
		delete(s.skewedClocks, node)
	}
	s.mu.Unlock()
	if of != 0 && !was {
		s.log.Error().Str("clock", node).Float64("rate", of).Float64("margin", s.cfg.Agreement.ClockMargin).Msg("a clock is beyond the margin: its node uses no lease")
	}
}

// collectBatch gathers requests that come within a moment.
func (s *voter) collectBatch(first *pendingRequest) []*pendingRequest {
	all, enough := []*pendingRequest{first}, time.NewTimer(batchWindow)
	defer enough.Stop()
	for len(all) < maxBatch {
		select {
		case a := <-s.pending:
			all = append(all, a)
		case <-enough.C:
			return all
		}
	}
	return all
}

func (s *voter) answerBatch(reign *budget.LeaderTerm, all []*pendingRequest) error {
	e := &budget.LogEntry{Epoch: reign.Epoch}
	for _, a := range all {
		s.recordClockRate(a.Node, a.ClockRate)
		reign.ObserveRequest(&a.LeaseRequest, s.clock())
		e.Requests = append(e.Requests, a.LeaseRequest)
	}
	answers, err := s.commit(e)
	if err == nil {
		s.state.mu.Lock()
		reign.RecordApplied(s.state.ledger, e, answers, s.clock())
		s.state.mu.Unlock()
	}
	for i, a := range all {
		if err != nil {
			a.response <- nil
		} else {
			if answers[i] != nil {
				answers[i].LeaderTime = s.clock()
			}
			a.response <- answers[i]
		}
	}
	return err
}

// rejectPending answers those that still wait.
func (s *voter) rejectPending() {
	for {
		select {
		case a := <-s.pending:
			a.response <- nil
		default:
			return
		}
	}
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

// statusResponse is what a seat says of itself.
type statusResponse struct {
	Name  string `json:"name"`
	ID    string `json:"id"`
	Blank bool   `json:"blank"`
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

// authenticate lets calls of this fleet in, and no others.
func (s *voter) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if !s.client.isAuthentic(r.Header.Get(tokenHeader)) {
			s.streams.rejectUnauthenticated("a call of no node of this fleet and version")
			out.Header().Set("Connection", "close")
			http.Error(out, "not of this fleet, or of another version", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(out, r.Body, maxBodyBytes)
		next.ServeHTTP(out, r)
	})
}

func decodeRequest(out http.ResponseWriter, r *http.Request, in any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(in); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *voter) handleLease(out http.ResponseWriter, r *http.Request) {
	a := &pendingRequest{response: make(chan *budget.LeaseResponse, 1)}
	if !decodeRequest(out, r, &a.LeaseRequest) {
		return
	}
	if pact, founded := s.agreementDigest(); founded && r.Header.Get(agreementHeader) != pact {
		http.Error(out, errAgreementMismatch.Error(), http.StatusConflict)
		return
	}
	if a.Node == "" || a.Holder == "" || len(a.Node)+len(a.Holder) > 256 {
		http.Error(out, "no name", http.StatusBadRequest)
		return
	}
	var given *budget.LeaseResponse
	if s.isServing() {
		select {
		case s.pending <- a:
			select {
			case given = <-a.response:
			case <-r.Context().Done():
				return
			}
		default:
			s.mu.Lock()
			s.rejected++
			s.mu.Unlock()
		}
	}
	if given == nil {
		_, id := s.raft.LeaderWithID()
		json.NewEncoder(out).Encode(leaderRedirect{nodeName(string(id))})
		return
	}
	json.NewEncoder(out).Encode(given)
}

// agreementDigest is the digest of what was agreed on, once a grantor has reigned.
func (s *voter) agreementDigest() (digest string, founded bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.ledger.Agreement.Digest(), s.state.ledger.Epoch > 0
}

func (s *voter) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}

func (s *voter) handleStatus(out http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(out).Encode(statusResponse{s.name, s.id, s.isBlank()})
}

func (s *voter) handleJoin(out http.ResponseWriter, r *http.Request) {
	var w statusResponse
	if !decodeRequest(out, r, &w) {
		return
	}
	if s.raft.State() != raft.Leader {
		http.Error(out, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	if err := s.addVoter(&w); err != nil {
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(out).Encode(statusResponse{s.name, s.id, false})
}

func (s *voter) handleSetTotal(out http.ResponseWriter, r *http.Request) {
	o := &adminCommand{done: make(chan error, 1)}
	if !decodeRequest(out, r, &o.totals) {
		return
	}
	for name, whole := range o.totals {
		t, is := s.cfg.Agreement.Budgets[name]
		if least := t.Floor*s.cfg.Agreement.MaxNodes + t.Reserve; !is || whole < least || whole > t.Total*64 {
			http.Error(out, fmt.Sprintf("%.40q: no such budget, or a whole under its floors and reserve (%d)", name, least), http.StatusBadRequest)
			return
		}
	}
	if !s.isServing() {
		http.Error(out, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.commands <- o:
		if err := <-o.done; err != nil {
			http.Error(out, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(out).Encode(o.totals)
	case <-r.Context().Done():
	}
}

// VoterStatus is what operators see of a seat.
type VoterStatus struct {
	ID         string                  `json:"id"`
	State      string                  `json:"state"`
	IsLeader   bool                    `json:"grants"`
	Leader     string                  `json:"granter"`
	Epoch      uint64                  `json:"epoch"`
	Voters     []string                `json:"seats"`
	Budgets    map[string]LedgerStatus `json:"budgets"`
	Holders    []HolderStatus          `json:"holders"`
	ClockRates map[string]float64      `json:"clocks,omitempty"` // beyond the margin, their rates by this seat's
	Error      string                  `json:"fault,omitempty"`
}

// LedgerStatus is one budget in a seat's books.
type LedgerStatus struct {
	Total       int64 `json:"whole"`
	Floors      int64 `json:"floors"`
	Granted     int64 `json:"granted"`
	CoolingDown int64 `json:"resting"`
	Free        int64 `json:"free"`
}

// HolderStatus is one process in a seat's books.
type HolderStatus struct {
	Node   string           `json:"node"`
	Units  map[string]int64 `json:"units"`
	Demand map[string]int64 `json:"want"`
}

func (s *voter) status() *VoterStatus {
	_, granter := s.raft.LeaderWithID()
	out := &VoterStatus{ID: s.id, State: strings.ToLower(s.raft.State().String()), Leader: nodeName(string(granter)), Budgets: map[string]LedgerStatus{}}
	if c := s.raft.GetConfiguration(); c.Error() == nil {
		for _, x := range c.Configuration().Servers {
			out.Voters = append(out.Voters, string(x.ID))
		}
	}
	s.mu.Lock()
	out.IsLeader, out.Error, out.ClockRates = s.serving, s.diskError, maps.Clone(s.skewedClocks)
	if out.Error == "" && (out.Leader == "" || out.Leader == s.name) {
		out.Error = s.termError // why the last reign ended; of no interest once another one grants
	}
	s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	b := s.state.ledger
	out.Epoch = b.Epoch
	for name, a := range b.Budgets {
		floors := b.Outstanding(name) - a.Granted
		out.Budgets[name] = LedgerStatus{a.Total, floors, a.Granted, a.CoolingDownTotal, a.Total - floors - a.Granted - a.CoolingDownTotal}
	}
	for _, name := range b.HolderNames() {
		h := b.Holders[name]
		out.Holders = append(out.Holders, HolderStatus{h.Node, maps.Clone(h.Units), maps.Clone(h.Demand)})
	}
	return out
}
