// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

const (
	inGroupClass    = 2 // index of the class whose requests are idempotent within a cell
	testDedupWindow = 2 * time.Second
	// maxHoldUp is how long a process may be held up between the check of a first byte and its write. The platform's
	// windows allow for it.
	maxHoldUp = 150 * time.Millisecond
)

// dedupSettings returns testSettings with a class whose requests are idempotent within a cell and a window.
func dedupSettings() *dispatch.Settings {
	settings := testSettings()
	settings.Classes = append(settings.Classes, &dispatch.Class{
		Index:            inGroupClass,
		LatencyObjective: 3e8,
		Weight:           5,
		LateShare:        0.9,
		MachineType:      -1,
		Idempotency:      dispatch.IdempotentInGroup,
		DedupScope:       dispatch.DedupCell,
		DedupWindow:      int64(testDedupWindow),
	})
	return settings
}

// cellServers are servers in cells of three. The first byte of an address is 'a' and the index.
func cellServers() *protocol.EndpointList {
	list := &protocol.EndpointList{Complete: true}
	for i := range 24 {
		endpoint := testEndpoint(string(rune('a'+i)), dispatch.Up)
		endpoint.Cell = cellOf(endpoint.Address)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// cellOf returns the cell of the server with an address.
func cellOf(address string) int { return int(address[0]-'a') / 3 }

// newDedupRouter starts a router with dedupSettings.
func newDedupRouter(settings *dispatch.Settings, seed uint64, forwarder Forwarder) *Router {
	return New(Config{
		Settings:         settings,
		Seed:             seed,
		InitialEndpoints: cellServers(),
		Forwarder:        forwarder,
		ProbeTimeout:     time.Second,
		EndpointSource:   &scriptedSource{},
		Log:              zerolog.Nop(),
	})
}

// TestRepeatIsNotSentAfterWindow: a job loses its connection 1.5 s after it was sent, and the connection for the
// repeat is established up to 1 s later, when the servers, which forget the job after 2 s, may have forgotten it.
// The repeat must be sent only within that time. Otherwise the client must get its answer at that moment.
func TestRepeatIsNotSentAfterWindow(t *testing.T) {
	const runtime = 1500 * time.Millisecond
	for dialTime := 10 * time.Millisecond; dialTime <= time.Second; dialTime += 30 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			forwarder := &fakeForwarder{}
			repeatSent := false
			forwarder.script = func(
				ctx context.Context, number int, attempt *protocol.Attempt, update func(protocol.JobUpdate),
			) (dispatch.Outcome, string) {
				if number == 1 {
					update(protocol.JobUpdate{State: protocol.Started})
					return finishAfter(ctx, runtime, dispatch.ConnectionLost)
				}
				time.Sleep(dialTime)
				if repeatSent = attempt.Gate.MaySend(); !repeatSent {
					return dispatch.NotSent, ""
				}
				return dispatch.Succeeded, "r"
			}
			settings := dedupSettings()
			settings.AllowHedging = false
			router := newDedupRouter(settings, 1, forwarder)
			start := time.Now()
			response := router.Serve(t.Context(), testRequest("1", inGroupClass, 5*time.Second))
			took := time.Since(start)
			inTime := runtime+dialTime+time.Duration(settings.Tick) < testDedupWindow
			wantStatus := http.StatusInternalServerError
			if inTime {
				wantStatus = http.StatusOK
			}
			if repeatSent != inTime || response.Status != wantStatus || took != runtime+dialTime {
				t.Errorf("dial of %v: repeat sent %t, status %d after %v; want %t, %d after %v",
					dialTime, repeatSent, response.Status, took, inTime, wantStatus, runtime+dialTime)
			}
		})
	}
}

// jobRecord is what the servers have of one request in lateServers.
type jobRecord struct {
	firstArrival time.Time
	cell         int
	open         int // attempts in flight
}

// lateServers are servers whose connections are established up to 1.5 s late. They check each arrival of a
// request against rule 2.
type lateServers struct {
	*testing.T
	settings *dispatch.Settings

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	jobs    map[string]*jobRecord
	repeats int
}

