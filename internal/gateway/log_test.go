package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSampler: so many lines a second, and the rest is counted.
func TestSampler(t *testing.T) {
	is := is.New(t)
	var s sampler
	now := time.Unix(100, 0)
	for i := range maxSuccessLines + 5 {
		ok, _ := s.allow(now)
		is.Equal(ok, i < maxSuccessLines)
	}
	ok, left := s.allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(left, int64(5))
}

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	got     strings.Builder
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

// TestLogNeverBlocks: lines that a stuck reader leaves no room for are left out,
// and counted once it reads on.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &stuckWriter{release: make(chan struct{})}
	l := NewLogWriter(w)
	for range 2 * logQueue {
		_, err := l.Write([]byte("line\n"))
		is.NoErr(err)
	}
	close(w.release)
	l.Close()
	is.True(strings.Contains(w.got.String(), "log lines left out"))
	is.True(strings.Count(w.got.String(), "line\n") <= logQueue+1)
}
