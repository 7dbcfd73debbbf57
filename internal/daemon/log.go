package daemon

import (
	"io"
	stdlog "log" // http.Server and http.Transport write their own errors to nothing else
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/shedhoist/shedhoist/internal/settings"
)

// NewLogger returns the process's logger.
func NewLogger(w io.Writer, l settings.Log) *log.Logger {
	out := &log.Logger{Level: log.InfoLevel}
	if level, err := log.ParseLevel(l.Level); err == nil {
		out.Level = level
	}
	if l.Format == "text" {
		out.Handler = logfmt.New(w)
	} else {
		out.Handler = json.New(w)
	}
	return out
}

// captureStdlog takes the lines that libraries write by package log, such as
// net/http's about an unasked-for answer, into the structured log.
func captureStdlog(to log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{to})
}

// quietLog takes net/http's own words, such as a client's bad TLS, as debug lines.
func quietLog(to log.Interface) *stdlog.Logger { return stdlog.New(lineWriter{to}, "", 0) }

type lineWriter struct{ to log.Interface }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.to.WithField("from", "library").Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
