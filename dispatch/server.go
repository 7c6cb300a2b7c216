// SPDX-License-Identifier: Apache-2.0

package dispatch

import "hash/fnv"

// Server is one of the servers that requests are sent to, with the state that this node has of it.
type Server struct {
	Tag          string
	Hash         uint64 // hash of its name, the same at all nodes; see HashName
	State        EndpointState
	OutlierScore float64 // unreliability reported by many nodes together, from 0 to 1; 0: none reported
	Distance     int     // a server receives requests only if none at a smaller distance can serve them

	zone, machineType, cell int
	typeStats               *machineTypeStats
	startedAt               int64 // clock time of its latest start; 0: long ago
	listed                  bool

	// Positions in the dispatcher's sets, counted from one; 0: not in the set.
	indexInAll, indexInIdle, indexInSlowStart, indexInLowLimit int

	sampleKey float64 // of the latest draw; the server with the lowest key is selected
	lastDraw  int     // sequence number of the last draw that considered it

	inTurn    bool  // it is this node's turn to send to it in slow start
	turnUntil int64 // clock time at which the turn has to be computed again

	scores      scoreWindow
	reliability reliability
	idleUntil   int64 // clock time until which an idle connection to it is probably open

	probeWaiters          []*Request    // requests that wait for the answer to a capacity probe
	capacityReportedAt    int64         // clock time at which its latest capacity probe ended; 0: never
	reservations          recentAmounts // slots recently reserved by this node or others, as negative amounts
	freeSlots, freeMemory float64       // as reported, minus later reservations

	size        float64 // highest capacity in the endpoint list since its latest start, at least 1
	spareFactor float64 // latest capacity in the endpoint list; 1 if that does not change with load

	concurrencyLimit
	startedSlots          float64 // slots of the attempts in flight that have started
	lateStarts            float64 // number of consecutive late starts
	limitBeforeRejections float64 // limit before rejections reduced it; 0 after a prompt or late start
	recentSends           recentAmounts
}

// EndpointState is the state of a server in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Up       EndpointState = iota // accepts requests
	Draining                      // finishes its current requests and must not receive new ones
	Removed                       // no longer in the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server                  *Server
	State                   EndpointState
	Zone, MachineType, Cell int
	StartedAt               int64 // clock time of its latest start; 0: long ago
	Capacity                float64
}

// HashName returns the hash of a server's name. It is the same at all nodes, so that they prefer the same
// servers for an affinity key.
func HashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
