// SPDX-License-Identifier: Apache-2.0

// Package protocol encodes and decodes the wire formats of requests, responses, job updates, load reports
// and endpoint lists. Each message is decoded once into a small typed value. No other package uses the
// names on the wire.
package protocol

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernrail/dispatch"
)

// MaxBodyBytes is the maximum size of the body of a request and of the result of a job.
const MaxBodyBytes = 64 << 10

// ErrNoMemory is returned by the body of a request if no memory is left for it. The request is then rejected, and its
// client may send it again.
var ErrNoMemory = errors.New("no memory left for this message")

const (
	maxRequestIDBytes = 256
	// firstBodyBytes is the memory allocated for a body before any of it is received.
	firstBodyBytes = 4 << 10
	// maxRequestTimeout is longer than any real timeout. Much longer values would overflow when
	// converted to nanoseconds.
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
	Target       string // path and query, forwarded unchanged
	Class        int
	Tenant       int
	Timeout      time.Duration
	Slots        float64
	Memory       float64     // memory units; 0: not given
	AffinityKey  uint64      // below 2^53; requests with equal keys use the same data; 0: not given
	ExpectedWork int64       // ns of work; 0: not given
	Header       http.Header // headers that are forwarded to the server
	Body         []byte
	// ClientState returns what is known about the client now; nil: it counts as connected. It may be called until
	// the request has its response.
	ClientState func() ClientState
}

// CurrentClientState returns what is known about the request's client now.
func (q *Request) CurrentClientState() ClientState {
	if q.ClientState == nil {
		return ClientConnected
	}
	return q.ClientState()
}

// RequestError is the reason why a request was not accepted. Status and Text are the response to the
// client.
type RequestError struct {
	Status int // HTTP status code
	Text   string
}

func (e *RequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

func badRequest(text string) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Text: text}
}

// DecodeRequest decodes a request of a client. onlyChunked means that the header of a chunked request
// had no Content-Length; the caller must check this, because net/http removes the Content-Length of a
// chunked request. The error is typed so that each one has a response; it is nil on success.
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
	if err := q.readBody(r.Body, r.ContentLength); err != nil {
		return nil, err
	}
	return q, nil
}

// checkRequestHead makes the checks that are independent of the class of the request.
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

// decodeClass decodes the class. The header and the first segment of the path must name the same class.
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

// decodeTenant decodes the tenant. A node without tenants assigns all requests to tenant 0.
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

// decodeInfo decodes slots and memory. Unknown names are skipped.
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

// affinityKey returns the affinity key of a request, or 0 if it has none. The key depends only on the
// query, so that all nodes derive the same key.
func affinityKey(r *http.Request) uint64 {
	name := queryValue(r.URL.RawQuery, queryAffinityKey)
	if name == "" {
		return 0
	}
	return dispatch.HashName(name)>>11 | 1
}

// queryValue returns the first value of a query parameter, as url.Values.Get does, without storing the others: a
// query of thousands of short parameters needs many times its size.
func queryValue(query, key string) string {
	for pair := range strings.SplitSeq(query, "&") {
		encodedName, encodedValue, _ := strings.Cut(pair, "=")
		if strings.Contains(pair, ";") { // url.ParseQuery skips such pairs
			continue
		}
		name, err := url.QueryUnescape(encodedName)
		if err != nil || name != key {
			continue
		}
		if value, err := url.QueryUnescape(encodedValue); err == nil {
			return value
		}
	}
	return ""
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

// readBody reads the body. length is its size, or below 0 if it is unknown.
func (q *Request) readBody(body io.Reader, length int64) *RequestError {
	var err error
	q.Body, err = readAll(body, length)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &RequestError{http.StatusRequestEntityTooLarge, bodyTooLarge}
	case errors.Is(err, ErrNoMemory):
		return &RequestError{http.StatusServiceUnavailable, ErrNoMemory.Error()}
	default:
		return badRequest("the body did not come whole")
	}
}

// readAll is like io.ReadAll, but allocates little more than what has been received, and no more than the given length
// if that is known.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, 0, min(length, firstBodyBytes))
	for int64(len(data)) < length {
		if len(data) == cap(data) {
			data = slices.Grow(data, int(min(length-int64(len(data)), int64(len(data)))))
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
