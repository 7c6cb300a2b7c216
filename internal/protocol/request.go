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

// hasUnambiguousLength says whether a request tells in one way alone where its body ends: by a length or in chunks. chunks says that
// a request in chunks told no length beside, which the library drops unseen.
// Danger: a second request may hide in what two lengths do not agree on. Over HTTP/1.0 chunks mean nothing to some.
func hasUnambiguousLength(r *http.Request, chunks bool) bool {
	if r.TransferEncoding != nil {
		return chunks && r.ProtoAtLeast(1, 1)
	}
	return r.ProtoAtLeast(1, 1) && r.ContentLength >= 0 && r.Header["Content-Length"] != nil
}

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

// isPlainText says whether what goes on to an executor is text that any of them can read, and each name told once.
// Danger: an executor closes on what it can't read, and what it was told besides is lost to this node.
func isPlainText(r *http.Request) bool {
	ok := func(s string, least rune) bool {
		return !strings.ContainsFunc(s, func(c rune) bool { return c < least && c != '\t' || c > '~' })
	}
	for name, values := range r.Header {
		if strings.HasPrefix(name, "X-") && len(values) > 1 {
			return false
		}
		for _, v := range values {
			if !ok(v, ' ') {
				return false
			}
		}
	}
	return strings.HasPrefix(r.RequestURI, "/") && ok(r.RequestURI, '!') && ok(r.Header.Get("X-Call-Id"), '!')
}

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

// hopByHopHeaders names the headers that concern one connection alone.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// forwardedHeader gives the headers that go on to the executor.
// Danger: a mark against repeats, such as Idempotency-Key, that stays behind; the executor could not know the repeat.
func forwardedHeader(h http.Header) http.Header {
	on := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			on.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		on.Del(name)
	}
	return on
}

// Response is the final answer to a client.
type Response struct {
	Status       int
	RetryAfter   time.Duration // advice; 0: none
	Body         string
	ClientClosed bool // its client has closed, or at least shut its sending side: it may not be read
}

// Write puts the answer on its way.
func (a *Response) Write(w http.ResponseWriter) error {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err := io.WriteString(w, a.Body)
	return err
}
