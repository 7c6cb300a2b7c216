// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"io"
	"net/http"
	"testing"
)

func TestRejection(t *testing.T) {
	for _, c := range []struct {
		status int
		mark   string
		want   bool
	}{{503, "1", true}, {504, "1", true}, {503, "", false}, {500, "1", false}, {429, "1", false}, {200, "1", false}} {
		r := &http.Response{StatusCode: c.status, Header: http.Header{"X-Rejected": {c.mark}}}
		if IsRejection(r) != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// TestBodyGoesOutOnce: a library that can wind a body back, or sees that there is none, sends again
// by itself.
func TestBodyGoesOutOnce(t *testing.T) {
	for _, body := range []string{"", "x"} {
		out := (&Attempt{Request: &Request{Target: "/p", Body: []byte(body), Header: http.Header{}}}).Encode()
		if out.GetBody != nil || out.Body == nil || out.Body == http.NoBody {
			t.Fatalf("%+v", out)
		}
		if _, canSeek := out.Body.(io.Seeker); canSeek {
			t.Error("the body can be wound back")
		}
	}
}
