// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// requestHead returns the head of a request, without the empty line at its end.
func requestHead(id, class string, budget time.Duration, length int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Caller: acme\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n", class, id, class, budget.Milliseconds(), length)
}

// answer is what a client gets for a request.
type answer struct {
	status int // 0: none
	body   string
	err    error // why there is no whole answer
}

// readAnswer reads the answer to a request, for the given time at most.
func readAnswer(conn net.Conn, in *bufio.Reader, within time.Duration) answer {
	conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(body)}
}

// sendOnce sends one request on a connection of its own and reads the answer. It waits for half a second
// longer than the request's time, after which the request is lost. taken reports whether the request was
// written whole to a connection that the node's machine has accepted.
func sendOnce(address, id, class string, budget time.Duration) (got answer, taken bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}, false
	}
	defer conn.Close()
	const body = "hello"
	if _, err := io.WriteString(conn, requestHead(id, class, budget, len(body))+"\r\n"+body); err != nil {
		return answer{err: err}, false
	}
	return readAnswer(conn, bufio.NewReader(conn), budget+500*time.Millisecond), true
}

// String returns the answer in the form of the record.
func (a answer) String() string {
	switch {
	case errors.Is(a.err, os.ErrDeadlineExceeded):
		return "nothing, and its time is over"
	case a.err != nil:
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}
