// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"time"
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
