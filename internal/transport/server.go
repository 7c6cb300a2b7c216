// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"fernrail/internal/metrics"
	"fernrail/internal/protocol"
)

const (
	// requestReadTimeout is how long a client may take to hand a request in: its first from when it connects, later ones from
	// their first byte on. Bad clients are owed an end within 3 s, which has to hold for a node short of its core, too.
	requestReadTimeout = 2 * time.Second
	// clientIdleTimeout is how long a client may keep a connection without a request on it.
	clientIdleTimeout = 2 * time.Minute
	// responseWriteTimeout is how long a client may take to read its answer.
	responseWriteTimeout = 5 * time.Second
	// minAcceptAfterStop is how long new connections may go on coming after the order to stop, and some more.
	minAcceptAfterStop = 500 * time.Millisecond
	// stopAcceptFraction is the part of the time to stop in which requests are still taken; the rest is for their answers.
	stopAcceptFraction = 0.9
	// handoverIdleFraction is that part where another process of this node has taken over. Who has not used a kept connection until
	// then can open one there; a job that comes late on it would have little time left.
	handoverIdleFraction = 0.75
	// silentConnTimeout is how long a connection may go without its first byte while the node is emptied: new ones still come
	// for a fifth of a second, and what they were opened for comes with them.
	silentConnTimeout = 700 * time.Millisecond
	// silentSweepInterval is between two looks at such connections.
	silentSweepInterval = 100 * time.Millisecond
)

// serverPhase is what a server does with clients.
type serverPhase int

const (
	phaseNotListening serverPhase = iota // it does not listen yet
	phaseServing                         // takes them
	phaseDraining                        // has been told to be empty, and may be told to serve again
	phaseStopping                        // ends
)

var (
	errNotListening = errors.New("this process takes no clients yet")
	errStopping     = errors.New("this process is stopping")
)

// ServeFunc is the life of one request: it gives the one final answer, or nil if the client has left.
type ServeFunc func(ctx context.Context, q *protocol.Request) *protocol.Response

// Server is the side that clients reach.
type Server struct {
	budget             *ConnectionBudget
	names              *protocol.Names
	handle             ServeFunc
	ready              func() bool
	counters           *metrics.Counters
	log                zerolog.Logger
	http               *http.Server
	listener           net.Listener
	closeAfterResponse atomic.Bool // each answer ends its connection

	mu         sync.Mutex
	phase      serverPhase
	unready    bool        // clients are told not to come
	sweepTimer *time.Timer // while draining
}

func NewServer(d *ConnectionBudget, names *protocol.Names, serve ServeFunc, ready func() bool,
	counters *metrics.Counters, l zerolog.Logger) *Server {
	s := &Server{budget: d, names: names, handle: serve, ready: ready, counters: counters, log: l}
	s.http = &http.Server{Handler: s, ReadTimeout: requestReadTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: 16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
		// Danger: a flood of bad clients that becomes one of log lines; those of the library have no level to cut them by.
		ErrorLog: log.New(l.With().Str("part", "net/http").Logger().Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second}), "", 0),
		ConnState: func(c net.Conn, state http.ConnState) {
			if c := c.(*trackedConn); state == http.StateIdle {
				d.markIdle(c, c.uses)
			}
		}}
	return s
}

// connContextKey finds its connection in a request's context.
type connContextKey struct{}

// budgetListener gives each connection its place in the budget.
type budgetListener struct {
	net.Listener
	budget *ConnectionBudget
	log    zerolog.Logger
}

// Waits after an accept that failed: the first one, and the longest, which requests that wait at the door can bear.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// Accept waits for a client. It goes on after every error but the listener's own end.
// Danger: net/http ends on errors that it does not call temporary, such as ENOBUFS, and the process with it.
func (l *budgetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for pause := minAcceptBackoff; err != nil; pause = min(2*pause, maxAcceptBackoff) {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.log.Warn().Err(err).Msg("accept failed, and is tried again")
		time.Sleep(pause)
		c, err = l.Listener.Accept()
	}
	// Danger: a connection that is left waiting may hold a txn. Only a newcomer makes others give way, so none does
	// without need; those in spare places are answered and closed at once.
	return l.budget.acceptClient(c), nil
}

// inheritedListener is a listening socket that other processes hold as well.
type inheritedListener struct{ *net.TCPListener }

// InheritListener takes a listening socket over. Only this process's copy of it is ever closed.
func InheritListener(descriptor int) (net.Listener, error) {
	f := os.NewFile(uintptr(descriptor), "inherited listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, is := l.(*net.TCPListener)
	if !is {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, not TCP", descriptor, l.Addr().Network())
	}
	return inheritedListener{tcp}, nil
}

// Accept makes the socket one that does not block before it asks it.
// Danger: that is a trait of the socket, not of its holder. Who hands it to another process may make it block for all,
// and a process that sleeps on it can't stop until one more client comes.
func (l inheritedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(descriptor uintptr) { unix.SetNonblock(int(descriptor), true) })
	}
	return l.TCPListener.Accept()
}

