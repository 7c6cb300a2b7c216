// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
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
	// Begun reports whether a server has begun a job. A job whose resting connection the node has closed
	// before it read the job is sent once more, on a new connection.
	Begun func(id string) bool
}

// NewClient returns a client of the node at an address.
func NewClient(node string, record *Record) *Client {
	return &Client{
		node:      node,
		record:    record,
		transport: &http.Transport{MaxIdleConnsPerHost: 1000},
		Begun:     func(string) bool { return false },
	}
}

// Do hands in one job and returns the status and the body of its answer; status 0: no answer.
func (c *Client) Do(id, class, tenant string, budget time.Duration) (status int, body string) {
	c.record.Add("client: sent %s %s", class, id)
	status, body, resting, err := c.try(c.transport, id, class, tenant, budget)
	if err != nil && resting && !c.Begun(id) {
		c.record.Add("client: sends %s %s again on a new connection: %v", class, id, err)
		fresh := &http.Transport{DisableKeepAlives: true}
		status, body, _, err = c.try(fresh, id, class, tenant, budget)
	}
	if err != nil {
		c.record.Add("client: no whole answer to %s %s: %v", class, id, err)
		return 0, ""
	}
	c.record.Add("client: answered %s %s: %d %q", class, id, status, body)
	return status, body
}

// try sends a job once. resting reports whether it was sent on a connection that had rested.
func (c *Client) try(transport *http.Transport, id, class, tenant string, budget time.Duration) (
	status int, body string, resting bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { resting = info.Reused }}
	// The type of the body keeps the library from sending the job again by itself.
	text := struct{ io.Reader }{strings.NewReader("job " + id)}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace),
		http.MethodPost, "http://"+c.node+"/"+class, text)
	if err != nil {
		return 0, "", false, err
	}
	request.ContentLength = int64(len("job " + id))
	request.Header.Set("X-Call-Id", id)
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Caller", tenant)
	request.Header.Set("X-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", resting, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", false, err
	}
	return response.StatusCode, string(answer), resting, nil
}
