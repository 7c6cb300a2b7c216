// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"iter"
	"math"
	"time"

	"fernrail/dispatch"
)

// defaultIDWindow is how long the id of a finished request stays reserved where its class sets no
// deduplication window. Clients use an id once; one that repeats another client's id may go on for
// a while after that one has its response.
const defaultIDWindow = 10 * time.Second

// idWindow is how long the id of a finished request of that class stays reserved, in ns.
func idWindow(class *dispatch.Class) int64 {
	return cmp.Or(class.DedupWindow, int64(defaultIDWindow))
}

// requestIDs holds the ids that are reserved. Two requests under one id could get each other's
// response, and a repeat within its class's deduplication window could run twice.
//
// Entries are dropped by generation: after each rotationInterval the older of two maps goes. Times
// are by the node's clock, in ns.
type requestIDs struct {
	rotationInterval int64 // the longest window of any class
	rotatedAt        int64
	current          map[string]int64 // until when an id is reserved; math.MaxInt64 while its request is open
	previous         map[string]int64 // the same, from before rotatedAt
}

func newRequestIDs(classes []*dispatch.Class) *requestIDs {
	ids := &requestIDs{current: map[string]int64{}, previous: map[string]int64{}}
	for _, class := range classes {
		ids.rotationInterval = max(ids.rotationInterval, idWindow(class))
	}
	return ids
}

// reserve reserves an id for an open request; false: it is reserved already. open gives the ids of
// the open requests, which are kept for as long as it takes.
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

// releaseAt keeps the id of a finished request reserved until a time.
func (ids *requestIDs) releaseAt(id string, until int64) {
	ids.current[id] = until
	delete(ids.previous, id)
}
