// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"fmt"
	"slices"
)

// modelCluster is a fleet in which any message may be lost, doubled or late, any seat may be elected, stop and go on, and any
// holder may start anew. What is checked of it is what the holders may use, and nothing that the books say.
type modelCluster struct {
	wrong      string
	now        int64
	ledger     *Ledger
	term       *LeaderTerm
	stale      []*LogEntry // decided by seats that were stopped before they wrote it down
	holders    []*LeaseHolder
	clockRates []int64 // of ten, the rate of each holder's clock
	requests   []LeaseRequest
	responses  []addressedResponse
	history    []usageSample
	processes  int
	steps      []string
}

type addressedResponse struct {
	to string
	LeaseResponse
}

// usageSample is what each holder could use then.
type usageSample struct {
	at    int64
	units []int64
}

const (
	modelTick   = 100
	modelWindow = 2 * modelTick
	modelTotal  = 3
)

var modelAgreement = Agreement{MaxNodes: 3, Lease: 8 * modelTick, ClockMargin: 0.5, Budgets: map[string]Limits{"b": {Total: modelTotal, Step: 1, Window: modelWindow}}}

func newModelCluster(wrong string) *modelCluster {
	w := &modelCluster{wrong: wrong, ledger: NewLedger(), now: 10 * modelTick}
	pact := modelAgreement
	w.ledger.Apply(&LogEntry{NewTerm: true, Epoch: 1, Agreement: &pact})
	w.ledger.Budgets["b"].CoolingDown, w.ledger.Budgets["b"].CoolingDownTotal = map[int64]int64{}, 0 // founded long ago
	w.term = w.newTerm(1)
	for i, rate := range []int64{10, 7, 10} { // one is slow by the margin
		w.clockRates = append(w.clockRates, rate)
		w.holders = append(w.holders, w.newProcess(i))
	}
	w.checkUsage()
	return w
}

// newTerm has a seat begin to grant.
func (w *modelCluster) newTerm(epoch uint64) *LeaderTerm {
	r := NewLeaderTerm(w.ledger, epoch, w.now)
	if w.wrong == "no margin" {
		pact := *r.agreement
		pact.ClockMargin, r.agreement = 0, &pact
	}
	if w.wrong == "a new grantor that forgets" {
		for name, x := range r.expirations {
			r.expirations[name] = expiration{x.seq, w.now}
		}
	}
	return r
}

// clock is what a holder's own clock says.
func (w *modelCluster) clock(i int) int64 { return w.now * w.clockRates[i] / 10 }

func (w *modelCluster) newProcess(i int) *LeaseHolder {
	w.processes++
	return NewLeaseHolder(fmt.Sprint("n", i), fmt.Sprint("p", w.processes), &w.ledger.Agreement, w.clock(i))
}

// commit writes a step down.
func (w *modelCluster) commit(e *LogEntry, r *LeaderTerm) {
	if w.wrong == "an epoch that is not checked" && !e.NewTerm {
		e.Epoch = w.ledger.Epoch
	}
	if w.wrong == "a return that is counted twice" {
		for _, a := range e.Requests {
			if h := w.ledger.Holders[a.Holder]; h != nil && h.Seq >= a.Seq {
				was := h.Seq
				defer func() { h.Seq = was }()
				h.Seq = a.Seq - 1
			}
		}
	}
	if w.wrong == "granted again without a rest" {
		defer func() {
			w.ledger.Budgets["b"].CoolingDown, w.ledger.Budgets["b"].CoolingDownTotal = map[int64]int64{}, 0
		}()
	}
	answers, err := w.ledger.Apply(e)
	if err != nil {
		return
	}
	if r == w.term {
		r.RecordApplied(w.ledger, e, answers, w.now)
	}
	for i, a := range answers {
		if a != nil {
			a.LeaderTime = w.now
			w.responses = append(w.responses, addressedResponse{e.Requests[i].Holder, *a})
		}
	}
}

