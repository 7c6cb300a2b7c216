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

// MaxBody is how many bytes a body may hold, in either direction.
const MaxBody = 64 << 10

const tooLong = "the body is over 64 KiB"

// framed says whether a request tells in one way alone where its body ends: by a length or in chunks. chunks says that
// a request in chunks told no length beside, which the library drops unseen.
// Danger: a second request may hide in what two lengths do not agree on. Over HTTP/1.0 chunks mean nothing to some.
func framed(r *http.Request, chunks bool) bool {
	if r.TransferEncoding != nil {
		return chunks && r.ProtoAtLeast(1, 1)
	}
	return r.ProtoAtLeast(1, 1) && r.ContentLength >= 0 && r.Header["Content-Length"] != nil
}

const longestBudget = time.Hour // beyond any expiry; more would overflow when counted in nanoseconds

// Names are the names that the sockets use, by index in the settings' lists.
type Names struct {
	Zones, Kinds, Schemes, Tenants []string
}

// Request is one txn as its client handed it in.
type Request struct {
	ID     string
	Target string // path and query, passed on as they came
	Scheme int
	Tenant int
	Budget time.Duration
	Slots  float64
	Memory float64     // units; 0: not told
	Key    uint64      // what it is about, below 2^53; 0: not told
	Hint   int64       // ns of work; 0: not told
	Header http.Header // what goes on to the executor
	Body   []byte
	Left   func() bool // whether its client has closed, looked at now; nil: nobody can tell
}

// Gone says whether the client of a request has closed, as far as is known now.
func (q *Request) Gone() bool { return q.Left != nil && q.Left() }

// plain says whether what goes on to an executor is text that any of them can read, and each name told once.
// Danger: an executor closes on what it can't read, and what it was told besides is lost to this node.
func plain(r *http.Request) bool {
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

// Fault is an answer to a request that cannot be taken.
type Fault struct {
	Status int
	Text   string
}

// ReadRequest decodes a client's request, or says what is wrong with it; chunks says that the head of one in chunks told
// no length beside.
func ReadRequest(r *http.Request, names *Names, chunks bool) (*Request, *Fault) {
	if r.Method != http.MethodPost {
		return nil, &Fault{http.StatusMethodNotAllowed, "jobs come by POST"}
	}
	if !framed(r, chunks) {
		return nil, &Fault{http.StatusLengthRequired, "jobs come with a Content-Length or in chunks, not both, over HTTP/1.1"}
	}
	if r.ContentLength > MaxBody {
		return nil, &Fault{http.StatusRequestEntityTooLarge, tooLong}
	}
	if !plain(r) {
		return nil, &Fault{http.StatusBadRequest, "target or header is not plain text, or told twice"}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := &Request{ID: r.Header.Get("X-Call-Id"), Target: r.RequestURI, Slots: 1, Header: passedOn(r.Header)}
	class := r.Header.Get("X-Call-Class")
	if q.Scheme = slices.Index(names.Schemes, class); q.Scheme < 0 || class != first {
		return nil, &Fault{http.StatusNotFound, "no such scheme, or path and X-Call-Class differ"}
	}
	if q.ID == "" || len(q.ID) > 256 {
		return nil, &Fault{http.StatusBadRequest, "X-Call-Id is missing or too long"}
	}
	caller := r.Header.Get("X-Caller")
	if q.Tenant = slices.Index(names.Tenants, caller); q.Tenant < 0 {
		if q.Tenant = 0; len(names.Tenants) > 0 {
			return nil, &Fault{http.StatusForbidden, "X-Caller names no tenant"}
		}
	}
	budget, err := strconv.ParseInt(r.Header.Get("X-Budget-Ms"), 10, 64)
	if err != nil || budget <= 0 || budget > longestBudget.Milliseconds() {
		return nil, &Fault{http.StatusBadRequest, "X-Budget-Ms is not a time in whole milliseconds"}
	}
	q.Budget = time.Duration(budget) * time.Millisecond
	for part := range strings.SplitSeq(r.Header.Get("X-Call-Info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name == "slots" {
			if q.Slots, err = strconv.ParseFloat(value, 64); err != nil || !(q.Slots > 0 && q.Slots < 1e6) {
				return nil, &Fault{http.StatusBadRequest, "X-Call-Info: slots is not a number above 0"}
			}
		}
		if name == "mem" {
			if q.Memory, err = strconv.ParseFloat(value, 64); err != nil || !(q.Memory >= 0 && q.Memory < 1e6) {
				return nil, &Fault{http.StatusBadRequest, "X-Call-Info: mem is not a number of at least 0"}
			}
		}
	}
	if about := r.URL.Query().Get("obj"); about != "" {
		q.Key = dispatch.HashName(about)>>11 | 1
	}
	if cost := r.Header.Get("X-Call-Cost"); cost != "" {
		micros, err := strconv.ParseFloat(cost, 64)
		if err != nil || !(micros >= 0 && micros < 1e12) {
			return nil, &Fault{http.StatusBadRequest, "X-Call-Cost is not a time in microseconds"}
		}
		q.Hint = int64(micros * 1e3)
	}
	if q.Body, err = io.ReadAll(r.Body); err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return nil, &Fault{http.StatusRequestEntityTooLarge, tooLong}
		}
		return nil, &Fault{http.StatusBadRequest, "the body did not come whole"}
	}
	return q, nil
}

// hop names the headers that concern one connection alone.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// passedOn gives the headers that go on to the executor.
// Danger: a mark against repeats, such as Idempotency-Key, that stays behind; the executor could not know the repeat.
func passedOn(h http.Header) http.Header {
	on := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			on.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		on.Del(name)
	}
	return on
}

// Answer is the final answer to a client.
type Answer struct {
	Status   int
	ReturnIn time.Duration // advice; 0: none
	Body     string
	Gone     bool // its client has closed, or at least shut its sending side: it may not be read
}

// Write puts the answer on its way.
func (a *Answer) Write(w http.ResponseWriter) error {
	if a.ReturnIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.ReturnIn.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err := io.WriteString(w, a.Body)
	return err
}
