// SPDX-License-Identifier: Apache-2.0

package dispatch

import "hash/fnv"

// Server is a worker that runs jobs.
type Server struct {
	Tag          string
	Hash         uint64 // by chance, the same at all nodes
	State        EndpointState
	OutlierScore float64 // how bad many nodes together say that it is, from 0 to 1; 0: nothing is said
	Distance     int     // 0: one that this node is to use; else those of 1 come before those of 2, where the others can't serve

	zone, machineType, cell int
	typeStats               *machineTypeStats
	sampleKey               float64 // drawn, for one txn; the least is picked
	startedAt               int64
	listed                  bool

	indexInAll, indexInIdle, indexInSlowStart, indexInLowLimit int // places in the dispatcher's sets, counted from one
	lastDraw                                                   int // the last draw that considered it
	inTurn                                                     bool
	turnUntil                                                  int64 // until when turn holds: whether this node may send to it in slow start

	scores               [scoreWindow]uint8
	scoreCount, scoreSum int
	nextScore            int
	reliability          float64
	reliabilityAt        int64
	idleUntil            int64 // until then a connection should be open and unused

	probeWaiters          []*Request    // that wait for the answer to a probe
	capacityReportedAt    int64         // of room
	reservations          recentAmounts // slots taken since, by this node or others
	freeSlots, freeMemory float64

	size        float64 // the most that the list told of it
	spareFactor float64 // what the list said last of its size less its load; one where that is not told

	concurrencyLimit
	startedSlots          float64 // of these, slots of started ones
	lateStarts            float64 // starts in a row that came late
	limitBeforeRejections float64 // what it was before refusals cut it, until a start is late
	recentSends           recentAmounts
}

// EndpointState is what the list says of an executor.
type EndpointState int

const (
	Up EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the list: an executor and what is now said of it.
type Endpoint struct {
	Server                  *Server
	State                   EndpointState
	Zone, MachineType, Cell int
	StartedAt               int64 // its latest start; 0: long ago
	Capacity                float64
}

// HashName turns a name that all nodes know an executor by into a number by chance that all of them share.
func HashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
