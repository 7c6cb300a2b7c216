// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"iter"
	"math"
	"time"

	"fernrail/dispatch"
)

// defaultIDWindow is how long the id of a finished request stays reserved if its class sets no
// deduplication window. Clients must use each id once. A client that reuses the id of another client may
// continue to send it for some time after that client got its response.
const defaultIDWindow = 10 * time.Second

// idWindow returns how long the id of a finished request of a class stays reserved, in ns.
func idWindow(class *dispatch.Class) int64 {
	return cmp.Or(class.DedupWindow, int64(defaultIDWindow))
}

// requestIDs holds the reserved ids. Without the reservation, two requests with one id could get each
// other's response, and a repeat within the deduplication window of its class could run twice.
//
// Entries expire by generation: after each rotationInterval the older of two maps is deleted. Times are
// by the node's clock, in ns.
type requestIDs struct {
	rotationInterval int64 // the longest window of any class
	rotatedAt        int64
	current          map[string]int64 // end of the reservation by id; math.MaxInt64 while the request is open
	previous         map[string]int64 // the generation before rotatedAt
}

func newRequestIDs(classes []*dispatch.Class) *requestIDs {
	ids := &requestIDs{current: map[string]int64{}, previous: map[string]int64{}}
	for _, class := range classes {
		ids.rotationInterval = max(ids.rotationInterval, idWindow(class))
	}
	return ids
}

// reserve reserves an id for an open request. It reports false if the id is already reserved. open
// iterates over the ids of the open requests, whose reservations never expire while they are open.
func (ids *requestIDs) reserve(id string, now int64, open iter.Seq[string]) bool {
	if now-ids.rotatedAt >= ids.rotationInterval {
		ids.rotate(now, open)
	}
	if max(ids.current[id], ids.previous[id]) > now {
		return false
	}
	ids.current[id] = math.MaxInt64
	return true
}

func (ids *requestIDs) rotate(now int64, open iter.Seq[string]) {
	ids.previous = ids.current
	ids.current = map[string]int64{}
	ids.rotatedAt = now
	for id := range open {
		ids.current[id] = math.MaxInt64
	}
}

// releaseAt sets the end of the reservation of a finished request's id.
func (ids *requestIDs) releaseAt(id string, until int64) {
	ids.current[id] = until
	delete(ids.previous, id)
}
