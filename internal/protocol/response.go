// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Response is the final response to a client.
type Response struct {
	Status       int
	RetryAfter   time.Duration // delay that the client is advised to wait before a retry; 0: none
	Body         string
	ClientClosed bool // the client has closed at least its sending side and may not read the response
}

// Write sends the response.
func (r *Response) Write(w http.ResponseWriter) error {
	if r.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, err := io.WriteString(w, r.Body)
	return err
}
