// SPDX-License-Identifier: Apache-2.0

package budget

import "maps"

// requestsPerLease is the number of renewals within a lease duration, so that a lease survives two lost
// requests in a row.
const requestsPerLease = 3

// LeaseHolder tracks the units that one process may use. The clock that supplies its times must keep running
// while the machine sleeps.
type LeaseHolder struct {
	Node, Name string // names of the node and of the process
	agreement  *Agreement

	floorsSince          int64 // when this process became the owner of the node's floors
	floorsOwnedElsewhere bool  // another process of the node owns the floors
	rejected             bool  // voters reject this process's agreement, so it may use no floors

	seq              uint64 // of the latest request
	requestedAt      int64  // when the latest request was sent
	awaitingResponse bool   // the latest request has no response yet
	requestNow       bool   // the next request is due at once, to return units

	epoch     uint64 // of the latest response
	clusterID string // of the latest response; epochs of different clusters can't be compared
	expiry    int64  // of the lease
	units     map[string]int64

	firstExchange clockExchange // with the current leader
	clockRate     float64       // relative to the leader's clock, once proved to be beyond the margin; else 0
}

// clockExchange is one request and its response: the times of sending and receiving by this clock, and a time
// in between by the leader's clock.
type clockExchange struct{ requestedAt, receivedAt, leaderTime int64 }

// NewLeaseHolder returns a holder without a lease. name identifies the process and must never have been used
// before.
func NewLeaseHolder(node, name string, agreement *Agreement, now int64) *LeaseHolder {
	return &LeaseHolder{
		Node: node, Name: name, agreement: agreement, floorsSince: now, units: map[string]int64{}}
}

// Units returns the units of a budget that may be used now. The floor is available one window after the
// process started, since an earlier process may have used the same floor until then.
func (h *LeaseHolder) Units(budget string, now int64) int64 {
	return h.floor(budget, now) + h.LeasedUnits(budget, now)
}

func (h *LeaseHolder) floor(budget string, now int64) int64 {
	limits := h.agreement.limits(budget)
	if h.floorsOwnedElsewhere || h.rejected || now-h.floorsSince < h.agreement.withMargin(limits.Window) {
		return 0
	}
	return limits.Floor
}

// SetFloorOwner sets whether this process owns the node's floors, as it does from its start. If a node has
// two processes, as during an upgrade, only one of them may use the floors. After a takeover the floors are
// available one window later.
func (h *LeaseHolder) SetFloorOwner(owner bool, now int64) {
	if owner && h.floorsOwnedElsewhere {
		h.floorsSince = now
	}
	h.floorsOwnedElsewhere = !owner
}

// SetRejected sets whether voters reject this process's agreement. When they accept it again, the floors are
// available one window later.
func (h *LeaseHolder) SetRejected(rejected bool, now int64) {
	if h.rejected && !rejected {
		h.floorsSince = now
	}
	h.rejected = rejected
}

// LeasedUnits returns the leased units of a budget that may be used now, without the floor.
func (h *LeaseHolder) LeasedUnits(budget string, now int64) int64 {
	if now >= h.expiry {
		return 0
	}
	return h.units[budget]
}

// NextRequest returns the next request, to be sent now. demand is the number of units of each budget that the
// node could use beyond its floor.
func (h *LeaseHolder) NextRequest(demand map[string]int64, now int64) LeaseRequest {
	if now >= h.expiry {
		clear(h.units)
	}
	if h.clockRate != 0 {
		demand = nil
	}
	h.seq++
	// The lease begins when the request is sent. If it began with the response, it would end after the leader
	// considers it expired.
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

// ApplyResponse applies the response to the latest request and reports whether the lease is now in force. It
// ignores responses to earlier requests: they may grant units that a later request returned.
func (h *LeaseHolder) ApplyResponse(response *LeaseResponse, now int64) bool {
	// Epochs of different clusters can't be compared: a newly founded cluster counts from the start.
	isStale := response.Epoch < h.epoch && response.ClusterID == h.clusterID
	if !h.awaitingResponse || response.Seq != h.seq || isStale {
		return false
	}
	h.awaitingResponse = false
	h.compareClocks(response, now)
	h.epoch = response.Epoch
	h.clusterID = response.ClusterID
	// If this clock is slower than the margin allows, the lease would be in use after its units were granted
	// to another holder.
	if h.clockRate != 0 {
		clear(h.units)
		return false
	}
	h.expiry = h.requestedAt + min(response.Lease, h.agreement.Lease)
	h.applyUnits(response)
	return now < h.expiry
}

// applyUnits sets the leased units to the granted units. If the target is lower, the holder uses only the
// target and returns the remaining units with a request at once.
func (h *LeaseHolder) applyUnits(response *LeaseResponse) {
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

// compareClocks sets the clock rate if this exchange and the first one with the same leader prove that the
// rate is beyond the margin.
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

// measureClock returns the rate of this clock relative to the leader's, and whether it is beyond the margin
// regardless of how long the messages were in transit.
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

// ClockRate returns the rate of this process's clock relative to the leader's if it is proved to be beyond
// the margin, else 0.
func (h *LeaseHolder) ClockRate() float64 { return h.clockRate }

// Epoch returns the epoch of the latest response.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// NextRequestTime returns the time at which the next request is due. It is due at once if there are units to
// return.
func (h *LeaseHolder) NextRequestTime() int64 {
	if h.requestNow {
		return h.requestedAt
	}
	return h.requestedAt + h.agreement.Lease/requestsPerLease
}

// Seq returns the number of the latest request.
func (h *LeaseHolder) Seq() uint64 { return h.seq }

// LeaseExpiry returns the time at which the lease expires by this process's clock.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.expiry }
