// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkGrant measures the time per request when one entry contains a request of each holder, with
// changing demand. The leader must process three requests per node within each lease duration, so the time of
// one request must stay far below its part of that.
func BenchmarkGrant(b *testing.B) {
	for _, count := range []int{9, 100, 300, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkGrant(b, count) })
	}
}

func benchmarkGrant(b *testing.B, count int) {
	agreement := &Agreement{MaxNodes: int64(count), Lease: 3e9, ClockMargin: 0.05, Budgets: map[string]Limits{
		"again":   {Total: 4 * int64(count), Floor: 1, Step: 1, Window: 1e9},
		"connect": {Total: 4 * int64(count), Floor: 1, Step: 1, Window: 1e9},
		"cold":    {Total: 10000, Step: 1000, Window: 2e9, Partitions: 16},
	}}
	leader, random := newTestLeader(agreement), rand.New(rand.NewPCG(1, 1))
	var holders []*LeaseHolder
	var estimators []*DemandEstimator
	for i := range count {
		node := fmt.Sprint("n", i)
		holders = append(holders, NewLeaseHolder(node, fmt.Sprint("p", i), agreement, leader.now))
		estimators = append(estimators, NewDemandEstimator(node, agreement))
	}
	randomUsage := func(string) (float64, bool) { return 8 * random.Float64(), random.IntN(3) == 0 }
	requests := 0
	for b.Loop() {
		leader.now += agreement.Lease / 3
		leader.expire()
		b.StopTimer()
		entry := &LogEntry{Epoch: 1}
		for i, h := range holders {
			units := func(name string) int64 { return h.Units(name, leader.now) }
			demand := estimators[i].Estimate(randomUsage, units)
			entry.Requests = append(entry.Requests, h.NextRequest(demand, leader.now))
		}
		b.StartTimer()
		responses, err := leader.ledger.Apply(entry)
		if err != nil {
			b.Fatal(err)
		}
		leader.term.RecordApplied(leader.ledger, entry, responses, leader.now)
		b.StopTimer()
		for i, h := range holders {
			responses[i].LeaderTime = leader.now
			h.ApplyResponse(responses[i], leader.now)
			estimators[i].ObserveResponse(responses[i])
		}
		requests += count
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
}
