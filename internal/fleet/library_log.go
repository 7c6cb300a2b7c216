// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"strings"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// libraryLogWriter takes a library's log over, by the line and at a bounded rate: a seat that is cut off tells of each try.
type libraryLogWriter struct {
	zerolog.Logger
	library string
	limiter *rate.Limiter
}

func (l *libraryLogWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.Contains(line, "[DEBUG]") || strings.Contains(line, "[INFO]") || !l.limiter.Allow() {
		return len(b), nil
	}
	l.Warn().Str("says", line).Msg(l.library)
	return len(b), nil
}
