// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// lowQuantile, medianQuantile and highQuantile are the quantiles used as the low, middle and high
	// estimates of running times.
	lowQuantile    = 0.25
	medianQuantile = 0.5
	highQuantile   = 0.9
	// minRuntime (ns) is the lower bound on the expected running time of a request.
	minRuntime = 1e6
	// runtimePrior is the weight, in requests, of the assumption that a machine type runs as long as the
	// median of all types.
	runtimePrior = typeScoreWeight
)

// machineTypeStats holds the statistics of one machine type.
type machineTypeStats struct {
	scores       decayingRatio // sum of scores divided by the top score, and their number
	runtimeRatio decayingRatio // sum of warm running times over the median of all types, and their number
	maxSlots     float64       // most slots observed to run at once on one server, or reported as free
	required     bool          // some class runs only on this type
}

// meanScore is the mean score of the machine type, relative to the top score.
func (m *machineTypeStats) meanScore() float64 {
	return (m.scores.hits + initialScore) / (m.scores.total + 1)
}

// meanRuntimeRatio is the mean running time on the machine type, relative to the median of all types.
// Without it, servers in slow start would be sent a multiple of the work that they can accept if their type
// is slow, or if a few requests of a class run far longer than most.
func (m *machineTypeStats) meanRuntimeRatio(now int64) float64 {
	ratio := m.runtimeRatio.decay(now)
	return (ratio.hits + runtimePrior) / (ratio.total + runtimePrior)
}

// recordRuntime adds the running time (ns) of an attempt to those of its class. It also adds the running
// time that a warm server would have had to those of the machine type.
func (d *Dispatcher) recordRuntime(attempt *Attempt, runtime int64) {
	if runtime <= 0 {
		return
	}
	request, server := attempt.Request, attempt.Server
	ratio := server.typeStats.runtimeRatio.decay(d.now)
	ratio.total++
	warm := float64(runtime) * d.settings.warmUpFactor(server, attempt.sentAt)
	ratio.hits += warm / float64(d.expectedRuntime(request, medianQuantile))
	d.runtimes[request.Class.Index].add(float64(runtime) / request.workUnit())
}

// expectedRuntime is the running time (ns) that a share q of requests like this one does not exceed.
func (d *Dispatcher) expectedRuntime(request *Request, q float64) int64 {
	unit := request.workUnit()
	fallback := float64(request.Class.LatencyObjective) / unit
	return max(int64(unit*d.runtimes[request.Class.Index].quantile(q, fallback)), minRuntime)
}
