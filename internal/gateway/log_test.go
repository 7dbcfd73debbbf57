package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSampler guards against more than maxSuccessLines lines per second, and against dropped lines
// that are not counted.
func TestSampler(t *testing.T) {
	is := is.New(t)
	var s sampler
	now := time.Unix(100, 0)
	for i := range maxSuccessLines + 5 {
		ok, _ := s.allow(now)
		is.Equal(ok, i < maxSuccessLines)
	}
	ok, dropped := s.allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(dropped, int64(5))
}

// stuckWriter blocks until it is released, then records what is written.
type stuckWriter struct {
	release chan struct{}
	written strings.Builder
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.written.Write(p)
}

// TestLogNeverBlocks guards against a log writer that blocks while its reader is stuck, and against lines that fill the
// memory meanwhile: lines beyond the queue are dropped, and their number is logged once the reader continues.
func TestLogNeverBlocks(t *testing.T) {
	for _, padding := range []int{0, 60 << 10} { // what a caller sent may stand in a line
		is := is.New(t)
		w := &stuckWriter{release: make(chan struct{})}
		l := NewLogWriter(w)
		line := strings.Repeat("x", padding) + "line\n"
		for range 2 * logQueueSize {
			_, err := l.Write([]byte(line))
			is.NoErr(err)
		}
		close(w.release)
		l.Close()
		is.True(strings.Contains(w.written.String(), "log lines left out"))
		is.True(strings.Count(w.written.String(), "line\n") <= logQueueSize+1)
		is.True(w.written.Len() <= logQueueBytes+2*len(line))
	}
}
