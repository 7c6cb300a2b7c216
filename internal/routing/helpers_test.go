// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"

	"github.com/rs/zerolog"
)

// attemptScript simulates a server: it runs the attempt with the given number, from 1, reports its
// updates, and returns the outcome and the result.
type attemptScript func(
	ctx context.Context, number int, attempt *protocol.Attempt, update func(protocol.JobUpdate),
) (dispatch.Outcome, string)

// fakeForwarder simulates the servers: a script determines the outcome of each attempt. Time is that of a
// synctest bubble.
type fakeForwarder struct {
	mu              sync.Mutex
	attempts        []*protocol.Attempt
	probedAddresses []string
	loadReport      func(ctx context.Context, address string) (protocol.LoadReport, error)
	script          attemptScript
}

func (f *fakeForwarder) Forward(ctx context.Context, attempt *protocol.Attempt,
	update func(protocol.JobUpdate), end func(protocol.AttemptResult)) {
	f.mu.Lock()
	f.attempts = append(f.attempts, attempt)
	number := len(f.attempts)
	f.mu.Unlock()
	outcome, result := f.script(ctx, number, attempt, update)
	end(protocol.AttemptResult{Outcome: outcome, Result: result})
}

// Probe returns the result of loadReport.
func (f *fakeForwarder) Probe(ctx context.Context, address string) (protocol.LoadReport, error) {
	f.mu.Lock()
	f.probedAddresses = append(f.probedAddresses, address)
	f.mu.Unlock()
	return f.loadReport(ctx, address)
}

func (f *fakeForwarder) attemptCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts)
}

// finishAfter runs a job for a duration. If the context ends earlier, it returns Canceled or
// TimedOut, as transport does.
func finishAfter(ctx context.Context, duration time.Duration,
	outcome dispatch.Outcome) (dispatch.Outcome, string) {
	select {
	case <-time.After(duration):
		return outcome, "r"
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return dispatch.Canceled, ""
	}
	return dispatch.TimedOut, ""
}

// succeedAfter returns a script that starts each attempt immediately and succeeds after a duration.
func succeedAfter(duration time.Duration) attemptScript {
	return func(
		ctx context.Context, _ int, _ *protocol.Attempt, update func(protocol.JobUpdate),
	) (dispatch.Outcome, string) {
		update(protocol.JobUpdate{State: protocol.Started})
		return finishAfter(ctx, duration, dispatch.Succeeded)
	}
}

// scriptedSource responds to polls with the given lists and errors in turn. Later polls wait until their
// context ends.
type scriptedSource struct {
	answers  []any
	polls    []string
	polledAt []time.Time
}

func (s *scriptedSource) Poll(ctx context.Context, since int64,
	complete bool) (*protocol.EndpointList, error) {
	s.polls, s.polledAt = append(s.polls, fmt.Sprint(since, complete)), append(s.polledAt, time.Now())
	if len(s.answers) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	if err, isError := answer.(error); isError {
		return nil, err
	}
	return answer.(*protocol.EndpointList), nil
}

// testSettings returns settings with an idempotent class, 0, and a non-idempotent class, 1.
func testSettings() *dispatch.Settings {
	return &dispatch.Settings{
		Nodes:            2,
		Tick:             5e6,
		StartNotices:     true,
		ProgressInterval: 1e9,
		MaxAttempts:      3,
		AllowCancel:      true,
		AllowHedging:     true,
		MaxRetryAfter:    2e9,
		IdleTimeout:      1e10,
		DrainGrace:       4e9,
		MaxPollInterval:  15e8,
		Classes: []*dispatch.Class{
			{
				LatencyObjective: 3e8,
				ObjectivePerWork: 2,
				Weight:           3,
				LateShare:        0.3,
				MachineType:      -1,
			},
			{
				Index:            1,
				LatencyObjective: 3e8,
				ObjectivePerWork: 2,
				Weight:           5,
				LateShare:        0.9,
				MachineType:      -1,
				Idempotency:      dispatch.NonIdempotent,
			},
		},
	}
}

func testEndpoint(id string, state dispatch.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Address: id + ":7", State: state}
}

func completeList(ids ...string) *protocol.EndpointList {
	list := &protocol.EndpointList{Complete: true}
	for _, id := range ids {
		list.Endpoints = append(list.Endpoints, testEndpoint(id, dispatch.Up))
	}
	return list
}

func testRequest(id string, class int, timeout time.Duration) *protocol.Request {
	return &protocol.Request{ID: id, Class: class, Slots: 1, Timeout: timeout}
}

// newTestRouter starts a router with testSettings and without a log.
func newTestRouter(forwarder Forwarder, source EndpointSource, initial *protocol.EndpointList) *Router {
	return New(Config{
		Settings:         testSettings(),
		Seed:             1,
		InitialEndpoints: initial,
		Forwarder:        forwarder,
		ProbeTimeout:     time.Second,
		EndpointSource:   source,
		Log:              zerolog.Nop(),
	})
}

// versionedList returns a complete list with a version.
func versionedList(version int64, endpoints ...protocol.Endpoint) *protocol.EndpointList {
	return &protocol.EndpointList{Version: version, Complete: true, Endpoints: endpoints}
}

// changedList returns a list of changes.
func changedList(endpoints ...protocol.Endpoint) *protocol.EndpointList {
	return &protocol.EndpointList{Endpoints: endpoints}
}

// applyList passes a list to a router as if discovery had sent it.
func applyList(router *Router, list *protocol.EndpointList) {
	router.event(func() { router.applyEndpoints(list) })
}
