// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

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

// Start starts to serve; what ends that before Stop comes out of the channel.
func (s *Server) Start(l net.Listener) <-chan error {
	s.mu.Lock()
	s.phase, s.listener = phaseServing, l
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(&budgetListener{l, s.budget, s.log}) }()
	return ended
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
