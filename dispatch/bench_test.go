// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"testing"
)

// idleActions implements Actions without any effects. It records the latest attempt.
type idleActions struct{ attempt *Attempt }

func (*idleActions) Schedule(int64, func()) func()   { return func() {} }
func (*idleActions) PollEndpoints(bool)              {}
func (*idleActions) ProbeCapacity(*Server)           {}
func (*idleActions) NotifyPeers(*Server, float64)    {}
func (s *idleActions) StartAttempt(attempt *Attempt) { s.attempt = attempt }
func (*idleActions) CancelAttempt(*Attempt)          {}
func (*idleActions) Shed(*Request, int64)            {}
func (*idleActions) Compensate(*Request)             {}

func newIdleDispatcher(servers int) (*Dispatcher, *idleActions, *Settings) {
	settings, actions := testSettings(), &idleActions{}
	d := New(settings, 1, actions, 1e12)
	var endpoints []Endpoint
	for i := range servers {
		endpoints = append(endpoints,
			Endpoint{Server: &Server{Tag: fmt.Sprint(i)}, Zone: i % 3, MachineType: i % 2})
	}
	d.UpdateEndpoints(true, endpoints)
	return d, actions, settings
}

// BenchmarkArrival measures one request from its arrival to the end of its attempt.
func BenchmarkArrival(b *testing.B) {
	for _, servers := range []int{20, 200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, actions, settings := newIdleDispatcher(servers)
			b.ReportAllocs()
			for now := int64(1e12); b.Loop(); now += 1e6 {
				d.Advance(now)
				request := &Request{
					Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: now + 3e9}
				d.Arrive(request)
				d.ProcessQueue()
				d.AttemptStarted(actions.attempt)
				d.AttemptEnded(actions.attempt, Succeeded, 1e7, true)
				d.ProcessQueue()
			}
		})
	}
}

// BenchmarkProcessQueue measures one pass over a queue of requests for which no server has capacity.
func BenchmarkProcessQueue(b *testing.B) {
	for _, servers := range []int{20, 200, 2000} {
		for _, waiting := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%d/%d", servers, waiting), func(b *testing.B) {
				d, _, settings := newIdleDispatcher(servers)
				d.Advance(1e12)
				for _, server := range d.servers.all {
					server.limit = 0
				}
				for range waiting {
					d.Arrive(&Request{
						Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9})
				}
				b.ReportAllocs()
				for b.Loop() {
					d.ProcessQueue()
				}
				if len(d.queue.requests) != waiting {
					b.Fatalf("%d requests are queued, want %d", len(d.queue.requests), waiting)
				}
			})
		}
	}
}
