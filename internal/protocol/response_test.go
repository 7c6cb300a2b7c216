// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"net/http/httptest"
	"testing"
	"time"
)

// TestRetryAfter: the header Retry-After is in seconds, with decimals.
func TestRetryAfter(t *testing.T) {
	recorder := httptest.NewRecorder()
	(&Response{Status: 503, RetryAfter: 1500 * time.Millisecond}).Write(recorder)
	if recorder.Code != 503 || recorder.Header().Get("Retry-After") != "1.5" {
		t.Errorf("got status %d and Retry-After %q, want 503 and 1.5",
			recorder.Code, recorder.Header().Get("Retry-After"))
	}
}
