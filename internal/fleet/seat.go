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
	gather   = 5 * time.Millisecond // in which requests are taken down together; one write to disk serves them all
	batch    = 512                  // requests taken down at once, at most
	waiting  = 4096                 // requests that wait at a seat; more are turned away
	inspect  = 25 * time.Millisecond
	places   = 10000 // connections to a seat at most; each of the 4,096 nodes that any fleet may have has one or two
	greeting = 2 * time.Second
	keepLogs = 4096 // entries behind a snapshot that a seat which lags can still be sent one by one
	snapshot = 8192 // entries after which one is made
)

// seat is a member of the group that grants.
type seat struct {
	name, id string // id: of this seat's memory; another one once that is lost
	plan     *config.Fleet
	clock    Clock
	calls    *calls
	log      zerolog.Logger
	books    *books
	raft     *raft.Raft
	store    io.Closer // nil: in memory
	wire     *wire
	server   *http.Server
	asks     chan *asked
	orders   chan *order
	all      sync.WaitGroup
	stop     context.CancelFunc
	shut     chan struct{} // closed once nothing goes out any more
	lost     chan struct{} // closed once the group can never decide again, and this seat has to forget it

	mu      sync.Mutex
	clocks  map[string]float64 // beyond the margin: their rates by ours
	disk    string             // its fault, while the seat waits for it
	fault   string             // why it does not grant, though it was elected
	reigns  bool
	refused int64
}

// asked is a request that waits for its answer.
type asked struct {
	budget.LeaseRequest
	answer chan *budget.LeaseResponse // nil comes: not granted here
}

// order is an operators' change of a whole.
type order struct {
	whole map[string]int64
	done  chan error
}

// takeSeat opens the seat's memory and its door, on a listener that the caller closes if this fails.
func takeSeat(ctx context.Context, name string, l net.Listener, plan *config.Fleet, clock Clock, c *calls, log zerolog.Logger) (*seat, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &seat{name: name, plan: plan, clock: clock, calls: c, log: log, books: &books{books: budget.NewLedger()}, clocks: map[string]float64{}, asks: make(chan *asked, waiting), orders: make(chan *order), stop: stop, shut: make(chan struct{}), lost: make(chan struct{})}
	fail := func(err error) (*seat, error) {
		stop()
		if s.store != nil {
			s.store.Close()
		}
		return nil, err
	}
	logs, stable, snaps, err := s.remember()
	if err != nil {
		return fail(fmt.Errorf("fleet.dir: %w", err))
	}
	s.wire = newWire(netutil.LimitListener(l, places), s.id, plan, c, log)
	c0 := raft.DefaultConfig()
	c0.LocalID = raft.ServerID(s.id)
	c0.HeartbeatTimeout, c0.ElectionTimeout, c0.LeaderLeaseTimeout = plan.ElectionTimeout, plan.ElectionTimeout, plan.ElectionTimeout/2
	c0.CommitTimeout = max(plan.ElectionTimeout/10, time.Millisecond)
	c0.SnapshotThreshold, c0.TrailingLogs = snapshot, keepLogs
	c0.Logger = hclog.New(&hclog.LoggerOptions{Output: &logged{log, "raft", rate.NewLimiter(1, 5)}, Level: hclog.Warn, DisableTime: true})
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.wire, MaxPool: 3, Timeout: 4 * plan.ElectionTimeout, Logger: c0.Logger})
	if s.raft, err = raft.NewRaft(c0, s.books, logs, stable, snaps, transport); err != nil {
		return fail(fmt.Errorf("fleet.dir: %w", err))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ask", s.serveAsk)
	mux.HandleFunc("POST /who", s.serveWho)
	mux.HandleFunc("POST /admit", s.serveAdmit)
	mux.HandleFunc("POST /whole", s.serveWhole)
	s.server = &http.Server{Handler: s.guard(mux), ReadTimeout: greeting, WriteTimeout: greeting + time.Duration(plan.Agreement.Lease), IdleTimeout: time.Minute,
		MaxHeaderBytes: 4096, ErrorLog: nil}
	s.all.Go(func() { s.server.Serve(s.wire.plain) })
	s.all.Go(s.wire.accept)
	s.all.Go(func() { s.reign(ctx) })
	s.all.Go(func() { s.find(ctx) })
	return s, nil
}

