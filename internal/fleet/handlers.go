// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/hashicorp/raft"

	"fernrail/internal/fleet/budget"
)

// authenticate lets calls of this fleet in, and no others.
func (s *voter) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if !s.client.isAuthentic(r.Header.Get(tokenHeader)) {
			s.streams.rejectUnauthenticated("a call of no node of this fleet and version")
			out.Header().Set("Connection", "close")
			http.Error(out, "not of this fleet, or of another version", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(out, r.Body, maxBodyBytes)
		next.ServeHTTP(out, r)
	})
}

func decodeRequest(out http.ResponseWriter, r *http.Request, in any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(in); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *voter) handleLease(out http.ResponseWriter, r *http.Request) {
	a := &pendingRequest{response: make(chan *budget.LeaseResponse, 1)}
	if !decodeRequest(out, r, &a.LeaseRequest) {
		return
	}
	if pact, founded := s.agreementDigest(); founded && r.Header.Get(agreementHeader) != pact {
		http.Error(out, errAgreementMismatch.Error(), http.StatusConflict)
		return
	}
	if a.Node == "" || a.Holder == "" || len(a.Node)+len(a.Holder) > 256 {
		http.Error(out, "no name", http.StatusBadRequest)
		return
	}
	var given *budget.LeaseResponse
	if s.isServing() {
		select {
		case s.pending <- a:
			select {
			case given = <-a.response:
			case <-r.Context().Done():
				return
			}
		default:
			s.mu.Lock()
			s.rejected++
			s.mu.Unlock()
		}
	}
	if given == nil {
		_, id := s.raft.LeaderWithID()
		json.NewEncoder(out).Encode(leaderRedirect{nodeName(string(id))})
		return
	}
	json.NewEncoder(out).Encode(given)
}

// agreementDigest is the digest of what was agreed on, once a grantor has reigned.
func (s *voter) agreementDigest() (digest string, founded bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.ledger.Agreement.Digest(), s.state.ledger.Epoch > 0
}

func (s *voter) handleStatus(out http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(out).Encode(statusResponse{s.name, s.id, s.isBlank()})
}

func (s *voter) handleJoin(out http.ResponseWriter, r *http.Request) {
	var w statusResponse
	if !decodeRequest(out, r, &w) {
		return
	}
	if s.raft.State() != raft.Leader {
		http.Error(out, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	if err := s.addVoter(&w); err != nil {
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(out).Encode(statusResponse{s.name, s.id, false})
}

func (s *voter) handleSetTotal(out http.ResponseWriter, r *http.Request) {
	o := &adminCommand{done: make(chan error, 1)}
	if !decodeRequest(out, r, &o.totals) {
		return
	}
	for name, whole := range o.totals {
		t, is := s.cfg.Agreement.Budgets[name]
		if least := t.Floor*s.cfg.Agreement.MaxNodes + t.Reserve; !is || whole < least || whole > t.Total*64 {
			http.Error(out, fmt.Sprintf("%.40q: no such budget, or a whole under its floors and reserve (%d)", name, least), http.StatusBadRequest)
			return
		}
	}
	if !s.isServing() {
		http.Error(out, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.commands <- o:
		if err := <-o.done; err != nil {
			http.Error(out, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(out).Encode(o.totals)
	case <-r.Context().Done():
	}
}
