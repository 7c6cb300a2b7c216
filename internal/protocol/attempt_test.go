// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"io"
	"net/http"
	"testing"
)

func TestRejection(t *testing.T) {
	for _, test := range []struct {
		status   int
		rejected string
		want     bool
	}{{503, "1", true}, {504, "1", true}, {503, "", false}, {500, "1", false}, {429, "1", false}, {200, "1", false}} {
		response := &http.Response{StatusCode: test.status, Header: http.Header{"X-Rejected": {test.rejected}}}
		if IsRejection(response) != test.want {
			t.Errorf("%+v", test)
		}
	}
}

// TestBodyGoesOutOnce: a library that can wind a body back, or sees that there is none, sends again
// by itself.
func TestBodyGoesOutOnce(t *testing.T) {
	for _, body := range []string{"", "x"} {
		request := (&Attempt{Request: &Request{Target: "/p", Body: []byte(body), Header: http.Header{}}}).Encode()
		if request.GetBody != nil || request.Body == nil || request.Body == http.NoBody {
			t.Fatalf("%+v", request)
		}
		if _, canSeek := request.Body.(io.Seeker); canSeek {
			t.Error("the body can be wound back")
		}
	}
}
