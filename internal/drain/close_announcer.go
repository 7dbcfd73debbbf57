package drain

import (
	"net/http"
	"sync/atomic"
)

// closeAnnouncer is a ResponseWriter that announces the close of the connection in a response whose
// header is sent while connections are closed as they become idle.
type closeAnnouncer struct {
	http.ResponseWriter
	closesIdle *atomic.Bool
}

// announce sets the header. It has no effect when the header has been sent.
func (a *closeAnnouncer) announce() {
	if a.closesIdle.Load() {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *closeAnnouncer) WriteHeader(status int) {
	a.announce()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *closeAnnouncer) Write(p []byte) (int, error) {
	a.announce()
	return a.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (a *closeAnnouncer) FlushError() error {
	a.announce()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (a *closeAnnouncer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
