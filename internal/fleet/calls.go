// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

// protocolVersion is of the calls between nodes; another one's are refused.
const protocolVersion = 1

// maxBodyBytes bounds what any call may bring, in bytes: some budgets by name.
const maxBodyBytes = 64 << 10

// fleetToken is what a node of this fleet and version knows.
func fleetToken(secret string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", protocolVersion, secret))
	return hex.EncodeToString(sum[:])
}

const (
	tokenHeader     = "X-Fernrail-Fleet"
	agreementHeader = "X-Fernrail-Pact"
)

// voterClient is how this node calls seats.
type voterClient struct {
	cfg    *config.Fleet
	token  string
	client *http.Client
}

func newVoterClient(plan *config.Fleet) *voterClient {
	return &voterClient{plan, fleetToken(plan.Secret), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

// errNotLeader says that the seat called does not grant; it may know who does.
var errNotLeader = errors.New("this seat does not grant")

// errAgreementMismatch says that this node's file differs from what the fleet was founded with.
var errAgreementMismatch = errors.New("fleet: most, lease_ms, margin or budgets differ from what the fleet was founded with")

// post makes one call. It is not sent a second time by the library: the body can be read once only.
func (c *voterClient) post(ctx context.Context, address, path string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return err
	}
	r.ContentLength = int64(len(text))
	r.Header.Set(tokenHeader, c.token)
	r.Header.Set(agreementHeader, c.cfg.Agreement.Digest())
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	switch {
	case err != nil:
		return err
	case answer.StatusCode == http.StatusMisdirectedRequest:
		return fmt.Errorf("%w: %s", errNotLeader, body)
	case answer.StatusCode == http.StatusConflict:
		return errAgreementMismatch
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %.200s", answer.Status, body)
	}
	return json.Unmarshal(body, out)
}

// leaderRedirect is what a seat says that does not grant.
type leaderRedirect struct {
	Leader string `json:"granter"` // by name; empty: not known
}

// requestLease calls the seat of that number, and says which to call next time.
func (c *voterClient) requestLease(ctx context.Context, at int, a *budget.LeaseRequest) (*budget.LeaseResponse, int, error) {
	var out struct {
		leaderRedirect
		*budget.LeaseResponse
	}
	err := c.post(ctx, c.cfg.Voters[at].Address, "/ask", a, &out)
	if err == nil && out.LeaseResponse == nil {
		err = errNotLeader
	}
	if err == nil {
		return out.LeaseResponse, at, nil
	}
	next := (at + 1) % len(c.cfg.Voters)
	for i, s := range c.cfg.Voters {
		if s.Name == out.Leader {
			next = i
		}
	}
	return nil, next, err
}

// isAuthentic says whether a call comes from a node of the fleet.
func (c *voterClient) isAuthentic(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}
