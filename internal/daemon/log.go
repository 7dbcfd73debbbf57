package daemon

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/shedhoist/shedhoist/internal/settings"
)

// NewLogger returns a logger that writes logfmt lines if l.Format is "text", and JSON
// lines otherwise. An unknown level means info.
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
