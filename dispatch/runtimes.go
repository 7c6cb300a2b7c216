// SPDX-License-Identifier: Apache-2.0

package dispatch

// machineTypeStats is what is known of one kind of machine.
type machineTypeStats struct {
	scores       decayingRatio // over the top score
	runtimeRatio decayingRatio // how long jobs ran there when warm, over what is expected of all kinds in the middle
	maxSlots     float64       // the most seen at work in one executor, or told to be free
	required     bool          // some scheme can't do without it
}

// meanRuntimeRatio is the mean of what jobs take on a kind of machine, by what is expected of all kinds in the middle. Danger: where some
// kinds are slow, or few jobs run far longer than most, what a cold one bears is taken for twice as much.
func (m *machineTypeStats) meanRuntimeRatio(now int64) float64 {
	l := m.runtimeRatio.decay(now)
	return (l.hits + typeScoreWeight) / (l.total + typeScoreWeight)
}

// recordRuntime notes how long a job ran, of its scheme and on its kind of machine, as if that had been warm.
func (d *Dispatcher) recordRuntime(attempt *Attempt, ran int64) {
	if request, server := attempt.Request, attempt.Server; ran > 0 {
		l := server.typeStats.runtimeRatio.decay(d.now)
		l.total, l.hits = l.total+1, l.hits+float64(ran)*d.settings.warmUpFactor(server, attempt.sentAt)/float64(d.expectedRuntime(request, 0.5))
		d.runtimes[request.Class.Index].add(float64(ran) / request.workUnit())
	}
}

// expectedRuntime is how long the txn is expected to run, at quantile q.
func (d *Dispatcher) expectedRuntime(request *Request, q float64) int64 {
	return max(int64(request.workUnit()*d.runtimes[request.Class.Index].quantile(q, float64(request.Class.LatencyObjective)/request.workUnit())), 1e6)
}
