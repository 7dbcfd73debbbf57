package gateway

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Limits of the lines that are queued for a slow reader. A line may be as long as what a caller sent.
const (
	logQueueSize  = 4096
	logQueueBytes = 2 << 20
)

// LogWriter passes lines to a writer without ever blocking on it: when its queue is full, it
// drops further lines and counts them.
type LogWriter struct {
	lines     chan []byte
	queued    atomic.Int64 // bytes of the lines
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewLogWriter returns a LogWriter that writes to w until it is closed.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueSize), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer; p is one line. It never fails.
func (l *LogWriter) Write(p []byte) (int, error) {
	size := int64(len(p))
	if l.queued.Add(size) > logQueueBytes {
		l.queued.Add(-size)
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.queued.Add(-size)
		l.dropped.Add(1)
	}
	return len(p), nil
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	logger := &log.Logger{Level: log.InfoLevel, Handler: json.New(w)}
	for line := range l.lines {
		_, _ = w.Write(line) // there is nowhere left to report a failure
		l.queued.Add(-int64(len(line)))
		if n := l.dropped.Swap(0); n > 0 {
			logger.WithField("lines", n).Warn("log lines left out, the reader is slow")
		}
	}
}

// Close writes the queued lines. No line may be written after it.
func (l *LogWriter) Close() {
	l.closeOnce.Do(func() { close(l.lines) })
	<-l.done
}

// maxSuccessLines is how many successful requests per second are logged. Failures are always
// logged.
const maxSuccessLines = 100

// sampler allows maxSuccessLines lines per second and counts the others.
type sampler struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	dropped     int64 // since the last line that was allowed
}

// allow reports whether a line may be written at now, and if so how many were dropped since the
// previous one.
func (s *sampler) allow(now time.Time) (ok bool, dropped int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.written = now, 0
	}
	if s.written >= maxSuccessLines {
		s.dropped++
		return false, 0
	}
	s.written++
	dropped, s.dropped = s.dropped, 0
	return true, dropped
}

// NewLogger returns a logger that writes JSON lines.
func NewLogger(w io.Writer) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Handler: json.New(w)}
}