// leave ends the seat's part.
func (s *seat) leave() {
	s.stop()
	s.server.Close()
	s.wire.Close()
	close(s.shut)
	s.raft.Shutdown().Error()
	s.all.Wait()
	if s.store != nil {
		s.store.Close()
	}
}

// remember opens what the seat has agreed to. Without a directory it begins anew, under another id, at each start.
// Danger: a seat that has lost its memory and answers as before would vote twice in one election, and forget what it had
// agreed to have granted. The id is lost with the memory, and whoever has another id is not part of the group.
func (s *seat) remember() (logs raft.LogStore, stable raft.StableStore, snaps raft.SnapshotStore, err error) {
	if s.plan.DataDir == "" {
		s.id = s.name + "/" + identity()
		store := raft.NewInmemStore()
		return store, store, raft.NewInmemSnapshotStore(), nil
	}
	if err := os.MkdirAll(s.plan.DataDir, 0o700); err != nil {
		return nil, nil, nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(s.plan.DataDir, "seat.db"))
	if err != nil {
		return nil, nil, nil, err
	}
	s.store = store
	id, err := store.Get([]byte("fernrail id"))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil, nil, nil, err
	}
	if len(id) == 0 {
		id = []byte(s.name + "/" + identity())
		if err := store.Set([]byte("fernrail id"), id); err != nil {
			return nil, nil, nil, err
		}
	}
	// Danger: a directory that was another seat's.
	if s.id = string(id); nameOf(s.id) != s.name {
		return nil, nil, nil, fmt.Errorf("%s is the memory of %s", s.plan.DataDir, nameOf(s.id))
	}
	snaps, err = raft.NewFileSnapshotStoreWithLogger(s.plan.DataDir, 2, hclog.NewNullLogger())
	own := &steady{store, s}
	return own, own, snaps, err
}

// steady is what the group needs to have written before it goes on: terms and votes. The library ends the whole process if
// that fails. Here it waits: a seat whose disk takes nothing is silent, as a dead one is, and goes on once it does.
type steady struct {
	*raftboltdb.BoltStore
	seat *seat
}

func (d *steady) Set(key, value []byte) error {
	return d.seat.persist(func() error { return d.BoltStore.Set(key, value) })
}

func (d *steady) SetUint64(key []byte, value uint64) error {
	return d.seat.persist(func() error { return d.BoltStore.SetUint64(key, value) })
}

// StoreLog and StoreLogs may fail: the library then lets go of the grant, or leaves the step to the others.
func (d *steady) StoreLog(l *raft.Log) error { return d.seat.noted(d.BoltStore.StoreLog(l)) }

func (d *steady) StoreLogs(l []*raft.Log) error { return d.seat.noted(d.BoltStore.StoreLogs(l)) }

// noted keeps what the disk said last, for operators.
func (s *seat) noted(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disk = ""; err != nil {
		s.disk = err.Error()
	}
	return err
}

// persist tries until it is written, or the seat is left; then its door is shut, so that nobody hears of what was not.
func (s *seat) persist(write func() error) error {
	for {
		err := s.noted(write())
		if err == nil {
			return nil
		}
		s.log.Error().Err(err).Msg("the seat's disk takes nothing: it is silent until it does")
		select {
		case <-s.shut:
			return nil
		case <-time.After(time.Second):
		}
	}
}

// nameOf is the node's name in a seat's id.
func nameOf(id string) string { name, _, _ := strings.Cut(id, "/"); return name }

// logged takes a library's log over, by the line and at a bounded rate: a seat that is cut off tells of each try.
type logged struct {
	zerolog.Logger
	of   string
	pace *rate.Limiter
}

func (l *logged) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.Contains(line, "[DEBUG]") || strings.Contains(line, "[INFO]") || !l.pace.Allow() {
		return len(b), nil
	}
	l.Warn().Str("says", line).Msg(l.of)
	return len(b), nil
}

// books are the replicated state; raft alone changes it.
type books struct {
	mu    sync.Mutex
	books *budget.Ledger
}

