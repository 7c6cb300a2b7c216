// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"time"
)

const (
	// minAcceptAfterStop is how long new connections are accepted after the order to stop, at the least.
	minAcceptAfterStop = 500 * time.Millisecond
	// stopAcceptFraction is the part of the time to stop in which requests are still accepted; the rest is for their
	// responses.
	stopAcceptFraction = 0.9
	// handoverIdleFraction is the part of the time to stop in which idle connections are kept where another process has
	// taken over. A client that has not used its connection by then can open one there; a request that came later would
	// have little time left.
	handoverIdleFraction = 0.75
	// silentConnTimeout is how long a connection may go without its first byte during a drain. New ones still come for
	// about 200 ms, and the requests that they were opened for come with them.
	silentConnTimeout = 700 * time.Millisecond
	// silentSweepInterval is the time between two looks at such connections.
	silentSweepInterval = 100 * time.Millisecond
)

// serverPhase is what a server does with clients.
type serverPhase int

const (
	phaseNotListening serverPhase = iota
	phaseServing
	phaseDraining // may be told to serve again
	phaseStopping
)

var (
	errNotListening = errors.New("this process takes no clients yet")
	errStopping     = errors.New("this process is stopping")
)

// Ready reports whether clients may come.
func (s *Server) Ready() bool { return s.acceptsClients() && s.ready() }

func (s *Server) acceptsClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != phaseNotListening && !s.unready
}

// Drain sends clients away: the server is not ready, every response ends its connection, and idle connections are
// closed. Requests that come all the same are served. It fails where the server does not listen yet or is stopping.
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

// closeIdleConnections closes connections between requests, now and from now on.
func (s *Server) closeIdleConnections() {
	s.closeAfterResponse.Store(true)
	s.budget.disableIdle()
}

// sweepSilent closes connections that were opened and send nothing. A client that takes this node for one without
// requests may send its first one just then, so they are given silentConnTimeout.
func (s *Server) sweepSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseDraining {
		s.budget.reclaimSilent(silentConnTimeout)
		s.sweepTimer.Reset(silentSweepInterval)
	}
}

// Activate ends a drain. It fails where the server does not listen yet or is stopping.
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

// Stop ends the server within a time. Requests that were accepted are answered first, and connections close between
// requests; it returns an error where requests are left unanswered. http.Server.Shutdown would close connections whose
// next request is just being read.
//
// takenOver says that another process of this node accepts clients on the same socket. Then this one stops accepting at
// once. Otherwise it accepts for most of the time, since clients would have nowhere to go while other nodes are down or
// restart as well.
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

// acceptTimeAfterStop returns how long requests are accepted after the order to stop within a time.
func acceptTimeAfterStop(timeout time.Duration) time.Duration {
	accept := time.Duration(stopAcceptFraction * float64(timeout))
	return max(accept, min(minAcceptAfterStop, timeout))
}

// handOver stops accepting, and keeps idle connections for a while: each response ends its own.
func (s *Server) handOver(ctx context.Context, timeout time.Duration) {
	s.closeAfterResponse.Store(true)
	s.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(handoverIdleFraction*float64(timeout)))
	defer cancel()
	s.budget.waitForClientsClosed(ctx)
}
