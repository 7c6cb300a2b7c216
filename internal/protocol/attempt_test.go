// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"io"
	"net/http"
	"testing"
)

// TestIsRejection: a response proves that a job was not run only if its status is 503 or 504 and it has the
// header X-Rejected with the value 1.
func TestIsRejection(t *testing.T) {
	for _, test := range []struct {
		status   int
		rejected string
		want     bool
	}{
		{503, "1", true}, {504, "1", true}, {503, "", false},
		{500, "1", false}, {429, "1", false}, {200, "1", false}} {
		response := &http.Response{StatusCode: test.status, Header: http.Header{"X-Rejected": {test.rejected}}}
		if IsRejection(response) != test.want {
			t.Errorf("IsRejection: got the opposite of the wanted result for status, X-Rejected and wanted result %+v",
				test)
		}
	}
}

// TestBodyCannotBeResent: http.Transport may resend a request on its own if it can rewind the body or
// detects an empty one. A job might then run twice.
func TestBodyCannotBeResent(t *testing.T) {
	for _, body := range []string{"", "x"} {
		request := (&Attempt{Request: &Request{Target: "/p", Body: []byte(body), Header: http.Header{}}}).Encode()
		if request.GetBody != nil || request.Body == nil || request.Body == http.NoBody {
			t.Fatalf("got request %+v, want a body without GetBody that is not http.NoBody", request)
		}
		if _, canSeek := request.Body.(io.Seeker); canSeek {
			t.Error("the body implements io.Seeker, so it can be rewound")
		}
	}
}
