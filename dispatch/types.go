// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// Idempotency says what a repeat of a txn does.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentInGroup
	NonIdempotent
)

// DedupScope is the group of executors that drops repeats of a referenced txn.
type DedupScope int

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class holds what the terms say of one scheme. Times are nanoseconds, here as everywhere.
type Class struct {
	Index            int
	LatencyObjective int64
	MaxDeadline      int64   // how long a client waits for all its tries; 0: not told
	ObjectivePerWork float64 // the SLA time grows by this multiple of the txn's own work
	Weight           float64 // billing value
	LateShare        float64 // share of it that a late answer earns
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      int64 // how long a group remembers a referenced txn
	MachineType      int   // the one kind of machine that runs it, or -1
}

// Tenant is one customer with its share of the service.
type Tenant struct {
	Tag   string // the door's own name of it
	Quota float64
}

// Settings are the settings handed over at start, decoded once.
type Settings struct {
	Zone                int // of this node
	Nodes, NodeIndex    int // how many there are, and this one's index among them
	Tick                int64
	Classes             []*Class
	Tenants             []*Tenant
	WeightByWork        bool // billing value counts for each unit of work
	OverQuotaWeight     float64
	LiveCapacity        bool // the list's units are size over one and the txns held a core
	PollForChanges      bool // list changes come only when asked for
	LoadReports         bool // executors tell their load with answers
	PeerMessages        bool // nodes may send one another messages
	CapacityProbes      bool // executors tell free slots when probed
	StartNotices        bool
	ProgressInterval    int64 // between progress notes; 0: none
	MaxAttempts         int
	AllowCancel         bool
	AllowHedging        bool
	MaxRetryAfter       int64 // longest advice that a client follows; 0: give none
	CrossZoneCost       float64
	FetchCost           float64 // of fetching what a txn is about from the store that all share
	IdleTimeout         int64   // how long an unused connection stays
	WorstClassWeight    float64 // weight of the scheme served worst, over that of the whole
	MissedObjectiveCost float64 // what a missed SLA time costs besides, over the billing value
	SlowStartShare      float64
	SlowStart           int64
	OverloadWindow      int64
	OverloadFactor      float64
	UnpolledEventAge    int64       // how long news may lie while no call for the list is out; then it counts as told
	DeadlineMargin      int64       // by which a txn's expiry may be told too early or too late
	StartTimeError      int64       // by which an executor's start may be
	MaxPollInterval     int64       // from the start of a failed call for the list to that of the next at the latest
	DrainGrace          int64       // how long after that a posting may still be sent to what drains or is gone
	Quotas              QuotaSource // of what all nodes hold together; nil: they share nothing
}

// Budget is something that all nodes use together, each its share.
type Budget int

const (
	BudgetRetries        Budget = iota // second and later postings
	BudgetConnections                  // new connections to an executor
	BudgetSlowStart                    // the work that a cold executor bears in a window, as a part of it
	BudgetTenantAttempts               // postings of one tenant that are out
	BudgetPolls                        // for the list
	BudgetCount
)

// QuotaSource tells whether this node may use so much more of a budget now, for an executor or a txn's tenant where each has its
// own. It is a read: what counts is taken at the moment of sending.
type QuotaSource interface {
	Allow(b Budget, e *Server, t *Request, units float64) bool
	// Quota is what this node has of all there is.
	Quota(b Budget, e *Server) float64
}

// nodesInRotation is how many nodes take turns at what is cold; leases take the place of turns.
func (t *Settings) nodesInRotation() int {
	if t.Quotas != nil {
		return 1
	}
	return max(t.Nodes, 1)
}

// slowStartShareFactor is how much likelier a node takes a cold executor than others do, as few may send to it: by the groups that take
// turns at it, or by this node's part of what all have. Danger: who may send to it draws it as seldom as if all could.
func (t *Settings) slowStartShareFactor(server *Server, groups float64) float64 {
	if t.Quotas == nil {
		return groups
	}
	return t.Quotas.Quota(BudgetSlowStart, server) * float64(max(t.Nodes, 1))
}

// warmUpFactor is the share of its capacity that an executor has at least, at a time; its stamp may be too early.
func (t *Settings) warmUpFactor(server *Server, at int64) float64 {
	age := float64(at - server.startedAt - t.StartTimeError)
	if server.startedAt == 0 || age >= float64(t.SlowStart) {
		return 1
	}
	return t.SlowStartShare + (1-t.SlowStartShare)*max(age, 0)/float64(t.SlowStart)
}

// MaxPollWait is how long a call for the list can wait at most, after one that brought something or failed.
func (t *Settings) MaxPollWait() int64 {
	return min(t.UnpolledEventAge+t.DrainGrace/2, t.MaxPollInterval)
}

