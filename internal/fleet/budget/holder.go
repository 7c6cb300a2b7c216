// SPDX-License-Identifier: Apache-2.0

package budget

import "maps"

// LeaseHolder is what one process may use. Its clock has to go on while the machine sleeps.
type LeaseHolder struct {
	Node, Name       string
	agreement        *Agreement
	floorsSince      int64 // or since when the floors are this process's
	floorsElsewhere  bool  // the floors are another process's
	rejected         bool  // its pact is not the fleet's: it has nothing
	seq, epoch       uint64
	clusterID        string           // that the epoch is of
	requestedAt      int64            // the latest request
	awaitingResponse bool             // it has no answer yet
	expiry           int64            // when the lease runs out
	units            map[string]int64 // under it
	firstExchange    clockExchange    // the first exchange with the seat that grants
	clockRate        float64          // of this clock by the seat's, where that is proved to be beyond the margin; 0: it is not
	requestNow       bool             // to ask at once: something is to be given back, or more was said to come
}

// clockExchange is one exchange: by this clock it was begun and over, by the seat's it was at a moment between.
type clockExchange struct{ requestedAt, receivedAt, leaderTime int64 }

// NewLeaseHolder begins with nothing. name is the process's own, never used before.
func NewLeaseHolder(node, name string, pact *Agreement, now int64) *LeaseHolder {
	return &LeaseHolder{Node: node, Name: name, agreement: pact, floorsSince: now, units: map[string]int64{}}
}

// Units may be used now.
// Danger: a process before this one may have used its node's floor a moment ago. So it counts from a window on.
func (h *LeaseHolder) Units(budget string, now int64) int64 {
	t, units := h.agreement.limits(budget), int64(0)
	if !h.floorsElsewhere && !h.rejected && now-h.floorsSince >= h.agreement.withMargin(t.Window) {
		units = t.Floor
	}
	return units + h.LeasedUnits(budget, now)
}

// SetFloorOwner says whether the node's floors are this process's, which they are from its start; taken over they count from a window on.
// Danger: two processes of one node during an upgrade, each with all of its floors.
func (h *LeaseHolder) SetFloorOwner(yes bool, now int64) {
	if yes && h.floorsElsewhere {
		h.floorsSince = now
	}
	h.floorsElsewhere = !yes
}

// SetRejected says whether seats refuse this process's pact. Taken up again its floors count from a window on.
func (h *LeaseHolder) SetRejected(yes bool, now int64) {
	if h.rejected && !yes {
		h.floorsSince = now
	}
	h.rejected = yes
}

// LeasedUnits is the part of them beyond the floor.
func (h *LeaseHolder) LeasedUnits(budget string, now int64) int64 {
	if now >= h.expiry {
		return 0
	}
	return h.units[budget]
}

// NextRequest makes the next request; want is what the node could use of each budget, beyond its floor.
func (h *LeaseHolder) NextRequest(want map[string]int64, now int64) LeaseRequest {
	if now >= h.expiry {
		clear(h.units)
	}
	if h.clockRate != 0 {
		want = nil
	}
	h.seq++
	// Danger: counted from the answer, a lease would end after the grantor believes that it has.
	h.requestedAt, h.awaitingResponse, h.requestNow = now, true, false
	return LeaseRequest{Node: h.Node, Holder: h.Name, Seq: h.seq, MaxUnits: maps.Clone(h.units), Demand: want, HasLease: now < h.expiry, Epoch: h.epoch, ClockRate: h.clockRate}
}

// ApplyResponse accepts the answer to the latest request, and no other.
// Danger: an answer that comes late or twice tells of units that a later request gave back.
func (h *LeaseHolder) ApplyResponse(a *LeaseResponse, now int64) bool {
	// Danger: a group founded anew counts its epochs from the first on; a node that outlived the old one would take no
	// answer of it for good.
	if !h.awaitingResponse || a.Seq != h.seq || a.Epoch < h.epoch && a.ClusterID == h.clusterID {
		return false
	}
	if h.awaitingResponse = false; a.Epoch != h.epoch || a.ClusterID != h.clusterID {
		h.firstExchange, h.clockRate = clockExchange{h.requestedAt, now, a.LeaderTime}, 0
	}
	h.epoch, h.clusterID = a.Epoch, a.ClusterID
	// Danger: a clock slower than was agreed has a lease used after it was granted to another. Whoever can tell that
	// its own is, by what calls prove, uses none.
	if rate, off := h.measureClock(clockExchange{h.requestedAt, now, a.LeaderTime}); off {
		h.clockRate = rate
	}
	if h.clockRate != 0 {
		clear(h.units)
		return false
	}
	h.expiry = h.requestedAt + min(a.Lease, h.agreement.Lease)
	clear(h.units)
	for name, units := range a.Units {
		if target := max(a.Target[name], 0); target < units {
			units, h.requestNow = target, true // not used from now on; the next request gives it back
		}
		if units > 0 {
			h.units[name] = units
		}
	}
	return now < h.expiry
}

// measureClock says how fast this clock runs by the seat's, and whether that is beyond the margin however long calls took.
func (h *LeaseHolder) measureClock(m clockExchange) (rate float64, off bool) {
	theirs, least, most := float64(m.leaderTime-h.firstExchange.leaderTime), float64(m.requestedAt-h.firstExchange.receivedAt), float64(m.receivedAt-h.firstExchange.requestedAt)
	if theirs <= 0 || least <= 0 {
		return 1, false
	}
	return (least + most) / 2 / theirs, theirs > most*(1+h.agreement.ClockMargin) || theirs < least/(1+h.agreement.ClockMargin)
}

// ClockRate is that of this process's clock, where it is beyond the margin; 0: it is not known to be.
func (h *LeaseHolder) ClockRate() float64 { return h.clockRate }

// Epoch is the latest heard of.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// NextRequestTime is when to ask again: thrice in a lease, so that two requests may be lost; at once where units are to be given back.
func (h *LeaseHolder) NextRequestTime() int64 {
	if h.requestNow {
		return h.requestedAt
	}
	return h.requestedAt + h.agreement.Lease/3
}

// Seq is the number of the latest request.
func (h *LeaseHolder) Seq() uint64 { return h.seq }

// LeaseExpiry is when the lease ends by this process's clock.
func (h *LeaseHolder) LeaseExpiry() int64 { return h.expiry }
