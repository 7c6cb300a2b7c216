// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"net/http/httptest"
	"testing"
	"time"
)

func TestRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	(&Response{Status: 503, RetryAfter: 1500 * time.Millisecond}).Write(w)
	if w.Code != 503 || w.Header().Get("Retry-After") != "1.5" {
		t.Error(w)
	}
}
