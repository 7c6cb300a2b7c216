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
	// requestReadTimeout is how long a client may take to send a request. It starts when the client connects
	// for the first request, and with the first byte for later ones. Connections with an unfinished request
	// must be closed within 3 s, even by a node that is short of CPU time.
	requestReadTimeout = 2 * time.Second
	// clientIdleTimeout is how long a client connection may be idle between requests.
	clientIdleTimeout = 2 * time.Minute
	// responseWriteTimeout is how long a client may take to read its response.
	responseWriteTimeout = 5 * time.Second
	// maxRequestHeaderBytes limits the head of a request.
	maxRequestHeaderBytes = 16 << 10
	// libraryLogBurst is the maximum number of log lines of net/http per libraryLogPeriod. These lines have
	// no level to filter by, and thousands of faulty clients would flood the log.
	libraryLogBurst  = 20
	libraryLogPeriod = time.Second
)

// readyPath is the readiness path for load balancers.
const readyPath = "/-/ready"

// ServeFunc serves one request. It returns the final response, or nil if the client has disconnected.
type ServeFunc func(ctx context.Context, request *protocol.Request) *protocol.Response

// Server is the HTTP server for clients.
type Server struct {
	budget   *ConnectionBudget
	names    *protocol.Names
	handle   ServeFunc
	ready    func() bool
	counters *metrics.Counters
	log      zerolog.Logger
	http     *http.Server
	listener net.Listener

	closeAfterResponse atomic.Bool // close each connection after its next response

	mu         sync.Mutex
	phase      serverPhase
	unready    bool        // a drain has begun, and Activate has not ended it
	sweepTimer *time.Timer // for sweepSilent, while draining
}

// NewServer returns a server that passes requests to serve. Its connections use permits of the budget. It is
// ready for clients while it listens, is not draining, and ready returns true.
func NewServer(
	budget *ConnectionBudget,
	names *protocol.Names,
	serve ServeFunc,
	ready func() bool,
	counters *metrics.Counters,
	logger zerolog.Logger,
) *Server {
	s := &Server{
		budget:   budget,
		names:    names,
		handle:   serve,
		ready:    ready,
		counters: counters,
		log:      logger,
	}
	s.http = &http.Server{
		Handler:        s,
		ReadTimeout:    requestReadTimeout,
		IdleTimeout:    clientIdleTimeout,
		MaxHeaderBytes: maxRequestHeaderBytes,
		ErrorLog:       libraryLogger(logger),
		ConnContext:    contextWithConn,
		ConnState:      s.connStateChanged,
	}
	return s
}

// libraryLogger returns the rate-limited logger for net/http.
func libraryLogger(logger zerolog.Logger) *log.Logger {
	sampler := &zerolog.BurstSampler{Burst: libraryLogBurst, Period: libraryLogPeriod}
	return log.New(logger.With().Str("part", "net/http").Logger().Sample(sampler), "", 0)
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// connStateChanged is the ConnState hook of http.Server.
func (s *Server) connStateChanged(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn := c.(*clientConn)
		conn.inHandler.Store(false)
		s.budget.markIdle(&conn.trackedConn, conn.uses)
	}
}

// Start starts to serve in the background. The returned channel receives the error with which serving ends.
// Before Stop, that error is a failure.
func (s *Server) Start(l net.Listener) <-chan error {
	s.mu.Lock()
	s.phase = phaseServing
	s.listener = l
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(&budgetListener{Listener: l, budget: s.budget, log: s.log}) }()
	return ended
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connContextKey{}).(*clientConn)
	conn.inHandler.Store(true)
	if r.URL.Path == readyPath {
		time.Sleep(conn.pacer.charge(readinessCost))
		s.serveReady(w)
		return
	}
	holder := s.budget.holdRequest(conn)
	defer holder.release()
	request, fault := s.decode(w, r, conn, holder)
	if fault != nil {
		s.log.Warn().Int("status", fault.Status).Str("fault", fault.Text).Msg("request rejected")
		conn.payForFault(fault)
		closeConnectionAfter(w)
		writeResponse(w, &protocol.Response{Status: fault.Status, Body: fault.Text + "\n"})
		return
	}
	s.serveRequest(w, r, conn, request)
}

