package inflight

import (
	"sync"
	"time"
)

// Silence is how long a target has answered nothing that it was asked. The zero value has
// been asked nothing. It is safe for use by several goroutines.
type Silence struct {
	mu    sync.Mutex
	since time.Time // of the first request after its last answer; zero: there is none
}

// Asked notes a request that is sent now.
func (s *Silence) Asked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = now
	}
}

// Heard notes any sign of the target: an answer, or that it closed a connection.
func (s *Silence) Heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// Left notes that the request which was sent at a time is not waited for any longer. One
// that was left so soon that no answer was due says nothing of the target.
func (s *Silence) Left(sent, now time.Time, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.Equal(sent) && now.Sub(sent) < due {
		s.since = time.Time{}
	}
}

// For is how long the silence has lasted.
func (s *Silence) For(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