// requiresMachineType says whether some scheme runs on that kind of machine alone.
func (t *Settings) requiresMachineType(kind int) bool {
	return slices.ContainsFunc(t.Classes, func(class *Class) bool { return class.MachineType == kind })
}

// withinQuotas says whether one more posting of a txn to an executor that is warm fits into this node's shares.
func (t *Settings) withinQuotas(request *Request, server *Server) bool {
	s := t.Quotas
	return s == nil || (len(request.Attempts) == 0 || s.Allow(BudgetRetries, server, request, 1)) && s.Allow(BudgetTenantAttempts, server, request, 1) && s.Allow(BudgetConnections, server, request, 1)
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

// Outcome is how a posting ended.
type Outcome int

const (
	Succeeded       Outcome = iota // answered
	Failed                         // an error, may have run
	Rejected                       // turned away unseen
	TimedOut                       // may have run
	ConnectFailed                  // no connection, never ran
	ConnectionLost                 // connection lost, may have run
	Canceled                       // withdrawn, may have run
	NotSent                        // never left
	StaleConnection                // met a kept connection that was gone; may have run
)

func (o Outcome) String() string {
	return [...]string{"settled", "erred", "full", "timed out", "undialed", "broken", "revoked", "unsent", "stale"}[o]
}

// Actions is how the module acts on the world. Tag fields are the door's own names; the module never reads them.
type Actions interface {
	StartAttempt(p *Attempt)
	CancelAttempt(p *Attempt)
	Shed(t *Request, returnIn int64)
	Compensate(t *Request)
	Schedule(after int64, then func()) (forget func())
	PollEndpoints(on bool)
	ProbeCapacity(e *Server)
	NotifyPeers(e *Server, slots float64) // all other nodes of slots taken
}

// Request is one job taken from a client, owed exactly one final answer.
type Request struct {
	Tag          string
	Class        *Class
	Tenant       int
	Slots        float64
	Memory       float64
	AffinityKey  uint64 // what it is about, below 2^53; 0: not told
	ExpectedWork int64  // expected work on a standard core; 0: not told
	Deadline     int64  // clock time
	UnreadTime   int64  // ns, how long it may have lain unread at this node; Expiry counts from when it was read
	Attempts     []*Attempt
	Done         bool   // the final answer is given, or the client has left
	Reason       Reason // why it was refused or failed, once it is

	arrivedAt, objectiveAt  int64
	priorityWeight          float64   // billing value when in time
	size                    float64   // slots times expected work
	expectedValue           float64   // billing value for each unit of size that can be expected now
	activeAttempts          int       // postings out and not withdrawn
	keyState                *keyState // what it is about; nil: not told
	failedServer            *Server   // where it ended in an error last
	probeRounds             int       // of asking for room
	retryAt, fruitlessDraws int64     // when room is looked for again, and how often that was in vain
	queued, overQuota       bool      // over: beyond its tenant's share
	cancelDeadline          func()    // releases the alarm of its expiry
}

// Reason says why a request was refused or failed. It is for logs; nothing is decided by it.
type Reason int

const (
	NoReason          Reason = iota
	DeadlineReached          // its deadline is here
	AttemptsExhausted        // it may not be sent again, or not once more
	QueueTimeout             // it waited for a server for so long that it can hardly end in time
	LateAtServer             // it waits at a server, and a late answer earns nothing
	ClientTimeout            // an attempt ran until the client's time was over
	FailsEverywhere          // it ended in errors at two servers, as such requests do
	Overloaded               // this process is too far behind
	ClientGone               // its client has closed, or shut its sending side
)

func (r Reason) String() string {
	return [...]string{"", "deadline", "no attempt left", "no hope", "late at a server", "client's time is over", "errs anywhere", "overloaded", "client has gone"}[r]
}

// firstPossibleRun is the first posting that may have run or still may.
func (t *Request) firstPossibleRun() *Attempt {
	if i := slices.IndexFunc(t.Attempts, func(attempt *Attempt) bool { return !attempt.provedNotRun }); i >= 0 {
		return t.Attempts[i]
	}
	return nil
}

// distanceFor is how far an executor is from this node for a txn; one that has homes goes by these.
// Danger: few nodes at a time may send to a cold one, and those that it is near to are other ones.
func (t *Settings) distanceFor(request *Request, server *Server, now int64) int {
	if request.AffinityKey != 0 || server.Distance == 0 || t.warmUpFactor(server, now) < 1 {
		return 0
	}
	return server.Distance
}

func (t *Request) workUnit() float64 { return float64(cmp.Or(t.ExpectedWork, 1e9)) }

// Attempt is one sending of a txn to an executor.
type Attempt struct {
	Request        *Request
	Server         *Server
	Number         int
	Timeout        int64   // time-out; 0: until the client gives up
	InFlight       bool    // no outcome yet
	SlowStartShare float64 // of a cold executor's budget that it takes; 0: the executor is warm
	FreeSlots      float64 // free slots that the executor reported with the outcome; 0: none, or not told

	sentAt, startedAt, progressAt int64
	failureRecorded, canceled     bool
	provedNotRun                  bool   // proved not to have run
	afterEnd                      func() // what the outcome leads to
}

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

type timedAmount struct {
	at     int64
	amount float64
}

// recentAmounts are in order of time.
type recentAmounts []timedAmount

// add notes one more, and forgets those over a span old.
func (c recentAmounts) add(at int64, work float64, span int64) recentAmounts {
	return append(slices.DeleteFunc(c, func(o timedAmount) bool { return at-o.at > span }), timedAmount{at, work})
}

// sum adds those from a time on to what there is.
func (c recentAmounts) sum(all float64, since int64) float64 {
	for _, o := range c {
		if o.at >= since {
			all += o.amount
		}
	}
	return all
}

// decayingRatio is what was asked for and what of it was earned, fading.
type decayingRatio struct {
	total, hits float64
	decayedAt   int64
}

// decay lets what is old count less and less.
func (l *decayingRatio) decay(now int64) *decayingRatio {
	f := math.Exp(-float64(now-l.decayedAt) / decayTime)
	l.total, l.hits, l.decayedAt = l.total*f, l.hits*f, now
	return l
}

// record adds one that was asked for.
func (l *decayingRatio) record(earned bool) {
	if l.total++; earned {
		l.hits++
	}
}

// recentResult is how a recent job of one scheme and slot count went at one executor.
type recentResult struct {
	server   *Server
	duration float64
	lost     bool
}

// rankGroup is what jobs have in common that are ranked together.
type rankGroup struct {
	class *Class
	slots float64
}

// concurrencyLimit bounds the slots in flight at an executor, or of the txns about one thing.
type concurrencyLimit struct {
	slotsInFlight float64 // slots of open postings
	limit         float64
	lastEndedAt   int64 // when the latest posting ended
	reducedAt     int64 // when the limit was last cut
}

// keyState is what some txns are about.
type keyState struct {
	concurrencyLimit
	requests     int           // of the txns counted
	retrySuccess decayingRatio // its txns that erred and went elsewhere, and those of them served there
	failedServer *Server       // where the last one ended badly, with none that ended well since
}

// recordKey adds a txn to those about one thing; without a key that is its tenant.
func (d *Dispatcher) recordKey(request *Request) {
	if d.keyedRequests++; d.keyedRequests > maxKeyedRequests {
		d.keyedRequests /= 2
		maps.DeleteFunc(d.keyStates, func(_ uint64, h *keyState) bool { h.requests /= 2; return h.requests < 1 && h.slotsInFlight == 0 })
	}
	key := cmp.Or(request.AffinityKey, ^uint64(request.Tenant))
	if request.keyState = d.keyStates[key]; request.keyState == nil {
		request.keyState = &keyState{concurrencyLimit: concurrencyLimit{limit: math.Inf(1)}}
		d.keyStates[key] = request.keyState
	}
	request.keyState.requests++
}

// HashName turns a name that all nodes know an executor by into a number by chance that all of them share.
func HashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// machineTypeStats is what is known of one kind of machine.
type machineTypeStats struct {
	scores       decayingRatio // over the top score
	runtimeRatio decayingRatio // how long jobs ran there when warm, over what is expected of all kinds in the middle
	maxSlots     float64       // the most seen at work in one executor, or told to be free
	required     bool          // some scheme can't do without it
}

// meanRuntimeRatio is the mean of what jobs take on a kind of machine, by what is expected of all kinds in the middle. Danger: where some
// kinds are slow, or few jobs run far longer than most, what a cold one bears is taken for twice as much.
func (m *machineTypeStats) meanRuntimeRatio(now int64) float64 {
	l := m.runtimeRatio.decay(now)
	return (l.hits + typeScoreWeight) / (l.total + typeScoreWeight)
}

// recordRuntime notes how long a job ran, of its scheme and on its kind of machine, as if that had been warm.
func (d *Dispatcher) recordRuntime(attempt *Attempt, ran int64) {
	if request, server := attempt.Request, attempt.Server; ran > 0 {
		l := server.typeStats.runtimeRatio.decay(d.now)
		l.total, l.hits = l.total+1, l.hits+float64(ran)*d.settings.warmUpFactor(server, attempt.sentAt)/float64(d.expectedRuntime(request, 0.5))
		d.runtimes[request.Class.Index].add(float64(ran) / request.workUnit())
	}
}