// decode reads a request. Its body holds memory until the request has its response.
func (s *Server) decode(
	w http.ResponseWriter,
	r *http.Request,
	conn *clientConn,
	holder *memoryHolder,
) (*protocol.Request, *protocol.RequestError) {
	if conn.head.hasTooManyFields() {
		return nil, &protocol.RequestError{Status: http.StatusBadRequest, Text: errTooManyFields.Error()}
	}
	r.Body = http.MaxBytesReader(w, &heldReader{ReadCloser: r.Body, holder: holder}, protocol.MaxBodyBytes)
	request, fault := protocol.DecodeRequest(r, s.names, !conn.head.hasContentLength())
	if fault == nil {
		// The client's time runs from the moment when it sent the request, which may have waited behind others.
		request.Timeout -= conn.readAhead.waited()
	}
	if fault == nil && !holder.protect() {
		return nil, &protocol.RequestError{
			Status: http.StatusServiceUnavailable,
			Text:   protocol.ErrNoMemory.Error(),
		}
	}
	return request, fault
}

// serveReady responds to a readiness check and closes the connection. An open connection would use a permit
// that a client needs.
func (s *Server) serveReady(w http.ResponseWriter) {
	closeConnectionAfter(w)
	if s.Ready() {
		writeResponse(w, &protocol.Response{Status: http.StatusOK, Body: "ready\n"})
	} else {
		writeResponse(w, &protocol.Response{Status: http.StatusServiceUnavailable, Body: "not ready\n"})
	}
}

// serveRequest serves a request and counts how it ends. A request counts as failed if it has no response or
// if its client has closed.
//
// If there is no response, it panics with http.ErrAbortHandler, which closes the connection. If a handler
// returns without a response, http.Server sends status 200. A client that has closed only its sending
// direction would receive that as a result that no server produced.
func (s *Server) serveRequest(
	w http.ResponseWriter,
	r *http.Request,
	conn *clientConn,
	request *protocol.Request,
) {
	status := 0
	recordEnd := s.counters.RequestStarted(request.Class)
	defer func() { recordEnd(status) }()
	if !s.budget.establish(conn) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	conn.readAhead.beginRequest(func() { cancel(protocol.ErrClientUnknown) })
	request.ClientState = conn.clientState
	response := s.respond(ctx, conn, request)
	if response == nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(conn.pacer.chargeResponse(response.Status))
	if s.endsConnection(r, conn, response) {
		closeConnectionAfter(w)
	}
	conn.head.reset(r.ContentLength)
	// Setting the deadline fails only on a closed connection, and the write reports that.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if !response.ClientClosed {
		status = response.Status
	}
	holder := s.budget.holdResponse(conn, len(response.Body))
	defer holder.release()
	writeResponse(w, response)
}

// respond returns the response to a request, or nil if there is none.
func (s *Server) respond(
	ctx context.Context,
	conn *clientConn,
	request *protocol.Request,
) *protocol.Response {
	if conn.rejectOnly {
		s.log.Warn().Msg("connection limit reached; rejecting the client")
		return &protocol.Response{Status: http.StatusServiceUnavailable}
	}
	return s.handle(ctx, request)
}

// endsConnection reports whether the connection is closed after the response.
func (s *Server) endsConnection(r *http.Request, conn *clientConn, response *protocol.Response) bool {
	chunked := r.TransferEncoding != nil // the start of the next request is unknown
	return conn.rejectOnly || chunked || s.closeAfterResponse.Load() ||
		response.ClientClosed || response.Status == http.StatusConflict
}

// closeConnectionAfter makes http.Server close the connection after the response.
func closeConnectionAfter(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// writeResponse writes a response. An error means that the client has disconnected and needs no handling.
func writeResponse(w http.ResponseWriter, response *protocol.Response) { _ = response.Write(w) }
