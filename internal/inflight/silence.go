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
	heard time.Time // the last sign of it; zero: never
}

// Asked notes a request that is sent now.
func (s *Silence) Asked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = now
	}
}

// Answered notes any sign of the target: an answer, or that it closed a connection.
func (s *Silence) Answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.heard = time.Time{}, now
}

// Among is how long the silence has lasted, if the target has been silent to another instance
// as well, since a time; zero: to none. What was heard of it since then speaks against that.
func (s *Silence) Among(others, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.since
	if others.After(s.heard) && (since.IsZero() || others.Before(since)) {
		since = others
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
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

// Heard is the time of the target's last sign; zero: there was none.
func (s *Silence) Heard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
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
