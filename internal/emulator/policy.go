// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"fernrail/dispatch"
)

// Module is the policy that real nodes run: the dispatch package.
func Module(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
	_ func(*dispatch.Server) float64) Decider {
	return dispatch.New(settings, seed, actions, now)
}

// selector selects one of the servers that are up; there is at least one.
type selector func(b *baseline, servers []*dispatch.Server) *dispatch.Server

// baselines are simple policies for comparison. They follow the rules of the service: an attempt is sent
// immediately, the request is retried at another server while a repeat does no harm, and it is given up
// shortly before its deadline or when its attempts are used up.
var baselines = map[string]selector{
	"random":      func(b *baseline, up []*dispatch.Server) *dispatch.Server { return up[b.random.IntN(len(up))] },
	"round-robin": func(b *baseline, up []*dispatch.Server) *dispatch.Server { b.rotation++; return up[b.rotation%len(up)] },
	"least":       func(b *baseline, up []*dispatch.Server) *dispatch.Server { return b.least(up) },
	"two-choices": func(b *baseline, up []*dispatch.Server) *dispatch.Server {
		return b.least([]*dispatch.Server{up[b.random.IntN(len(up))], up[b.random.IntN(len(up))]})
	},
	// Uses the actual state of each server without delay, which no real node can: an upper bound.
	"truth": func(b *baseline, up []*dispatch.Server) *dispatch.Server {
		return slices.MinFunc(up, func(x, y *dispatch.Server) int {
			if a, c := b.trueLoad(x), b.trueLoad(y); a < c {
				return -1
			} else if a > c {
				return 1
			}
			return 0
		})
	},
}

// Policies returns the names of all policies, "module" first.
func Policies() []string {
	names := []string{}
	for name := range baselines {
		names = append(names, name)
	}
	slices.Sort(names)
	return append([]string{"module"}, names...)
}

// PolicyOf returns the policy with a name.
func PolicyOf(name string) (Policy, error) {
	if name == "module" {
		return Module, nil
	}
	selectServer, known := baselines[name]
	if !known {
		return nil, fmt.Errorf("unknown policy %q, want one of %s", name, strings.Join(Policies(), ", "))
	}
	return func(settings *dispatch.Settings, seed uint64, actions dispatch.Actions, now int64,
		trueLoad func(*dispatch.Server) float64) Decider {
		return &baseline{settings: settings, actions: actions, now: now, selectServer: selectServer,
			trueLoad: trueLoad, random: rand.New(rand.NewPCG(seed, 4)),
			inFlight: map[*dispatch.Server]int{}, mayHaveRun: map[*dispatch.Attempt]bool{},
			cancelDeadline: map[*dispatch.Request]func(){}}
	}, nil
}

// baseline is the decider of all baselines, which differ in how they select a server.
type baseline struct {
	settings       *dispatch.Settings
	actions        dispatch.Actions
	now            int64
	selectServer   selector
	trueLoad       func(*dispatch.Server) float64
	random         *rand.Rand
	rotation       int
	servers        []*dispatch.Server
	inFlight       map[*dispatch.Server]int
	mayHaveRun     map[*dispatch.Attempt]bool // attempts that may have run
	cancelDeadline map[*dispatch.Request]func()
}

func (b *baseline) Advance(now int64) { b.now = now }

func (b *baseline) UpdateEndpoints(full bool, endpoints []dispatch.Endpoint) {
	if full {
		b.servers = nil
	}
	for _, endpoint := range endpoints {
		b.servers = slices.DeleteFunc(b.servers,
			func(server *dispatch.Server) bool { return server == endpoint.Server })
		if endpoint.State == dispatch.Up {
			b.servers = append(b.servers, endpoint.Server)
		}
	}
}

// least returns the server with the fewest attempts in flight from this node, a random one among equals.
func (b *baseline) least(servers []*dispatch.Server) *dispatch.Server {
	least, start := servers[0], b.random.IntN(len(servers))
	for i := range servers {
		if server := servers[(start+i)%len(servers)]; i == 0 || b.inFlight[server] < b.inFlight[least] {
			least = server
		}
	}
	return least
}

func (b *baseline) Arrive(request *dispatch.Request) {
	b.cancelDeadline[request] = b.actions.Schedule(request.Deadline-b.now-2*b.settings.Tick,
		func() { b.giveUp(request) })
	b.startAttempt(request)
}

// mayRun reports whether any attempt of a request may have run.
func (b *baseline) mayRun(request *dispatch.Request) bool {
	return slices.ContainsFunc(request.Attempts,
		func(attempt *dispatch.Attempt) bool { return b.mayHaveRun[attempt] })
}

func (b *baseline) startAttempt(request *dispatch.Request) {
	class := request.Class
	switch {
	case request.Done:
	case len(b.servers) == 0 || len(request.Attempts) >= b.settings.MaxAttempts ||
		b.mayRun(request) && class.Idempotency != dispatch.Idempotent:
		b.giveUp(request)
	default:
		server := b.selectServer(b, b.servers)
		attempt := &dispatch.Attempt{Request: request, Server: server, Number: len(request.Attempts),
			InFlight: true}
		request.Attempts = append(request.Attempts, attempt)
		b.mayHaveRun[attempt] = true
		b.inFlight[server]++
		b.actions.StartAttempt(attempt)
	}
}

func (b *baseline) AttemptEnded(attempt *dispatch.Attempt, outcome dispatch.Outcome, _ int64,
	requestDone bool) {
	attempt.InFlight = false
	b.inFlight[attempt.Server]--
	b.mayHaveRun[attempt] = outcome != dispatch.Rejected &&
		outcome != dispatch.ConnectFailed && outcome != dispatch.NotSent
	if requestDone {
		b.Finish(attempt.Request)
		return
	}
	b.startAttempt(attempt.Request)
}

func (b *baseline) Finish(request *dispatch.Request) {
	if request.Done {
		return
	}
	request.Done = true
	b.cancelDeadline[request]()
	delete(b.cancelDeadline, request)
	for _, attempt := range request.Attempts {
		if attempt.InFlight {
			b.actions.CancelAttempt(attempt)
		}
	}
}

func (b *baseline) giveUp(request *dispatch.Request) {
	if request.Done {
		return
	}
	harmless := !b.mayRun(request) || request.Class.Idempotency == dispatch.Idempotent ||
		request.Class.Idempotency == dispatch.IdempotentInGroup && request.Class.DedupScope == dispatch.DedupAll
	b.Finish(request)
	if harmless {
		b.actions.Shed(request, 0)
	} else {
		b.actions.Compensate(request)
	}
}

func (b *baseline) AttemptStarted(*dispatch.Attempt)    {}
func (b *baseline) AttemptProgressed(*dispatch.Attempt) {}
func (b *baseline) ProcessQueue()                       {}
