// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

var names = &Names{Zones: []string{"a", "b"}, MachineTypes: []string{"m1"},
	Classes: []string{"render", "pay"}, Tenants: []string{"acme", "globex"}}

// rawRequest is a valid request with an unknown value in X-Call-Info, an unknown header, which is forwarded,
// and a header of the connection, which is not.
const rawRequest = "POST /pay/x%2f<?obj=7f HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f\r\nX-Call-Class: pay\r\n" +
	"X-Caller: globex\r\nX-Budget-Ms: 480\r\nX-Call-Info: slots=2.5,new=1\r\nX-Call-Cost: 1500\r\n" +
	"Idempotency-Key: k\r\nConnection: X-Odd\r\nX-Odd: 1\r\nContent-Length: 4\r\n\r\nbody"

// readRequest decodes a request from its text.
func readRequest(t *testing.T, text string) (*Request, *RequestError) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	r.Body = http.MaxBytesReader(httptest.NewRecorder(), r.Body, MaxBodyBytes)
	return DecodeRequest(r, names, false)
}
