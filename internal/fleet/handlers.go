// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"fernrail/internal/fleet/budget"
)

// Paths of the calls between nodes and voters.
const (
	leasePath    = "/ask"
	statusPath   = "/who"
	joinPath     = "/admit"
	setTotalPath = "/whole"
)

const (
	// maxNameBytes bounds the total length of the names of the node and the process in a lease request.
	maxNameBytes = 256
	// maxTotalFactor bounds a total set by operators, as a multiple of the agreed total.
	maxTotalFactor = 64
)

// newServer returns the HTTP server for calls of nodes and other voters.
func (v *voter) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leasePath, v.handleLease)
	mux.HandleFunc("POST "+statusPath, v.handleStatus)
	mux.HandleFunc("POST "+joinPath, v.handleJoin)
	mux.HandleFunc("POST "+setTotalPath, v.handleSetTotal)
	return &http.Server{
		Handler:        v.authenticate(mux),
		ReadTimeout:    handshakeTimeout,
		WriteTimeout:   handshakeTimeout + time.Duration(v.cfg.Agreement.Lease),
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    contextWithConn,
	}
}

// connContextKey is the context key of a call's connection.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// authenticate rejects calls that don't carry the token of this fleet and protocol version.
func (v *voter) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !v.client.isAuthentic(r.Header.Get(tokenHeader)) {
			v.streams.rejectUnauthenticated("HTTP call without the token of this fleet and protocol version")
			w.Header().Set("Connection", "close")
			http.Error(w, "not of this fleet, or of another version", http.StatusForbidden)
			return
		}
		r.Context().Value(connContextKey{}).(*handshakeConn).trust()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// decodeRequest decodes the body of a call. If the body is invalid, it sends an error response and returns
// false.
func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func respond(w http.ResponseWriter, response any) {
	// A write fails if the caller has disconnected; the caller then retries.
	_ = json.NewEncoder(w).Encode(response)
}

// handleLease answers a lease request. A voter that is not the leader responds with the leader's name
// instead.
func (v *voter) handleLease(w http.ResponseWriter, r *http.Request) {
	request := &pendingRequest{response: make(chan *budget.LeaseResponse, 1)}
	if !decodeRequest(w, r, &request.LeaseRequest) {
		return
	}
	if digest, founded := v.agreementDigest(); founded && r.Header.Get(agreementHeader) != digest {
		http.Error(w, errAgreementMismatch.Error(), http.StatusConflict)
		return
	}
	if request.Node == "" || request.Holder == "" || len(request.Node)+len(request.Holder) > maxNameBytes {
		http.Error(w, "no name", http.StatusBadRequest)
		return
	}
	response := v.awaitResponse(r, request)
	if r.Context().Err() != nil && response == nil {
		return
	}
	if response == nil {
		_, leader := v.raft.LeaderWithID()
		respond(w, leaderRedirect{Leader: nodeName(string(leader))})
		return
	}
	respond(w, response)
}

// awaitResponse passes a request to the leader loop and waits for its response. It returns nil if this voter
// is not the leader, if maxPending requests are already waiting, or if the caller has disconnected.
func (v *voter) awaitResponse(r *http.Request, request *pendingRequest) *budget.LeaseResponse {
	if !v.isServing() {
		return nil
	}
	select {
	case v.pending <- request:
	default:
		return nil
	}
	select {
	case response := <-request.response:
		return response
	case <-r.Context().Done():
		return nil
	}
}

// agreementDigest returns the digest of the agreement with which the cluster was founded. founded is false
// until the first leader term begins.
func (v *voter) agreementDigest() (digest string, founded bool) {
	v.state.withLedger(func(ledger *budget.Ledger) {
		digest = ledger.Agreement.Digest()
		founded = ledger.Epoch > 0
	})
	return digest, founded
}

func (v *voter) handleStatus(w http.ResponseWriter, _ *http.Request) {
	respond(w, v.identity())
}

// handleJoin adds a voter that has lost its state to the cluster, if this voter is the leader.
func (v *voter) handleJoin(w http.ResponseWriter, r *http.Request) {
	var joining voterIdentity
	if !decodeRequest(w, r, &joining) {
		return
	}
	if v.raft.State() != raft.Leader {
		http.Error(w, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	if err := v.addVoter(&joining); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	respond(w, voterIdentity{Name: v.name, ID: v.id})
}

// handleSetTotal changes totals for an operator, if this voter is the leader.
func (v *voter) handleSetTotal(w http.ResponseWriter, r *http.Request) {
	command := &adminCommand{done: make(chan error, 1)}
	if !decodeRequest(w, r, &command.totals) {
		return
	}
	if err := v.validateTotals(command.totals); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !v.isServing() {
		http.Error(w, errNotLeader.Error(), http.StatusMisdirectedRequest)
		return
	}
	select {
	case v.commands <- command:
	case <-r.Context().Done():
		return
	}
	if err := <-command.done; err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	respond(w, command.totals)
}

// validateTotals checks that the budgets exist, and that each total covers the floors and the reserve and is
// at most maxTotalFactor times the agreed total.
func (v *voter) validateTotals(totals map[string]int64) error {
	for name, total := range totals {
		limits, known := v.cfg.Agreement.Budgets[name]
		least := limits.Floor*v.cfg.Agreement.MaxNodes + limits.Reserve
		if !known || total < least || total > limits.Total*maxTotalFactor {
			return fmt.Errorf("%.40q: no such budget, or a whole under its floors and reserve (%d)",
				name, least)
		}
	}
	return nil
}
