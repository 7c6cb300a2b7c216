// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

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