type applied struct {
	answers []*budget.LeaseResponse
	err     error
}

func (b *books) Apply(l *raft.Log) any {
	var e budget.LogEntry
	if err := json.Unmarshal(l.Data, &e); err != nil {
		return applied{err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, err := b.books.Apply(&e)
	return applied{answers, err}
}

func (b *books) Snapshot() (raft.FSMSnapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(b.books)
	return image(text), err
}

func (b *books) Restore(r io.ReadCloser) error {
	defer r.Close()
	fresh := budget.NewLedger()
	if err := json.NewDecoder(r).Decode(fresh); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.books = fresh
	return nil
}

type image []byte

func (i image) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (i image) Release() {}

// commit has a step agreed on by most seats, and gives what came of it.
// Danger: a seat that was stopped and goes on believes that it is still the one that grants. Nothing is answered before
// most seats have written the step down under its reign, and that proves that no other reign had begun when they did.
func (s *seat) commit(e *budget.LogEntry) ([]*budget.LeaseResponse, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(text, time.Duration(s.plan.Agreement.Lease))
	if err := f.Error(); err != nil {
		return nil, err
	}
	done := f.Response().(applied)
	return done.answers, done.err
}

// reign grants for as long as this seat is the elected one.
func (s *seat) reign(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case elected := <-s.raft.LeaderCh():
			if !elected {
				continue
			}
		}
		err := s.grants(ctx)
		s.mu.Lock()
		s.reigns, s.fault = false, ""
		if err != nil {
			s.fault = err.Error()
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(err).Msg("this seat grants no more")
		s.turnAway()
		// Danger: a seat with a full disk that stays elected, and grants nothing. The others go on without it.
		if s.raft.State() == raft.Leader {
			s.raft.LeadershipTransfer().Error()
		}
	}
}

// grants is one reign, up to its end.
func (s *seat) grants(ctx context.Context) error {
	if err := s.raft.Barrier(time.Duration(s.plan.Agreement.Lease)).Error(); err != nil {
		return err
	}
	epoch := s.raft.CurrentTerm()
	if _, err := s.commit(&budget.LogEntry{NewTerm: true, Epoch: epoch, Agreement: &s.plan.Agreement, ClusterID: identity()}); err != nil {
		return err
	}
	s.books.mu.Lock()
	reign := budget.NewLeaderTerm(s.books.books, epoch, s.clock())
	s.books.mu.Unlock()
	s.mu.Lock()
	s.reigns = true
	s.mu.Unlock()
	s.log.Info().Uint64("epoch", epoch).Msg("this seat grants")
	var names []string
	for _, x := range s.plan.Voters {
		names = append(names, x.Name)
	}
	tick := time.NewTicker(inspect)
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
			s.books.mu.Lock()
			due := reign.DueExpirations(s.clock())
			s.books.mu.Unlock()
			if due != nil {
				if _, err = s.commit(due); err == nil {
					s.books.mu.Lock()
					reign.RecordApplied(s.books.books, due, nil, s.clock())
					s.books.mu.Unlock()
				}
			}
		case o := <-s.orders:
			_, err = s.commit(&budget.LogEntry{Epoch: epoch, Totals: o.whole})
			o.done <- err
		case first := <-s.asks:
			err = s.answer(reign, s.together(first))
		}
		if err != nil {
			return err
		}
	}
	return errors.New("another seat was elected")
}

// clocked keeps the nodes that say their clocks are beyond the margin, and names each as it turns out to be so.
func (s *seat) clocked(node string, of float64) {
	s.mu.Lock()
	_, was := s.clocks[node]
	if of != 0 {
		s.clocks[node] = of
	} else {
		delete(s.clocks, node)
	}
	s.mu.Unlock()
	if of != 0 && !was {
		s.log.Error().Str("clock", node).Float64("rate", of).Float64("margin", s.plan.Agreement.ClockMargin).Msg("a clock is beyond the margin: its node uses no lease")
	}
}

// together gathers requests that come within a moment.
func (s *seat) together(first *asked) []*asked {
	all, enough := []*asked{first}, time.NewTimer(gather)
	defer enough.Stop()
	for len(all) < batch {
		select {
		case a := <-s.asks:
			all = append(all, a)
		case <-enough.C:
			return all
		}
	}
	return all
}

