// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"fmt"
	"testing"
)

// still is a Door on which nothing happens by itself.
type still struct{ posted *Attempt }

func (*still) Schedule(int64, func()) func()   { return func() {} }
func (*still) PollEndpoints(bool)              {}
func (*still) ProbeCapacity(*Server)           {}
func (*still) NotifyPeers(*Server, float64)    {}
func (s *still) StartAttempt(attempt *Attempt) { s.posted = attempt }
func (*still) CancelAttempt(*Attempt)          {}
func (*still) Shed(*Request, int64)            {}
func (*still) Compensate(*Request)             {}

func stillWorld(executors int) (*Dispatcher, *still, *Settings) {
	terms, door := basicTerms(), &still{}
	d := New(terms, 1, door, 1e12)
	var members []Endpoint
	for i := range executors {
		members = append(members, Endpoint{Server: &Server{Tag: fmt.Sprint(i)}, Zone: i % 3, MachineType: i % 2})
	}
	d.UpdateEndpoints(true, members)
	return d, door, terms
}

// BenchmarkArrival is one arrival to its posting, and the posting's end.
func BenchmarkArrival(b *testing.B) {
	for _, executors := range []int{20, 200, 3200} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			d, door, terms := stillWorld(executors)
			b.ReportAllocs()
			for now := int64(1e12); b.Loop(); now += 1e6 {
				d.Advance(now)
				request := &Request{Class: terms.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: now + 3e9}
				d.Arrive(request)
				d.ProcessQueue()
				d.AttemptStarted(door.posted)
				d.AttemptEnded(door.posted, Succeeded, 1e7, true)
				d.ProcessQueue()
			}
		})
	}
}

// BenchmarkSettle is one look at a queue of txns that find no room.
func BenchmarkSettle(b *testing.B) {
	for _, executors := range []int{20, 200, 2000} {
		for _, waiting := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%d/%d", executors, waiting), func(b *testing.B) {
				d, _, terms := stillWorld(executors)
				d.Advance(1e12)
				for _, server := range d.servers.all {
					server.limit = 0
				}
				for range waiting {
					d.Arrive(&Request{Class: terms.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9})
				}
				b.ReportAllocs()
				for b.Loop() {
					d.ProcessQueue()
				}
				if len(d.queue.requests) != waiting {
					b.Fatalf("%d of %d wait", len(d.queue.requests), waiting)
				}
			})
		}
	}
}
