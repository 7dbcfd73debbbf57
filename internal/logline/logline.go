// Package logline takes the lines that libraries write by package log into the
// structured log: net/http's server and transport have no other way.
package logline

import (
	stdlog "log" // what those libraries write to
	"strings"

	"github.com/apex/log"
)

// Capture takes all that is written by package log's own logger.
func Capture(to log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(writer{to})
}

// Logger returns a logger of package log whose lines become debug lines.
func Logger(to log.Interface) *stdlog.Logger { return stdlog.New(writer{to}, "", 0) }

type writer struct{ to log.Interface }

// Write implements io.Writer.
func (w writer) Write(p []byte) (int, error) {
	w.to.WithField("from", "library").Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