// Start starts to serve; what ends that before Stop comes out of the channel.
func (s *Server) Start(l net.Listener) <-chan error {
	s.mu.Lock()
	s.phase, s.listener = phaseServing, l
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(&budgetListener{l, s.budget, s.log}) }()
	return ended
}

// Ready says whether clients may come.
func (s *Server) Ready() bool {
	s.mu.Lock()
	takes := s.phase != phaseNotListening && !s.unready
	s.mu.Unlock()
	return takes && s.ready()
}

// Drain sends clients away: none is asked to come, every answer ends its connection, and idle ones are closed. What
// comes all the same is served.
func (s *Server) Drain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case phaseNotListening:
		return errNotListening
	case phaseStopping:
		return errStopping
	case phaseServing:
		s.phase, s.unready = phaseDraining, true
		s.sweepTimer = time.AfterFunc(silentSweepInterval, s.sweepSilent)
		s.closeIdleConnections()
	}
	return nil
}

// closeIdleConnections ends connections between requests, now and from now on.
func (s *Server) closeIdleConnections() {
	s.closeAfterResponse.Store(true)
	s.budget.disableIdle()
}

// sweepSilent closes connections that were opened and say nothing.
// Danger: a client that sends its first request as the front takes the node for empty.
func (s *Server) sweepSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseDraining {
		s.budget.reclaimSilent(silentConnTimeout)
		s.sweepTimer.Reset(silentSweepInterval)
	}
}

// Activate ends a drain.
func (s *Server) Activate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case phaseNotListening:
		return errNotListening
	case phaseStopping:
		return errStopping
	case phaseDraining:
		s.sweepTimer.Stop()
		s.phase, s.unready = phaseServing, false
		s.closeAfterResponse.Store(false)
		s.budget.enableIdle()
	}
	return nil
}

// Stop answers all that was taken and ends; connections close between requests. Where no other process of this node has
// taken over, it takes what still comes for most of the time; else the door is left to that one at once, and connections
// that are kept idle stand for a while, since each answer ends its own.
// Danger: http.Server's own Shutdown closes connections whose next request is just being read. A door that is shut at
// once leaves clients with nowhere to go while other nodes are down or restart as well.
func (s *Server) Stop(within time.Duration, taken bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	s.mu.Lock()
	s.phase = phaseStopping
	s.mu.Unlock()
	if taken {
		s.closeAfterResponse.Store(true)
		s.listener.Close()
		some, enough := context.WithTimeout(ctx, time.Duration(handoverIdleFraction*float64(within)))
		s.budget.waitForNoClients(some)
		enough()
	} else {
		time.Sleep(max(time.Duration(stopAcceptFraction*float64(within)), min(minAcceptAfterStop, within)))
	}
	s.closeIdleConnections()
	s.listener.Close()
	s.budget.reclaimSilent(0)
	return s.budget.waitForRequests(ctx)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/ready" {
		w.Header().Set("Connection", "close") // Danger: who asks this and stays takes a client's place
		answer := &protocol.Response{Status: http.StatusOK, Body: "ready\n"}
		if !s.Ready() {
			answer = &protocol.Response{Status: http.StatusServiceUnavailable, Body: "not ready\n"}
		}
		answer.Write(w)
		return
	}
	c := r.Context().Value(connContextKey{}).(*trackedConn)
	r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes)
	q, fault := protocol.DecodeRequest(r, s.names, !c.head.hasContentLength())
	if fault != nil {
		s.log.Warn().Int("status", fault.Status).Str("fault", fault.Text).Msg("request not taken")
		w.Header().Set("Connection", "close")
		(&protocol.Response{Status: fault.Status, Body: fault.Text + "\n"}).Write(w)
		return
	}
	// One place counts every end. What is neither answered nor known to be left, a fault say, has failed.
	status, ended := 0, s.counters.RequestStarted(q.Class)
	defer func() { ended(status) }()
	// Danger: a handler that returns without an answer has given one, to the library: 200, with a result that no executor made. A
	// client that shut its sending side alone reads it.
	if !s.budget.establish(c) {
		panic(http.ErrAbortHandler)
	}
	c.beginRequest()
	q.ClientClosed = c.clientClosed
	answer := &protocol.Response{Status: http.StatusServiceUnavailable}
	if c.rejectOnly {
		s.log.Warn().Msg("descriptors are short: declined at the door")
	} else if answer = s.handle(r.Context(), q); answer == nil {
		panic(http.ErrAbortHandler)
	}
	// What follows chunks has no start that is known here.
	chunks := r.TransferEncoding != nil
	if c.rejectOnly || s.closeAfterResponse.Load() || answer.ClientClosed || answer.Status == http.StatusConflict || chunks {
		w.Header().Set("Connection", "close")
	}
	c.head.reset(r.ContentLength)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if !answer.ClientClosed {
		status = answer.Status
	}
	answer.Write(w)
}
