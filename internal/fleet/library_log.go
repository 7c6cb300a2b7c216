// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// libraryLogWriter passes the warnings and errors of a library's own log on to this program's log. The rate is bounded,
// since a node that is cut off would otherwise log each failed attempt.
type libraryLogWriter struct {
	log     zerolog.Logger
	library string
	limiter *rate.Limiter
}

// newLibraryLogWriter returns a writer that passes on burst lines at once, and one in each interval after that.
func newLibraryLogWriter(library string, interval time.Duration, burst int, log zerolog.Logger) *libraryLogWriter {
	return &libraryLogWriter{log: log, library: library, limiter: rate.NewLimiter(rate.Every(interval), burst)}
}

// Write implements io.Writer. It gets one whole line in each call.
func (w *libraryLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	verbose := strings.Contains(text, "[DEBUG]") || strings.Contains(text, "[INFO]")
	if verbose || !w.limiter.Allow() {
		return len(line), nil
	}
	w.log.Warn().Str("line", text).Msg(w.library)
	return len(line), nil
}
