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

// logQueue is how many lines wait for a reader that is slow.
const logQueue = 4096

// LogWriter hands lines to a writer without ever waiting for it: when too many
// wait, further ones are left out and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	once    sync.Once
}

// NewLogWriter starts to write to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueue), ended: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer: p is one line.
func (l *LogWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.ended)
	logger := &log.Logger{Level: log.InfoLevel, Handler: json.New(w)}
	for line := range l.lines {
		_, _ = w.Write(line) // nobody is left to be told of a failure
		if n := l.dropped.Swap(0); n > 0 {
			logger.WithField("lines", n).Warn("log lines left out, the reader is slow")
		}
	}
}

// Close writes what waits. No line may be written after it.
func (l *LogWriter) Close() {
	l.once.Do(func() { close(l.lines) })
	<-l.ended
}

// maxSuccessLines is how many requests a second get their line if all is well with
// them. Failures always do.
const maxSuccessLines = 100

// sampler lets a number of lines through each second and counts the others.
type sampler struct {
	mu      sync.Mutex
	second  time.Time
	written int
	dropped int64 // left out since the last line
}

// allow says whether a line may be written at now, and how many were left out
// since the last one that was.
func (s *sampler) allow(now time.Time) (ok bool, leftOut int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second, s.written = now, 0
	}
	if s.written >= maxSuccessLines {
		s.dropped++
		return false, 0
	}
	s.written++
	leftOut, s.dropped = s.dropped, 0
	return true, leftOut
}

// NewLogger returns a logger of JSON lines.
func NewLogger(w io.Writer) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Handler: json.New(w)}
}
