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
	// protocolVersion is the version of the calls between nodes. Nodes with another version are rejected.
	protocolVersion = 1
	// maxBodyBytes bounds the body of any call and response. The largest bodies contain several maps of
	// budgets and partitions.
	maxBodyBytes = 64 << 10
	// tokenBytes is the length of a fleet's token, a hex-encoded hash.
	tokenBytes = 2 * sha256.Size
	// maxIdleConnections is the number of idle connections that are kept to each voter.
	maxIdleConnections = 2
)

// Headers of each call.
const (
	tokenHeader     = "X-Fernrail-Fleet" // the fleet's token
	agreementHeader = "X-Fernrail-Pact"  // the digest of the caller's agreement
)

// The texts of these errors are sent in responses, so they stay as they are.
var (
	// errNotLeader reports that the called voter is not the leader. Its reply may name the leader.
	errNotLeader = errors.New("this seat does not grant")
	// errAgreementMismatch reports that this node's agreement differs from the one with which the cluster was
	// founded.
	errAgreementMismatch = errors.New(
		"fleet: most, lease_ms, margin or budgets differ from what the fleet was founded with")
)

// fleetToken returns the token that authenticates nodes of a fleet with the same protocol version.
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

// post makes one call. The HTTP library never retries it by itself, since the body can be read only once.
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

// decodeReply decodes a voter's reply. It returns an error if the status code is not OK.
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
		return fmt.Errorf("voter responded with status %s: %.200s", reply.Status, body)
	}
}

// leaderRedirect is the reply to a lease request from a voter that does not grant it.
type leaderRedirect struct {
	Leader string `json:"granter"` // name of the leader's node; empty: unknown
}

// requestLease sends a lease request to the voter with the given index in the configuration. It also returns
// the index of the voter to call next: the same voter after a lease response, else the leader if the reply
// names it, else the next voter in the configuration.
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

// isAuthentic reports whether a token matches this fleet's token, in constant time.
func (c *voterClient) isAuthentic(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}