// checkUsage notes what each may use, and says whether it is too much at this moment or within a window.
func (w *modelCluster) checkUsage() string {
	own, sum := make([]int64, len(w.holders)), int64(0)
	for i, h := range w.holders {
		own[i] = h.Units("b", w.clock(i))
		sum += own[i]
	}
	if sum > modelTotal {
		return fmt.Sprintf("at %d: %v in force, %d in all", w.now/modelTick, own, sum)
	}
	w.history = slices.DeleteFunc(append(slices.Clone(w.history), usageSample{w.now, own}), func(m usageSample) bool { return w.now-m.at >= modelWindow })
	// A restart of a process has its own column from before: what the old one used counts with the most of both, unless
	// both used some, which two moments of one column show.
	most := int64(0)
	for i := range w.holders {
		column := int64(0)
		for _, at := range w.history {
			column = max(column, at.units[i])
		}
		most += column
	}
	if most > modelTotal {
		return fmt.Sprintf("at %d: %v within a window", w.now/modelTick, w.history)
	}
	return ""
}

// moves are all that may happen next. What is never heard or taken is lost.
func (w *modelCluster) moves() []string {
	moves := []string{"tick"}
	for i, h := range w.holders {
		if w.clock(i) >= h.NextRequestTime() || !h.awaitingResponse {
			moves = append(moves, fmt.Sprint("ask ", i, " 0"), fmt.Sprint("ask ", i, " ", modelTotal))
		}
		if w.processes < 5 {
			moves = append(moves, fmt.Sprint("restart ", i))
		}
	}
	for i := range w.requests {
		moves = append(moves, fmt.Sprint("hear ", i), fmt.Sprint("double ", i))
	}
	for i := range w.responses {
		moves = append(moves, fmt.Sprint("take ", i), fmt.Sprint("repeat ", i))
	}
	if due := w.term.DueExpirations(w.now); due != nil {
		moves = append(moves, "due")
	}
	if w.ledger.Epoch < 4 {
		moves = append(moves, "elect")
	}
	for i := range w.stale {
		moves = append(moves, fmt.Sprint("wake ", i))
	}
	return moves
}

func (w *modelCluster) move(step string) string {
	w.steps = append(w.steps, step)
	var what string
	var i, want int
	fmt.Sscan(step, &what, &i, &want)
	switch what {
	case "tick":
		w.now += modelTick
	case "ask":
		h := w.holders[i]
		w.requests = append(w.requests, h.NextRequest(map[string]int64{"b": int64(want)}, w.clock(i)))
		w.requests = w.requests[max(len(w.requests)-3, 0):]
	case "restart":
		w.holders[i] = w.newProcess(i)
	case "hear", "double": // what is doubled stays, and may come once more
		ask := w.requests[i]
		if what == "hear" {
			w.requests = slices.Delete(slices.Clone(w.requests), i, i+1)
		}
		w.commit(&LogEntry{Epoch: w.term.Epoch, Requests: []LeaseRequest{ask}}, w.term)
		w.responses = w.responses[max(len(w.responses)-3, 0):]
	case "take", "repeat":
		a := w.responses[i]
		if what == "take" {
			w.responses = slices.Delete(slices.Clone(w.responses), i, i+1)
		}
		for j, h := range w.holders {
			if h.Name == a.to {
				if w.wrong == "counted from the answer" {
					h.requestedAt = w.clock(j)
				}
				if w.wrong == "any answer is taken" {
					h.awaitingResponse, h.seq = true, a.Seq
				}
				h.ApplyResponse(&a.LeaseResponse, w.clock(j))
			}
		}
	case "due":
		e := w.term.DueExpirations(w.now)
		w.commit(e, w.term)
	case "elect":
		// The one before is stopped with what it had decided but not written down.
		if e := w.term.DueExpirations(w.now); e != nil {
			w.stale = append(w.stale, e)
		}
		for _, a := range w.requests {
			w.stale = append(w.stale, &LogEntry{Epoch: w.term.Epoch, Requests: []LeaseRequest{a}})
		}
		w.stale = w.stale[max(len(w.stale)-2, 0):]
		epoch := w.ledger.Epoch + 1
		w.ledger.Apply(&LogEntry{NewTerm: true, Epoch: epoch})
		w.term = w.newTerm(epoch)
	case "wake":
		e := w.stale[i]
		w.stale = slices.Delete(slices.Clone(w.stale), i, i+1)
		w.commit(e, nil)
	}
	// Danger: a lease that no seat will ever end; what it holds is lost.
	for name, h := range w.ledger.Holders {
		if x, known := w.term.expirations[name]; !known || x.seq != h.Seq {
			return fmt.Sprintf("nobody ends what %s was granted", name)
		}
	}
	if what == "tick" || what == "take" || what == "repeat" || what == "restart" {
		return w.checkUsage()
	}
	return ""
}
