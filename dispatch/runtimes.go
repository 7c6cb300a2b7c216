// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	// lowQuantile, medianQuantile and highQuantile are taken as the low, the middle and the high end of running
	// times.
	lowQuantile    = 0.25
	medianQuantile = 0.5
	highQuantile   = 0.9
	// minRuntime (ns) is the least running time that is expected of a request.
	minRuntime = 1e6
	// runtimePrior is the number of requests by which a machine type is taken to run as long as all types do.
	runtimePrior = typeScoreWeight
)

// machineTypeStats is what is known of one machine type.
type machineTypeStats struct {
	scores       decayingRatio // sum of scores over the top score, and their number
	runtimeRatio decayingRatio // sum of warm running times over the median of all types, and their number
	maxSlots     float64       // the most that were seen to run at once on one server, or reported as free
	required     bool          // some class runs on this type alone
}

// meanScore is the mean score of the machine type over the top score.
func (m *machineTypeStats) meanScore() float64 {
	return (m.scores.hits + initialScore) / (m.scores.total + 1)
}

// meanRuntimeRatio is the mean running time on the machine type over the median of all types. Without it
// servers in slow start of slow types, or of a class where few requests run far longer than most, would be sent
// a multiple of what they can take.
func (m *machineTypeStats) meanRuntimeRatio(now int64) float64 {
	ratio := m.runtimeRatio.decay(now)
	return (ratio.hits + runtimePrior) / (ratio.total + runtimePrior)
}

// recordRuntime adds the running time (ns) of an attempt to those of its class, and to those of its machine
// type as if the server had been warm.
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
	unknown := float64(request.Class.LatencyObjective) / unit
	return max(int64(unit*d.runtimes[request.Class.Index].quantile(q, unknown)), minRuntime)
}
