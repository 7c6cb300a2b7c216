// SPDX-License-Identifier: Apache-2.0

package budget

import "maps"

// requestsPerLease is how often a lease is renewed while it lasts, so that two requests in a row may be lost.
const requestsPerLease = 3

// LeaseHolder is what one process may use. The clock that its times come from has to go on while the machine sleeps.
type LeaseHolder struct {
	Node, Name string // of the node, and of the process
	agreement  *Agreement

	floorsSince     int64 // since when the node's floors are this process's
	floorsElsewhere bool  // the floors are another process's
	rejected        bool  // voters reject this process's agreement, so that it may use nothing

	seq              uint64 // of the latest request
	requestedAt      int64  // when that was sent
	awaitingResponse bool   // it has no response yet
	requestNow       bool   // the next one is due at once, to give units back

	epoch     uint64 // of the latest response
	clusterID string // that the epoch is of
	expiry    int64  // of the lease
	units     map[string]int64

	firstExchange clockExchange // with the current leader
	clockRate     float64       // of this clock by the leader's, once it is proved to be beyond the margin; else 0
}

// clockExchange is one request and its response: when they were sent and received by this clock, and a time in between
// by the leader's.
type clockExchange struct{ requestedAt, receivedAt, leaderTime int64 }

// NewLeaseHolder returns a holder without a lease. name is the process's own, which no process had before.
func NewLeaseHolder(node, name string, agreement *Agreement, now int64) *LeaseHolder {
	return &LeaseHolder{Node: node, Name: name, agreement: agreement, floorsSince: now, units: map[string]int64{}}
}

// Units returns what may be used of a budget now. A floor counts from a window after the process's start, since a
// process before it may have used the same floor until then.
func (h *LeaseHolder) Units(budget string, now int64) int64 {
	return h.floor(budget, now) + h.LeasedUnits(budget, now)
}

func (h *LeaseHolder) floor(budget string, now int64) int64 {
	limits := h.agreement.limits(budget)
	if h.floorsElsewhere || h.rejected || now-h.floorsSince < h.agreement.withMargin(limits.Window) {
		return 0
	}
	return limits.Floor
}

// SetFloorOwner says whether the node's floors are this process's, as they are from its start. Of two processes of a
// node, as during an upgrade, only one may use them. Taken over they count from a window later.
func (h *LeaseHolder) SetFloorOwner(owner bool, now int64) {
	if owner && h.floorsElsewhere {
		h.floorsSince = now
	}
	h.floorsElsewhere = !owner
}

// SetRejected says whether voters reject this process's agreement. When they accept it again floors count from a
// window later.
func (h *LeaseHolder) SetRejected(rejected bool, now int64) {
	if h.rejected && !rejected {
		h.floorsSince = now
	}
	h.rejected = rejected
}

// LeasedUnits returns the part of Units that is leased, without the floor.
func (h *LeaseHolder) LeasedUnits(budget string, now int64) int64 {
	if now >= h.expiry {
		return 0
	}
	return h.units[budget]
}

// NextRequest returns the next request, to be sent now. demand is what the node could use of each budget beyond its
// floor.
func (h *LeaseHolder) NextRequest(demand map[string]int64, now int64) LeaseRequest {
	if now >= h.expiry {
		clear(h.units)
	}
	if h.clockRate != 0 {
		demand = nil
	}
	h.seq++
	// The lease is counted from here. Counted from the response it would end after the leader takes it for expired.
	h.requestedAt = now
	h.awaitingResponse = true
	h.requestNow = false
	return LeaseRequest{
		Node:      h.Node,
		Holder:    h.Name,
		Seq:       h.seq,
		MaxUnits:  maps.Clone(h.units),
		Demand:    demand,
		HasLease:  now < h.expiry,
		Epoch:     h.epoch,
		ClockRate: h.clockRate,
	}
}

// ApplyResponse takes the response to the latest request, and reports whether that is a lease that is in force. Any
// other response is ignored: it may grant units that a later request gave back.
func (h *LeaseHolder) ApplyResponse(response *LeaseResponse, now int64) bool {
	// Epochs of different clusters can't be compared: a newly founded one counts from the start.
	isStale := response.Epoch < h.epoch && response.ClusterID == h.clusterID
	if !h.awaitingResponse || response.Seq != h.seq || isStale {
		return false
	}
	h.awaitingResponse = false
	h.compareClocks(response, now)
	h.epoch = response.Epoch
	h.clusterID = response.ClusterID
	// On a slower clock than was agreed the lease would be in use after it was granted to another holder.
	if h.clockRate != 0 {
		clear(h.units)
		return false
	}
	h.expiry = h.requestedAt + min(response.Lease, h.agreement.Lease)
	h.takeUnits(response)
	return now < h.expiry
}

// takeUnits takes the granted units. Where the target is less, the rest is not used from now on and given back at once.
func (h *LeaseHolder) takeUnits(response *LeaseResponse) {
	clear(h.units)
	for name, units := range response.Units {
		target := max(response.Target[name], 0)
		if target < units {
			units = target
			h.requestNow = true
		}
		if units > 0 {
			h.units[name] = units
		}
	}
}

// compareClocks sets the clock rate if this exchange and the first one with the same leader prove it to be beyond the
// margin.
func (h *LeaseHolder) compareClocks(response *LeaseResponse, now int64) {
	exchange := clockExchange{requestedAt: h.requestedAt, receivedAt: now, leaderTime: response.LeaderTime}
	if response.Epoch != h.epoch || response.ClusterID != h.clusterID {
		h.firstExchange = exchange
		h.clockRate = 0
	}
	if rate, isSkewed := h.measureClock(exchange); isSkewed {
		h.clockRate = rate
	}
}

// measureClock returns the rate of this clock by the leader's, and whether it is beyond the margin however long calls
// took.
func (h *LeaseHolder) measureClock(exchange clockExchange) (rate float64, isSkewed bool) {
	leaderElapsed := float64(exchange.leaderTime - h.firstExchange.leaderTime)
	leastElapsed := float64(exchange.requestedAt - h.firstExchange.receivedAt)
	mostElapsed := float64(exchange.receivedAt - h.firstExchange.requestedAt)
	if leaderElapsed <= 0 || leastElapsed <= 0 {
		return 1, false
	}
	tolerance := 1 + h.agreement.ClockMargin
	isSkewed = leaderElapsed > mostElapsed*tolerance || leaderElapsed < leastElapsed/tolerance
	return (leastElapsed + mostElapsed) / 2 / leaderElapsed, isSkewed
}

// ClockRate returns the rate of this process's clock by the leader's if that is proved to be beyond the margin, else 0.
func (h *LeaseHolder) ClockRate() float64 { return h.clockRate }

// Epoch returns the epoch of the latest response.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// NextRequestTime returns when the next request is due: at once if there are units to give back.
func (h *LeaseHolder) NextRequestTime() int64 {
	if h.requestNow {
		return h.requestedAt
	}
	return h.requestedAt + h.agreement.Lease/requestsPerLease
}

// Seq returns the number of the latest request.
func (h *LeaseHolder) Seq() uint64 { return h.seq }

// LeaseExpiry returns when the lease expires by this process's clock.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.expiry }
