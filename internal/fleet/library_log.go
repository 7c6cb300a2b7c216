// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// libraryLogWriter forwards a library's warnings and errors to this program's log. The rate is limited, since
// a disconnected node would otherwise log each failed attempt.
type libraryLogWriter struct {
	log     zerolog.Logger
	library string
	limiter *rate.Limiter
}

// newLibraryLogWriter returns a writer that forwards up to burst lines at once, and then one line per
// interval.
func newLibraryLogWriter(
	library string, interval time.Duration, burst int, log zerolog.Logger) *libraryLogWriter {
	return &libraryLogWriter{log: log, library: library,
		limiter: rate.NewLimiter(rate.Every(interval), burst)}
}

// Write implements io.Writer. The library writes one complete line per call.
func (w *libraryLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	verbose := strings.Contains(text, "[DEBUG]") || strings.Contains(text, "[INFO]")
	if verbose || !w.limiter.Allow() {
		return len(line), nil
	}
	w.log.Warn().Str("line", text).Msg(w.library)
	return len(line), nil
}
