// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"time"
)

const (
	// minAcceptAfterStop is the minimum time during which new connections are accepted after Stop is called.
	minAcceptAfterStop = 500 * time.Millisecond
	// stopAcceptFraction is the fraction of the stop time-out during which requests are still accepted. The
	// rest is for their responses.
	stopAcceptFraction = 0.9
	// handoverIdleFraction is the fraction of the stop time-out during which idle connections stay open after
	// another process has taken over. A client that has not used its connection by then can connect to that
	// process. A later request would have little time left here.
	handoverIdleFraction = 0.75
	// silentConnTimeout is how long a connection may stay without its first byte during a drain. New
	// connections still arrive for about 200 ms, and the requests for which they were opened arrive with
	// them.
	silentConnTimeout = 700 * time.Millisecond
	// silentSweepInterval is the time between two checks for such connections.
	silentSweepInterval = 100 * time.Millisecond
)

// serverPhase is the phase of a server's life cycle.
type serverPhase int

const (
	phaseNotListening serverPhase = iota
	phaseServing
	phaseDraining // Activate returns to phaseServing
	phaseStopping
)

var (
	errNotListening = errors.New("this process does not accept clients yet")
	errStopping     = errors.New("this process is stopping")
)

// Ready reports whether the server is ready for clients.
func (s *Server) Ready() bool { return s.acceptsClients() && s.ready() }

func (s *Server) acceptsClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != phaseNotListening && !s.unready
}

// Drain makes clients move to other nodes: the server reports that it is not ready, closes each connection
// after its response and closes idle connections. Requests that still arrive are served. Drain fails if the
// server does not listen yet or is stopping.
func (s *Server) Drain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case phaseNotListening:
		return errNotListening
	case phaseStopping:
		return errStopping
	case phaseServing:
		s.phase = phaseDraining
		s.unready = true
		s.sweepTimer = time.AfterFunc(silentSweepInterval, s.sweepSilent)
		s.closeIdleConnections()
	}
	return nil
}

// closeIdleConnections closes idle client connections, and from now on each connection after its response.
func (s *Server) closeIdleConnections() {
	s.closeAfterResponse.Store(true)
	s.budget.disableIdle()
}

// sweepSilent reclaims connections without a first byte. A client that regards this node as unloaded may be
// about to send its first request, so each connection has silentConnTimeout for its first byte.
func (s *Server) sweepSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseDraining {
		s.budget.reclaimSilent(silentConnTimeout)
		s.sweepTimer.Reset(silentSweepInterval)
	}
}

// Activate ends a drain. It fails if the server does not listen yet or is stopping.
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
		s.phase = phaseServing
		s.unready = false
		s.closeAfterResponse.Store(false)
		s.budget.enableIdle()
	}
	return nil
}

// Stop stops the server within a time-out. Accepted requests are answered first, and connections are closed
// between requests. It returns an error if requests remain unanswered. http.Server.Shutdown is not used
// because it would close connections whose next request is being read.
//
// takenOver means that another process of this node accepts clients on the same socket. Then this process
// stops accepting immediately. Otherwise it accepts for most of the time-out, since clients would have no
// node to connect to while other nodes are down or restart as well.
func (s *Server) Stop(timeout time.Duration, takenOver bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.beginStop()
	if takenOver {
		s.handOver(ctx, timeout)
	} else {
		time.Sleep(acceptTimeAfterStop(timeout))
	}
	s.closeIdleConnections()
	s.listener.Close()
	s.budget.reclaimSilent(0)
	return s.budget.waitForRequests(ctx)
}

func (s *Server) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phaseStopping
}

// acceptTimeAfterStop returns how long requests are accepted after a call of Stop with the given time-out.
func acceptTimeAfterStop(timeout time.Duration) time.Duration {
	accept := time.Duration(stopAcceptFraction * float64(timeout))
	return max(accept, min(minAcceptAfterStop, timeout))
}

// handOver stops accepting and closes each connection after its next response. Idle connections stay open
// until handoverIdleFraction of the time-out has passed.
func (s *Server) handOver(ctx context.Context, timeout time.Duration) {
	s.closeAfterResponse.Store(true)
	s.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(handoverIdleFraction*float64(timeout)))
	defer cancel()
	s.budget.waitForClientsClosed(ctx)
}
