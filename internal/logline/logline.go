// Package logline redirects lines that libraries write through the standard log package
// to the structured log. The server and transport of net/http have no other interface.
package logline

import (
	stdlog "log" // the standard logger that libraries use
	"strings"

	"github.com/apex/log"
)

// Capture redirects the standard logger to dest.
func Capture(dest log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{dest})
}

// Logger returns a standard logger that writes each line to dest at debug level.
func Logger(dest log.Interface) *stdlog.Logger { return stdlog.New(lineWriter{dest}, "", 0) }

// lineWriter logs each write as one debug line.
type lineWriter struct{ dest log.Interface }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.dest.WithField("from", "library").Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
