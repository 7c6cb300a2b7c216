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

// version is of the calls between nodes; another one's are refused.
const version = 1

// maxCall bounds what any call may bring, in bytes: some budgets by name.
const maxCall = 64 << 10

// token is what a node of this fleet and version knows.
func token(secret string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", version, secret))
	return hex.EncodeToString(sum[:])
}

const (
	tokenHeader = "X-Fernrail-Fleet"
	pactHeader  = "X-Fernrail-Pact"
)

// calls is how this node calls seats.
type calls struct {
	plan   *config.Fleet
	token  string
	client *http.Client
}

func newCalls(plan *config.Fleet) *calls {
	return &calls{plan, token(plan.Secret), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

// errElsewhere says that the seat called does not grant; it may know who does.
var errElsewhere = errors.New("this seat does not grant")

// errPact says that this node's file differs from what the fleet was founded with.
var errPact = errors.New("fleet: most, lease_ms, margin or budgets differ from what the fleet was founded with")

// post makes one call. It is not sent a second time by the library: the body can be read once only.
func (c *calls) post(ctx context.Context, address, path string, in, out any) error {
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
	r.Header.Set(pactHeader, c.plan.Agreement.Digest())
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxCall))
	switch {
	case err != nil:
		return err
	case answer.StatusCode == http.StatusMisdirectedRequest:
		return fmt.Errorf("%w: %s", errElsewhere, body)
	case answer.StatusCode == http.StatusConflict:
		return errPact
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %.200s", answer.Status, body)
	}
	return json.Unmarshal(body, out)
}

// redirect is what a seat says that does not grant.
type redirect struct {
	Granter string `json:"granter"` // by name; empty: not known
}

// ask calls the seat of that number, and says which to call next time.
func (c *calls) ask(ctx context.Context, at int, a *budget.LeaseRequest) (*budget.LeaseResponse, int, error) {
	var out struct {
		redirect
		*budget.LeaseResponse
	}
	err := c.post(ctx, c.plan.Voters[at].Address, "/ask", a, &out)
	if err == nil && out.LeaseResponse == nil {
		err = errElsewhere
	}
	if err == nil {
		return out.LeaseResponse, at, nil
	}
	next := (at + 1) % len(c.plan.Voters)
	for i, s := range c.plan.Voters {
		if s.Name == out.Granter {
			next = i
		}
	}
	return nil, next, err
}

// known says whether a call comes from a node of the fleet.
func (c *calls) known(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}