// intN returns a random number below n.
func (s *lateServers) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// duration returns a random duration below a limit.
func (s *lateServers) duration(limit time.Duration) time.Duration {
	return time.Duration(s.intN(int(limit)))
}

// run is an attemptScript.
func (s *lateServers) run(
	ctx context.Context, _ int, attempt *protocol.Attempt, update func(protocol.JobUpdate),
) (dispatch.Outcome, string) {
	connectTime := s.duration(1500 * time.Millisecond)
	if s.intN(2) == 0 {
		connectTime = 0
	}
	if outcome, _ := finishAfter(ctx, connectTime, dispatch.Succeeded); outcome != dispatch.Succeeded {
		return outcome, ""
	}
	if connectTime > 1400*time.Millisecond {
		return dispatch.ConnectFailed, ""
	}
	if !attempt.Gate.MaySend() {
		return dispatch.NotSent, ""
	}
	time.Sleep(s.duration(maxHoldUp))
	if s.intN(4) == 0 {
		return dispatch.Rejected, ""
	}
	s.arrive(attempt)
	defer s.leave(attempt)
	if s.intN(2) == 0 {
		update(protocol.JobUpdate{State: protocol.Started})
	}
	outcomes := []dispatch.Outcome{dispatch.Succeeded, dispatch.Failed, dispatch.ConnectionLost, dispatch.StaleConnection}
	return finishAfter(ctx, s.duration(1500*time.Millisecond), outcomes[s.intN(len(outcomes))])
}

// arrive checks an arriving request, which runs unless the group of the server remembers it.
func (s *lateServers) arrive(attempt *protocol.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, class := attempt.Request.ID, s.settings.Classes[attempt.Request.Class]
	cell := cellOf(attempt.Address)
	job := s.jobs[id]
	if job == nil {
		s.jobs[id] = &jobRecord{firstArrival: time.Now(), cell: cell, open: 1}
		return
	}
	s.repeats++
	if job.open++; job.open > 1 && !s.settings.AllowHedging {
		s.Errorf("request %s: got %d attempts in flight, want 1 without hedging", id, job.open)
	}
	age := time.Since(job.firstArrival)
	switch {
	case class.Idempotency == dispatch.NonIdempotent:
		s.Errorf("request %s must not run twice, but arrived again after %v", id, age)
	case class.Idempotency == dispatch.IdempotentInGroup && (cell != job.cell || age > testDedupWindow+maxHoldUp):
		s.Errorf("request %s arrived again after %v in cell %d; want at most %v, in cell %d",
			id, age, cell, testDedupWindow+maxHoldUp, job.cell)
	}
}

func (s *lateServers) leave(attempt *protocol.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[attempt.Request.ID].open--
}

// TestLateConnectionsKeepRule2: attempts of all kinds of classes wait up to 1.5 s for their connections, and the
// process is held up for up to 0.15 s before each first byte. What an attempt was allowed for at its decision
// may no longer hold then: the window and the group of a repeat, the proof that an earlier attempt never ran,
// and that no other attempt is in flight. Each client must get its answer in time.
func TestLateConnectionsKeepRule2(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLateConnections(t, seed) })
		})
	}
}

// checkLateConnections plays one random history.
func checkLateConnections(t *testing.T, seed uint64) {
	t.Helper()
	settings := dedupSettings()
	settings.AllowHedging = seed%2 == 0
	settings.AllowCancel = seed%4 < 2
	servers := &lateServers{
		T:        t,
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 5)),
		jobs:     map[string]*jobRecord{},
	}
	router := newDedupRouter(settings, seed, &fakeForwarder{script: servers.run})
	var clients sync.WaitGroup
	for i := range 100 {
		class := i % len(settings.Classes)
		timeout := 2*time.Second + servers.duration(5*time.Second)
		clients.Go(func() {
			start := time.Now()
			router.Serve(t.Context(), testRequest(fmt.Sprint(i), class, timeout))
			if took := time.Since(start); took > timeout {
				t.Errorf("request %d got its answer after %v, want at most %v", i, took, timeout)
			}
		})
		time.Sleep(servers.duration(300 * time.Millisecond))
	}
	clients.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	if servers.repeats < 10 {
		t.Errorf("got %d repeats, want at least 10", servers.repeats)
	}
}
