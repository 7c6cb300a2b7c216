// SPDX-License-Identifier: Apache-2.0

// Package protocol turns what comes over the sockets into small typed values, once, and what goes out into bytes.
package protocol

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernrail/dispatch"
)

// MaxBodyBytes is how many bytes a body may hold, in either direction.
const MaxBodyBytes = 64 << 10

const bodyTooLarge = "the body is over 64 KiB"

const maxRequestTimeout = time.Hour // beyond any expiry; more would overflow when counted in nanoseconds

// Names are the names that the sockets use, by index in the settings' lists.
type Names struct {
	Zones, MachineTypes, Classes, Tenants []string
}

// Request is one txn as its client handed it in.
type Request struct {
	ID           string
	Target       string // path and query, passed on as they came
	Class        int
	Tenant       int
	Timeout      time.Duration
	Slots        float64
	Memory       float64     // units; 0: not told
	AffinityKey  uint64      // what it is about, below 2^53; 0: not told
	ExpectedWork int64       // ns of work; 0: not told
	Header       http.Header // what goes on to the executor
	Body         []byte
	ClientClosed func() bool // whether its client has closed, looked at now; nil: nobody can tell
}

// ClientGone says whether the client of a request has closed, as far as is known now.
func (q *Request) ClientGone() bool { return q.ClientClosed != nil && q.ClientClosed() }

// RequestError is an answer to a request that cannot be taken.
type RequestError struct {
	Status int
	Text   string
}

// DecodeRequest decodes a client's request, or says what is wrong with it; chunks says that the head of one in chunks told
// no length beside.
func DecodeRequest(r *http.Request, names *Names, chunks bool) (*Request, *RequestError) {
	if r.Method != http.MethodPost {
		return nil, &RequestError{http.StatusMethodNotAllowed, "jobs come by POST"}
	}
	if !hasUnambiguousLength(r, chunks) {
		return nil, &RequestError{http.StatusLengthRequired, "jobs come with a Content-Length or in chunks, not both, over HTTP/1.1"}
	}
	if r.ContentLength > MaxBodyBytes {
		return nil, &RequestError{http.StatusRequestEntityTooLarge, bodyTooLarge}
	}
	if !isPlainText(r) {
		return nil, &RequestError{http.StatusBadRequest, "target or header is not plain text, or told twice"}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := &Request{ID: r.Header.Get("X-Call-Id"), Target: r.RequestURI, Slots: 1, Header: forwardedHeader(r.Header)}
	class := r.Header.Get("X-Call-Class")
	if q.Class = slices.Index(names.Classes, class); q.Class < 0 || class != first {
		return nil, &RequestError{http.StatusNotFound, "no such scheme, or path and X-Call-Class differ"}
	}
	if q.ID == "" || len(q.ID) > 256 {
		return nil, &RequestError{http.StatusBadRequest, "X-Call-Id is missing or too long"}
	}
	caller := r.Header.Get("X-Caller")
	if q.Tenant = slices.Index(names.Tenants, caller); q.Tenant < 0 {
		if q.Tenant = 0; len(names.Tenants) > 0 {
			return nil, &RequestError{http.StatusForbidden, "X-Caller names no tenant"}
		}
	}
	budget, err := strconv.ParseInt(r.Header.Get("X-Budget-Ms"), 10, 64)
	if err != nil || budget <= 0 || budget > maxRequestTimeout.Milliseconds() {
		return nil, &RequestError{http.StatusBadRequest, "X-Budget-Ms is not a time in whole milliseconds"}
	}
	q.Timeout = time.Duration(budget) * time.Millisecond
	for part := range strings.SplitSeq(r.Header.Get("X-Call-Info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name == "slots" {
			if q.Slots, err = strconv.ParseFloat(value, 64); err != nil || !(q.Slots > 0 && q.Slots < 1e6) {
				return nil, &RequestError{http.StatusBadRequest, "X-Call-Info: slots is not a number above 0"}
			}
		}
		if name == "mem" {
			if q.Memory, err = strconv.ParseFloat(value, 64); err != nil || !(q.Memory >= 0 && q.Memory < 1e6) {
				return nil, &RequestError{http.StatusBadRequest, "X-Call-Info: mem is not a number of at least 0"}
			}
		}
	}
	if about := r.URL.Query().Get("obj"); about != "" {
		q.AffinityKey = dispatch.HashName(about)>>11 | 1
	}
	if cost := r.Header.Get("X-Call-Cost"); cost != "" {
		micros, err := strconv.ParseFloat(cost, 64)
		if err != nil || !(micros >= 0 && micros < 1e12) {
			return nil, &RequestError{http.StatusBadRequest, "X-Call-Cost is not a time in microseconds"}
		}
		q.ExpectedWork = int64(micros * 1e3)
	}
	if q.Body, err = io.ReadAll(r.Body); err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return nil, &RequestError{http.StatusRequestEntityTooLarge, bodyTooLarge}
		}
		return nil, &RequestError{http.StatusBadRequest, "the body did not come whole"}
	}
	return q, nil
}
