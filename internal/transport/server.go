// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/protocol"
	"fernrail/internal/telemetry"
)

const (
	// slowest is how long a client may take to hand a request in: its first from when it connects, later ones from
	// their first byte on. Bad clients are owed an end within 3 s, which has to hold for a node short of its core, too.
	slowest = 2 * time.Second
	// unused is how long a client may keep a connection without a request on it.
	unused = 2 * time.Minute
	// reading is how long a client may take to read its answer.
	reading = 5 * time.Second
	// quiet is how long new connections may go on coming after the order to stop, and some more.
	quiet = 500 * time.Millisecond
	// open is the part of the time to stop in which requests are still taken; the rest is for their answers.
	open = 0.9
)

// Serve is the life of one request: it gives the one final answer, or nil if the client has left.
type Serve func(ctx context.Context, q *protocol.Request) *protocol.Answer

// Server is the side that clients reach.
type Server struct {
	descriptors *Descriptors
	names       *protocol.Names
	serve       Serve
	ready       func() bool
	counters    *telemetry.Counters
	log         zerolog.Logger
	http        *http.Server
	listener    net.Listener
	stopping    atomic.Bool
}

func NewServer(d *Descriptors, names *protocol.Names, serve Serve, ready func() bool,
	counters *telemetry.Counters, l zerolog.Logger) *Server {
	s := &Server{descriptors: d, names: names, serve: serve, ready: ready, counters: counters, log: l}
	s.http = &http.Server{Handler: s, ReadTimeout: slowest, IdleTimeout: unused, MaxHeaderBytes: 16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		// Danger: a flood of bad clients that becomes one of log lines; those of the library have no level to cut them by.
		ErrorLog: log.New(l.With().Str("part", "net/http").Logger().Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second}), "", 0),
		ConnState: func(c net.Conn, state http.ConnState) {
			if c := c.(*conn); state == http.StateIdle {
				d.rest(c, c.uses)
			}
		}}
	return s
}

// connKey finds its connection in a request's context.
type connKey struct{}

// listener gives each connection its place in the budget.
type listener struct {
	net.Listener
	descriptors *Descriptors
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// Danger: a connection that is left waiting may hold a txn. Only a newcomer makes others give way, so none does
	// without need; those in spare places are answered and closed at once.
	return l.descriptors.greet(c), nil
}

// Open starts to listen and to serve; what ends that before Stop comes out of the channel.
func (s *Server) Open(address string) (<-chan error, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(&listener{l, s.descriptors}) }()
	return ended, nil
}

// Stop takes what still comes for part of the time, answers all that was taken and ends. Connections close between
// requests.
// Danger: http.Server's own Shutdown closes connections whose next request is just being read. A door that is shut at
// once leaves clients with nowhere to go while other nodes are down or restart as well.
func (s *Server) Stop(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	time.Sleep(max(time.Duration(open*float64(within)), min(quiet, within)))
	s.stopping.Store(true)
	s.descriptors.retire()
	s.listener.Close()
	return s.descriptors.empty(ctx)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/ready" {
		w.Header().Set("Connection", "close") // Danger: who asks this and stays takes a client's place
		answer := &protocol.Answer{Status: http.StatusOK, Body: "ready\n"}
		if !s.ready() {
			answer = &protocol.Answer{Status: http.StatusServiceUnavailable, Body: "not ready\n"}
		}
		answer.Write(w)
		return
	}
	c := r.Context().Value(connKey{}).(*conn)
	r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxBody)
	q, fault := protocol.ReadRequest(r, s.names, !c.head.sized())
	if fault != nil {
		s.log.Warn().Int("status", fault.Status).Str("fault", fault.Text).Msg("request not taken")
		w.Header().Set("Connection", "close")
		(&protocol.Answer{Status: fault.Status, Body: fault.Text + "\n"}).Write(w)
		return
	}
	// One place counts every end. What is neither answered nor known to be left, a fault say, has failed.
	status, ended := 0, s.counters.Taken(q.Scheme)
	defer func() { ended(status) }()
	if !s.descriptors.admit(c) {
		return
	}
	answer := &protocol.Answer{Status: http.StatusServiceUnavailable}
	if c.spare {
		s.log.Warn().Msg("descriptors are short: declined at the door")
	} else if answer = s.serve(r.Context(), q); answer == nil {
		return
	}
	// What follows chunks has no start that is known here.
	chunks := r.TransferEncoding != nil
	if c.spare || s.stopping.Load() || answer.Status == http.StatusConflict || chunks {
		w.Header().Set("Connection", "close")
	}
	c.head.next(r.ContentLength)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(reading))
	status = answer.Status
	answer.Write(w)
}
