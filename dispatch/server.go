// SPDX-License-Identifier: Apache-2.0

package dispatch

import "hash/fnv"

// Server is one of the pool that requests are sent to, with what this node knows of it.
type Server struct {
	Tag          string
	Hash         uint64 // of its name, the same at all nodes; see HashName
	State        EndpointState
	OutlierScore float64 // how unreliable many nodes together say that it is, from 0 to 1; 0: nothing is said
	Distance     int     // servers of a larger distance are sent to only where those of a smaller one can't serve

	zone, machineType, cell int
	typeStats               *machineTypeStats
	startedAt               int64 // its latest start, clock time; 0: long ago
	listed                  bool

	// Places in the dispatcher's sets, counted from one; 0: not in the set.
	indexInAll, indexInIdle, indexInSlowStart, indexInLowLimit int

	sampleKey float64 // drawn for one request; the server with the least is picked
	lastDraw  int     // number of the last draw that considered it

	inTurn    bool  // this node may send to it in slow start,
	turnUntil int64 // until this clock time

	scores      scoreWindow
	reliability reliability
	idleUntil   int64 // until then an idle connection to it should be open

	probeWaiters          []*Request    // wait for the answer to a capacity probe
	capacityReportedAt    int64         // when its latest capacity probe ended; 0: never
	reservations          recentAmounts // slots reserved of late, by this node or others, as negative amounts
	freeSlots, freeMemory float64       // as reported, less what was reserved since

	size        float64 // the highest capacity that the endpoint list gave it
	spareFactor float64 // the capacity that the list gave it last; 1 where that doesn't change with load

	concurrencyLimit
	startedSlots          float64 // slots of attempts that have started, of those in flight
	lateStarts            float64 // in a row
	limitBeforeRejections float64 // the limit before rejections reduced it; 0 once a start was late
	recentSends           recentAmounts
}

// EndpointState is what the endpoint list says of a server.
type EndpointState int

// The states of an endpoint.
const (
	Up       EndpointState = iota // may be sent to
	Draining                      // finishes what it has
	Removed                       // has left the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server                  *Server
	State                   EndpointState
	Zone, MachineType, Cell int
	StartedAt               int64 // its latest start, clock time; 0: long ago
	Capacity                float64
}

// HashName hashes a server's name. All nodes get the same number, so that they prefer the same servers for an
// affinity key.
func HashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
