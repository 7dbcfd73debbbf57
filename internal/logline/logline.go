// Package logline takes the lines that libraries write by package log into the
// structured log: net/http's server and transport have no other way.
package logline

import (
	stdlog "log" // what those libraries write to
	"strings"

	"github.com/apex/log"
)

// Capture takes all that is written by package log's own logger.
func Capture(dest log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{dest})
}

// Logger returns a logger of package log whose lines become debug lines.
func Logger(dest log.Interface) *stdlog.Logger { return stdlog.New(lineWriter{dest}, "", 0) }

type lineWriter struct{ dest log.Interface }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.dest.WithField("from", "library").Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
