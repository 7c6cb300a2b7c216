// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client hands in jobs at a node. It sends one request at a time on a connection, keeps connections, and
// opens more when all are busy.
type Client struct {
	node      string
	record    *Record
	transport *http.Transport
}

// NewClient returns a client of the node at an address.
func NewClient(node string, record *Record) *Client {
	return &Client{node: node, record: record, transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
}

// Do hands in one job and returns the status and the body of its answer; status 0: no answer.
func (c *Client) Do(id, class, tenant string, budget time.Duration) (status int, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.node+"/"+class, strings.NewReader("job "+id))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("X-Call-Id", id)
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Caller", tenant)
	request.Header.Set("X-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	c.record.Add("client: sent %s %s", class, id)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.record.Add("client: no answer to %s %s: %v", class, id, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.Add("client: part of an answer to %s %s: %v", class, id, err)
		return 0, ""
	}
	c.record.Add("client: answered %s %s: %d %q", class, id, response.StatusCode, text)
	return response.StatusCode, string(text)
}
