// SPDX-License-Identifier: Apache-2.0

// Package protocol is the edge between the wire and the code. Requests, responses, job updates,
// load reports and endpoint lists are decoded once into small typed values, and encoded here alone.
// The names on the wire appear in no other package.
package protocol

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernrail/dispatch"
)

// MaxBodyBytes bounds a body in either direction.
const MaxBodyBytes = 64 << 10

const (
	maxRequestIDBytes = 256
	// maxRequestTimeout is beyond any deadline. Much longer ones would overflow when counted in
	// nanoseconds.
	maxRequestTimeout         = time.Hour
	maxRequestSlots           = 1e6
	maxRequestMemory          = 1e6 // memory units
	maxExpectedWorkMicros     = 1e12
	nanosecondsPerMicrosecond = 1e3
	bodyTooLarge              = "the body is over 64 KiB"
)

// Request is a client's request, read completely.
type Request struct {
	ID           string
	Target       string // path and query, forwarded as they came
	Class        int
	Tenant       int
	Timeout      time.Duration
	Slots        float64
	Memory       float64     // units; 0: not given
	AffinityKey  uint64      // below 2^53; requests with equal keys use the same data; 0: not given
	ExpectedWork int64       // ns of work; 0: not given
	Header       http.Header // what is forwarded to the server
	Body         []byte
	ClientClosed func() bool // looks whether the client has closed; nil: that is not known
}

// HasClientClosed says whether the client of a request is known to have closed.
func (q *Request) HasClientClosed() bool { return q.ClientClosed != nil && q.ClientClosed() }

// RequestError says why a request was not accepted. Status and Text are the response to its client.
type RequestError struct {
	Status int // of HTTP
	Text   string
}

func (e *RequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

func badRequest(text string) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Text: text}
}

// DecodeRequest decodes a client's request. chunksAlone says that the head of a chunked request
// gave no length as well, which net/http drops unseen. The error is typed, so that each one has a
// response; nil: there is none.
func DecodeRequest(r *http.Request, names *Names, onlyChunked bool) (*Request, *RequestError) {
	if err := checkRequestHead(r, onlyChunked); err != nil {
		return nil, err
	}
	q := &Request{
		ID:          r.Header.Get(headerRequestID),
		Target:      r.RequestURI,
		Slots:       1,
		Header:      forwardedHeader(r.Header),
		AffinityKey: affinityKey(r),
	}
	if err := q.decodeClass(r, names); err != nil {
		return nil, err
	}
	if err := q.checkID(); err != nil {
		return nil, err
	}
	if err := q.decodeTenant(r.Header, names); err != nil {
		return nil, err
	}
	if err := q.decodeTimeout(r.Header); err != nil {
		return nil, err
	}
	if err := q.decodeInfo(r.Header); err != nil {
		return nil, err
	}
	if err := q.decodeExpectedWork(r.Header); err != nil {
		return nil, err
	}
	if err := q.readBody(r.Body); err != nil {
		return nil, err
	}
	return q, nil
}

// checkRequestHead checks what concerns any request, whatever it asks for.
func checkRequestHead(r *http.Request, onlyChunked bool) *RequestError {
	switch {
	case r.Method != http.MethodPost:
		return &RequestError{http.StatusMethodNotAllowed, "jobs come by POST"}
	case !hasUnambiguousLength(r, onlyChunked):
		return &RequestError{
			Status: http.StatusLengthRequired,
			Text:   "jobs come with a Content-Length or in chunks, not both, over HTTP/1.1",
		}
	case r.ContentLength > MaxBodyBytes:
		return &RequestError{http.StatusRequestEntityTooLarge, bodyTooLarge}
	case !isPlainText(r):
		return badRequest("target or header is not plain text, or told twice")
	}
	return nil
}

// decodeClass takes the class, which the header and the first part of the path name alike.
func (q *Request) decodeClass(r *http.Request, names *Names) *RequestError {
	pathClass, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := r.Header.Get(headerClass)
	q.Class = slices.Index(names.Classes, class)
	if q.Class < 0 || class != pathClass {
		return &RequestError{http.StatusNotFound, "no such scheme, or path and " + headerClass + " differ"}
	}
	return nil
}

func (q *Request) checkID() *RequestError {
	if q.ID == "" || len(q.ID) > maxRequestIDBytes {
		return badRequest(headerRequestID + " is missing or too long")
	}
	return nil
}

// decodeTenant takes the tenant; a node without tenants counts all requests for tenant 0.
func (q *Request) decodeTenant(header http.Header, names *Names) *RequestError {
	if len(names.Tenants) == 0 {
		return nil
	}
	q.Tenant = slices.Index(names.Tenants, header.Get(headerTenant))
	if q.Tenant < 0 {
		return &RequestError{http.StatusForbidden, headerTenant + " names no tenant"}
	}
	return nil
}

func (q *Request) decodeTimeout(header http.Header) *RequestError {
	milliseconds, err := strconv.ParseInt(header.Get(headerTimeout), 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > maxRequestTimeout.Milliseconds() {
		return badRequest(headerTimeout + " is not a time in whole milliseconds")
	}
	q.Timeout = time.Duration(milliseconds) * time.Millisecond
	return nil
}

// decodeInfo takes slots and memory; names that are not known are skipped.
func (q *Request) decodeInfo(header http.Header) *RequestError {
	for pair := range strings.SplitSeq(header.Get(headerRequestInfo), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		switch name {
		case infoSlots:
			if err != nil || !(number > 0 && number < maxRequestSlots) {
				return badRequest(headerRequestInfo + ": slots is not a number above 0")
			}
			q.Slots = number
		case infoMemory:
			if err != nil || !(number >= 0 && number < maxRequestMemory) {
				return badRequest(headerRequestInfo + ": mem is not a number of at least 0")
			}
			q.Memory = number
		}
	}
	return nil
}

// affinityKey comes from the query alone, so that it is the same at every node; 0: there is none.
func affinityKey(r *http.Request) uint64 {
	name := r.URL.Query().Get(queryAffinityKey)
	if name == "" {
		return 0
	}
	return dispatch.HashName(name)>>11 | 1
}

func (q *Request) decodeExpectedWork(header http.Header) *RequestError {
	text := header.Get(headerExpectedWork)
	if text == "" {
		return nil
	}
	micros, err := strconv.ParseFloat(text, 64)
	if err != nil || !(micros >= 0 && micros < maxExpectedWorkMicros) {
		return badRequest(headerExpectedWork + " is not a time in microseconds")
	}
	q.ExpectedWork = int64(micros * nanosecondsPerMicrosecond)
	return nil
}

func (q *Request) readBody(body io.Reader) *RequestError {
	var err error
	q.Body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &RequestError{http.StatusRequestEntityTooLarge, bodyTooLarge}
	}
	if err != nil {
		return badRequest("the body did not come whole")
	}
	return nil
}