func (s *seat) answer(reign *budget.LeaderTerm, all []*asked) error {
	e := &budget.LogEntry{Epoch: reign.Epoch}
	for _, a := range all {
		s.clocked(a.Node, a.ClockRate)
		reign.ObserveRequest(&a.LeaseRequest, s.clock())
		e.Requests = append(e.Requests, a.LeaseRequest)
	}
	answers, err := s.commit(e)
	if err == nil {
		s.books.mu.Lock()
		reign.RecordApplied(s.books.books, e, answers, s.clock())
		s.books.mu.Unlock()
	}
	for i, a := range all {
		if err != nil {
			a.answer <- nil
		} else {
			if answers[i] != nil {
				answers[i].LeaderTime = s.clock()
			}
			a.answer <- answers[i]
		}
	}
	return err
}

// turnAway answers those that still wait.
func (s *seat) turnAway() {
	for {
		select {
		case a := <-s.asks:
			a.answer <- nil
		default:
			return
		}
	}
}

// find sees to it that the seat is part of the group. A group is founded once, when all seats are there and none has any
// memory; after that whoever has lost its memory is let in by the others, under its new id.
func (s *seat) find(ctx context.Context) {
	tick := time.NewTicker(max(s.plan.ElectionTimeout, 50*time.Millisecond))
	defer tick.Stop()
	since := s.clock()
	for {
		if !s.blank() && s.member() {
			if !s.beyond(ctx) {
				since = s.clock()
			} else if s.clock()-since > s.plan.Agreement.Lease {
				s.log.Error().Msg("most seats have lost their memory: this one forgets as well, and the group is founded anew")
				close(s.lost)
				return
			}
		} else if !s.found(ctx) {
			s.enter(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// beyond says whether the group can never decide again: nobody is elected, and most seats are there without the memory that
// was theirs. Only where seats have no directory, for what is on a disk may come back.
// Danger: two of three that start anew while the third goes on; nobody can let them in, and all live on floors for good.
func (s *seat) beyond(ctx context.Context) bool {
	if _, id := s.raft.LeaderWithID(); s.plan.DataDir != "" || id != "" {
		return false
	}
	blanks := 0
	for _, x := range s.plan.Voters {
		if x.Name == s.name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		var w who
		if s.calls.post(call, x.Address, "/who", &who{s.name, s.id, false}, &w) == nil && w.Blank && w.Name == x.Name {
			blanks++
		}
		cancel()
	}
	return 2*blanks > len(s.plan.Voters)
}

// blank says whether the seat remembers no group.
func (s *seat) blank() bool {
	c := s.raft.GetConfiguration()
	return c.Error() != nil || len(c.Configuration().Servers) == 0
}

func (s *seat) member() bool {
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

// who is what a seat says of itself.
type who struct {
	Name  string `json:"name"`
	ID    string `json:"id"`
	Blank bool   `json:"blank"`
}

// found founds the group if this seat is the one that does.
func (s *seat) found(ctx context.Context) bool {
	var servers []raft.Server
	first := s.name
	for _, x := range s.plan.Voters {
		w := who{s.name, s.id, s.blank()}
		if x.Name != s.name {
			call, cancel := context.WithTimeout(ctx, time.Second)
			err := s.calls.post(call, x.Address, "/who", &who{s.name, s.id, s.blank()}, &w)
			cancel()
			if err != nil || w.Name != x.Name || nameOf(w.ID) != x.Name {
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

// enter asks the others to let this seat in.
func (s *seat) enter(ctx context.Context) {
	for _, x := range s.plan.Voters {
		if x.Name == s.name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		var done who
		err := s.calls.post(call, x.Address, "/admit", &who{s.name, s.id, true}, &done)
		cancel()
		if err == nil {
			s.log.Info().Str("by", x.Name).Msg("this seat is let in")
			return
		}
	}
}

// admit puts a seat's new id in the place of the one that it had.
func (s *seat) admit(w *who) error {
	if s.plan.Voter(w.Name) == nil || nameOf(w.ID) != w.Name {
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
		if nameOf(string(x.ID)) == w.Name {
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

// guard lets calls of this fleet in, and no others.
func (s *seat) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if !s.calls.known(r.Header.Get(tokenHeader)) {
			s.wire.stranger("a call of no node of this fleet and version")
			out.Header().Set("Connection", "close")
			http.Error(out, "not of this fleet, or of another version", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(out, r.Body, maxCall)
		next.ServeHTTP(out, r)
	})
}

func read(out http.ResponseWriter, r *http.Request, in any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(in); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *seat) serveAsk(out http.ResponseWriter, r *http.Request) {
	a := &asked{answer: make(chan *budget.LeaseResponse, 1)}
	if !read(out, r, &a.LeaseRequest) {
		return
	}
	if pact, founded := s.pact(); founded && r.Header.Get(pactHeader) != pact {
		http.Error(out, errPact.Error(), http.StatusConflict)
		return
	}
	if a.Node == "" || a.Holder == "" || len(a.Node)+len(a.Holder) > 256 {
		http.Error(out, "no name", http.StatusBadRequest)
		return
	}
	var given *budget.LeaseResponse
	if s.grantsNow() {
		select {
		case s.asks <- a:
			select {
			case given = <-a.answer:
			case <-r.Context().Done():
				return
			}
		default:
			s.mu.Lock()
			s.refused++
			s.mu.Unlock()
		}
	}
	if given == nil {
		_, id := s.raft.LeaderWithID()
		json.NewEncoder(out).Encode(redirect{nameOf(string(id))})
		return
	}
	json.NewEncoder(out).Encode(given)
}

// pact is the digest of what was agreed on, once a grantor has reigned.
func (s *seat) pact() (digest string, founded bool) {
	s.books.mu.Lock()
	defer s.books.mu.Unlock()
	return s.books.books.Agreement.Digest(), s.books.books.Epoch > 0
}

func (s *seat) grantsNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reigns
}

func (s *seat) serveWho(out http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(out).Encode(who{s.name, s.id, s.blank()})
}

func (s *seat) serveAdmit(out http.ResponseWriter, r *http.Request) {
	var w who
	if !read(out, r, &w) {
		return
	}
	if s.raft.State() != raft.Leader {
		http.Error(out, errElsewhere.Error(), http.StatusMisdirectedRequest)
		return
	}
	if err := s.admit(&w); err != nil {
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(out).Encode(who{s.name, s.id, false})
}

func (s *seat) serveWhole(out http.ResponseWriter, r *http.Request) {
	o := &order{done: make(chan error, 1)}
	if !read(out, r, &o.whole) {
		return
	}
	for name, whole := range o.whole {
		t, is := s.plan.Agreement.Budgets[name]
		if least := t.Floor*s.plan.Agreement.MaxNodes + t.Reserve; !is || whole < least || whole > t.Total*64 {
			http.Error(out, fmt.Sprintf("%.40q: no such budget, or a whole under its floors and reserve (%d)", name, least), http.StatusBadRequest)
			return
		}
	}
	if !s.grantsNow() {
		http.Error(out, errElsewhere.Error(), http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.orders <- o:
		if err := <-o.done; err != nil {
			http.Error(out, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(out).Encode(o.whole)
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

func (s *seat) read() *VoterStatus {
	_, granter := s.raft.LeaderWithID()
	out := &VoterStatus{ID: s.id, State: strings.ToLower(s.raft.State().String()), Leader: nameOf(string(granter)), Budgets: map[string]LedgerStatus{}}
	if c := s.raft.GetConfiguration(); c.Error() == nil {
		for _, x := range c.Configuration().Servers {
			out.Voters = append(out.Voters, string(x.ID))
		}
	}
	s.mu.Lock()
	out.IsLeader, out.Error, out.ClockRates = s.reigns, s.disk, maps.Clone(s.clocks)
	if out.Error == "" && (out.Leader == "" || out.Leader == s.name) {
		out.Error = s.fault // why the last reign ended; of no interest once another one grants
	}
	s.mu.Unlock()
	s.books.mu.Lock()
	defer s.books.mu.Unlock()
	b := s.books.books
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
