// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"math"
	"time"

	"fernrail/dispatch"
)

// defaultIDWindow is how long an id is not taken again once its txn has ended, where the scheme does not say how long repeats are
// dropped: whoever repeats another client's id goes on for a while after that one has its answer. Clients use an id once.
const defaultIDWindow = 10 * time.Second

// idWindow is the same for one scheme.
func (r *Router) idWindow(scheme int) int64 {
	return cmp.Or(r.settings.Classes[scheme].DedupWindow, int64(defaultIDWindow))
}

// reserveID says whether a txn's id is new to this node, and keeps it.
// Danger: an id that is another client's, taken a second time; the two would run under one name, and the wrong one might
// get the answer.
func (r *Router) reserveID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if now-r.idsRotatedAt >= r.longestIDWindow {
		r.seenIDs[1], r.seenIDs[0], r.idsRotatedAt = r.seenIDs[0], map[string]int64{}, now
		for _, l := range r.requests {
			r.seenIDs[0][l.request.ID] = math.MaxInt64
		}
	}
	if max(r.seenIDs[0][id], r.seenIDs[1][id]) > now {
		return false
	}
	r.seenIDs[0][id] = math.MaxInt64
	return true
}

// removeRequest takes a txn out that has its final answer or lost its client; nil: there is none. Under mu.
func (r *Router) removeRequest(t *dispatch.Request) *requestState {
	l := r.requests[t]
	if l != nil {
		delete(r.requests, t)
		r.seenIDs[0][l.request.ID] = r.clock() + r.idWindow(l.request.Class)
		delete(r.seenIDs[1], l.request.ID)
	}
	return l
}
