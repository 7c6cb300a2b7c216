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

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
)

const (
	// protocolVersion is the version of the calls between nodes; a node of another one is rejected.
	protocolVersion = 1
	// maxBodyBytes bounds the body of any call and response: some budgets by name.
	maxBodyBytes = 64 << 10
	// tokenBytes is the length of a fleet's token.
	tokenBytes = 2 * sha256.Size
	// maxIdleConnections is how many idle connections are kept to each voter.
	maxIdleConnections = 2
)

// Headers of each call.
const (
	tokenHeader     = "X-Fernrail-Fleet" // the fleet's token
	agreementHeader = "X-Fernrail-Pact"  // the digest of what the caller takes for agreed
)

// The texts of these errors are sent in responses, so they stay as they are.
var (
	// errNotLeader says that the voter called is not the leader. It may know who is.
	errNotLeader = errors.New("this seat does not grant")
	// errAgreementMismatch says that this node's configuration differs from what the cluster was founded with.
	errAgreementMismatch = errors.New("fleet: most, lease_ms, margin or budgets differ from what the fleet was founded with")
)

// fleetToken returns the token that proves a node to be of a fleet and protocol version.
func fleetToken(secret string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "fernrail fleet %d %s", protocolVersion, secret))
	return hex.EncodeToString(sum[:])
}

// voterClient calls voters.
type voterClient struct {
	cfg    *config.Fleet
	token  string
	client *http.Client
}

func newVoterClient(cfg *config.Fleet) *voterClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &voterClient{cfg: cfg, token: fleetToken(cfg.Secret), client: &http.Client{Transport: transport}}
}

// post makes one call. The HTTP library never repeats it by itself, as the body can be read once only.
func (c *voterClient) post(ctx context.Context, address, path string, request, response any) error {
	text, err := json.Marshal(request)
	if err != nil {
		return err
	}
	body := io.NopCloser(bytes.NewReader(text))
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		return err
	}
	call.ContentLength = int64(len(text))
	call.Header.Set(tokenHeader, c.token)
	call.Header.Set(agreementHeader, c.cfg.Agreement.Digest())
	reply, err := c.client.Do(call)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	return decodeReply(reply, response)
}

// decodeReply decodes a voter's reply, or returns the error that the reply stands for.
func decodeReply(reply *http.Response, response any) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	switch reply.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, response)
	case http.StatusMisdirectedRequest:
		return fmt.Errorf("%w: %s", errNotLeader, body)
	case http.StatusConflict:
		return errAgreementMismatch
	default:
		return fmt.Errorf("%s: %.200s", reply.Status, body)
	}
}

// leaderRedirect is the reply of a voter that is not the leader to a lease request.
type leaderRedirect struct {
	Leader string `json:"granter"` // the leader's node; empty: not known
}

// requestLease sends a lease request to the voter with an index in the configuration. It returns the index of the
// voter to call next: the same after a response, else the leader if the voter named it, or the one after this.
func (c *voterClient) requestLease(
	ctx context.Context, index int, request *budget.LeaseRequest,
) (response *budget.LeaseResponse, next int, err error) {
	var reply struct {
		leaderRedirect
		*budget.LeaseResponse
	}
	err = c.post(ctx, c.cfg.Voters[index].Address, leasePath, request, &reply)
	if err == nil && reply.LeaseResponse == nil {
		err = errNotLeader
	}
	if err == nil {
		return reply.LeaseResponse, index, nil
	}
	next = (index + 1) % len(c.cfg.Voters)
	for i, peer := range c.cfg.Voters {
		if peer.Name == reply.Leader {
			next = i
		}
	}
	return nil, next, err
}

// isAuthentic reports whether a token is this fleet's, in constant time.
func (c *voterClient) isAuthentic(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}
