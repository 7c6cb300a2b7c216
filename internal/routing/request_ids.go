// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"cmp"
	"iter"
	"math"
	"net/http"
	"time"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// defaultIDWindow is how long the id of a finished request stays reserved if its class sets no
// deduplication window. Clients must use each id once. A client that reuses the id of another client may
// continue to send it for some time after that client got its response.
const defaultIDWindow = 10 * time.Second

// idWindow returns how long the id of a finished request of a class stays reserved, in ns.
func idWindow(class *dispatch.Class) int64 {
	return cmp.Or(class.DedupWindow, int64(defaultIDWindow))
}

// reservationAfterEnd returns how long the id of a request that has ended stays reserved. A request without an attempt
// has had no effect, so its id is not kept: a client could fill the memory with ids that it never uses again.
func reservationAfterEnd(request *dispatch.Request) time.Duration {
	if len(request.Attempts) == 0 {
		return 0
	}
	return time.Duration(idWindow(request.Class))
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

// release ends the reservation of an id now.
func (ids *requestIDs) release(id string) {
	delete(ids.current, id)
	delete(ids.previous, id)
}

// reserveID reserves the id of a new request in this process. It reports false if the id is still reserved by
// an open or recently finished request.
func (r *Router) reserveID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids.reserve(id, r.clock(), r.openIDs)
}

// openIDs iterates over the ids of the open requests. The caller must hold r.mu.
func (r *Router) openIDs(yield func(id string) bool) {
	for _, state := range r.requests {
		if !yield(state.received.ID) {
			return
		}
	}
}

// reserveInNode reserves an id that this process has reserved among all processes of the node. It returns the
// response to the request if the request must not be served. If it cannot be determined what the others have
// reserved, only idempotent requests are served; the others are shed, since they have not run.
func (r *Router) reserveInNode(request *dispatch.Request, received *protocol.Request) *protocol.Response {
	reserved, err := r.idRegistry.Reserve(received.ID, r.maxOpenTime(request, received))
	if reserved || err != nil && request.Class.Idempotency == dispatch.Idempotent {
		return nil
	}
	r.mu.Lock()
	r.ids.release(received.ID)
	r.mu.Unlock()
	if err == nil {
		return &protocol.Response{Status: http.StatusConflict}
	}
	r.log.Debug().Err(err).Str("id", received.ID).Msg("request not served")
	return &protocol.Response{Status: http.StatusServiceUnavailable}
}

// maxOpenTime returns the longest time for which a request can be open, with its id's window. It applies only
// if this process ends before the request does.
func (r *Router) maxOpenTime(request *dispatch.Request, received *protocol.Request) time.Duration {
	return received.Timeout + time.Duration(r.settings.DeadlineMargin+idWindow(request.Class))
}
